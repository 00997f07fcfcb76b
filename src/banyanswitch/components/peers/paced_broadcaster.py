"""Paced broadcast of a message to many instances without saturating the link."""

import asyncio
import random
from collections.abc import Callable, Sequence

import structlog

from banyanswitch.components.peers.const import BURST_BYTES, ENVELOPE_BYTES
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError

LOGGER = structlog.get_logger(__name__)


class PacedBroadcaster:
    """Send a message to many instances in bursts, in random order.

    A saturated link always drops the datagrams sent last. In random order, these
    are not always the datagrams to the same instances.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the messages.
    bytes_per_s : float
        Rate after the first burst, in bytes per second.
    generator : random.Random
        Chooses the order.
    on_done : callable
        Called when a message that took more than one burst has been sent.

    Attributes
    ----------
    broadcast_time_s : float
        Time to send the rest of the last message after its first burst, in seconds.
    """

    def __init__(
        self,
        transport: DatagramPeerTransport,
        bytes_per_s: float,
        generator: random.Random,
        on_done: Callable[[], None],
    ) -> None:
        self._transport = transport
        self._bytes_per_s = bytes_per_s
        self._random = generator
        self._on_done = on_done
        self._task: asyncio.Task[None] | None = None
        self.broadcast_time_s = 0.0

    @property
    def is_busy(self) -> bool:
        """Return whether a message is still being sent."""
        return self._task is not None

    @callback
    def send(self, message: object, addresses: Sequence[str]) -> None:
        """Send a message to all addresses, the first burst immediately."""
        size_bytes = self._transport.content_bytes(message) + ENVELOPE_BYTES
        burst = max(1, BURST_BYTES // size_bytes)
        order = self._random.sample(addresses, len(addresses))
        self._send_burst(message, order[:burst])
        rest = order[burst:]
        self.broadcast_time_s = len(rest) * size_bytes / self._bytes_per_s
        if rest:
            pause_s = burst * size_bytes / self._bytes_per_s
            self._task = asyncio.get_running_loop().create_task(
                self._async_send_rest(message, rest, burst, pause_s)
            )

    @callback
    def stop(self) -> None:
        """Cancel the rest of the broadcast."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _async_send_rest(
        self, message: object, rest: list[str], burst: int, pause_s: float
    ) -> None:
        for start in range(0, len(rest), burst):
            await asyncio.sleep(pause_s)
            self._send_burst(message, rest[start : start + burst])
        self._task = None
        self._on_done()

    def _send_burst(self, message: object, addresses: Sequence[str]) -> None:
        for address in addresses:
            try:
                self._transport.send(address, message)
            except PeerError as error:
                LOGGER.debug("datagram_not_sent", reason=str(error))
