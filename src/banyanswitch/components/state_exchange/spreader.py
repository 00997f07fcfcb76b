"""Sending of one report to many instances without filling the link."""

import asyncio
import random
from collections.abc import Callable, Sequence

import structlog

from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.state_exchange.const import (
    BURST_BYTES,
    ENVELOPE_BYTES,
    SPREAD_BYTES_PER_S,
)
from banyanswitch.components.state_exchange.models import InstanceReport
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError

LOGGER = structlog.get_logger(__name__)


class ReportSpreader:
    """Send reports a few datagrams at a time, in an order that changes.

    A link that is full drops datagrams, and always those sent last.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the reports.
    generator : random.Random
        Chooses the order.
    on_done : callable
        Called when a report that took more than one burst has been sent.
    """

    def __init__(
        self,
        transport: DatagramPeerTransport,
        generator: random.Random,
        on_done: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._random = generator
        self._on_done = on_done
        self._task: asyncio.Task[None] | None = None
        self.spread_s = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether a report is still being sent."""
        return self._task is not None

    @callback
    def send(self, report: InstanceReport, addresses: Sequence[str]) -> None:
        """Send a report to all addresses, the first of them at once."""
        size_bytes = self._transport.content_bytes(report) + ENVELOPE_BYTES
        burst = max(1, BURST_BYTES // size_bytes)
        order = self._random.sample(addresses, len(addresses))
        self._send_burst(report, order[:burst])
        rest = order[burst:]
        self.spread_s = len(rest) * size_bytes / SPREAD_BYTES_PER_S
        if rest:
            pause_s = burst * size_bytes / SPREAD_BYTES_PER_S
            self._task = asyncio.get_running_loop().create_task(
                self._async_spread(report, rest, burst, pause_s)
            )

    async def _async_spread(
        self, report: InstanceReport, rest: list[str], burst: int, pause_s: float
    ) -> None:
        try:
            for start in range(0, len(rest), burst):
                await asyncio.sleep(pause_s)
                self._send_burst(report, rest[start : start + burst])
        finally:
            self._task = None
        self._on_done()

    def _send_burst(self, report: InstanceReport, addresses: Sequence[str]) -> None:
        for address in addresses:
            try:
                self._transport.send(address, report)
            except PeerError as error:
                LOGGER.debug("report_not_sent", reason=str(error))
