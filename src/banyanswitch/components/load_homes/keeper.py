"""Loads of the upstreams whose home is this instance."""

import asyncio

import structlog

from banyanswitch.components.load_homes.const import (
    MAX_UPSTREAMS_PER_MESSAGE,
    SHARE_LIFETIME_S,
)
from banyanswitch.components.load_homes.models import (
    LoadAnswer,
    LoadQuestion,
    ShareReport,
)
from banyanswitch.components.peers.datagram_transport import DatagramPeerTransport
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.core import callback
from banyanswitch.decisions.load_shares import Load, LoadShares
from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)


class LoadKeeper:
    """Keep the shares of all instances, and answer questions for their sum.

    It keeps what it is sent, whether or not it knows itself as the home, since the
    instances may disagree for a while on which of them are live.

    Parameters
    ----------
    transport : DatagramPeerTransport
        Carries the messages.
    slowness : UpstreamSlowness
        Slowness of the upstreams, as all instances observed it.
    """

    def __init__(
        self, transport: DatagramPeerTransport, slowness: UpstreamSlowness
    ) -> None:
        self._transport = transport
        self._slowness = slowness
        self._shares = LoadShares(SHARE_LIFETIME_S)
        transport.subscribe(ShareReport, self.apply)
        transport.subscribe(LoadQuestion, self._on_question)

    @callback
    def apply(self, report: ShareReport) -> None:
        """Record the shares of an instance."""
        if max(len(report.loads), len(report.slowness)) > MAX_UPSTREAMS_PER_MESSAGE:
            LOGGER.warning(
                "share_report_dropped",
                instance=report.instance,
                upstreams=len(report.loads),
            )
            return
        now_s = _now_s()
        self._shares.note(report.instance, report.loads, now_s)
        self._slowness.note_reports(report.slowness, now_s)

    @callback
    def of_others(self, upstream: UpstreamId, instance: str) -> Load:
        """Return the load of an upstream without one instance's own share."""
        return self._shares.of_others(upstream, instance, _now_s())

    @callback
    def forget_expired(self) -> None:
        """Remove the shares that are no longer reported."""
        self._shares.forget_expired(_now_s())

    def _on_question(self, question: LoadQuestion) -> None:
        now_s = _now_s()
        loads = {
            name: self._shares.of_others(name, question.instance, now_s)
            for name in question.upstreams[:MAX_UPSTREAMS_PER_MESSAGE]
        }
        slowness = self._slowness.known_reports(loads, now_s)
        answer = LoadAnswer(question.number, self._transport.address, loads, slowness)
        try:
            self._transport.send(question.peer_address, answer)
        except (PeerError, ValueError) as error:
            LOGGER.info("load_not_answered", reason=str(error))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
