"""Links of the other instances to upstreams."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from banyanswitch.components.upstream_links.const import (
    PEER_COOLDOWN_S,
    REPORT_LIFETIME_S,
    REPORTS_PER_S,
)
from banyanswitch.core import callback
from banyanswitch.decisions.upstream_links import PeerLinks, choose_peer
from banyanswitch.identifiers import InstanceId, UpstreamId
from banyanswitch.interfaces import PeerDirectory


@dataclass(frozen=True, slots=True)
class _Report:
    address: str
    unreached: frozenset[UpstreamId]
    received_at_s: float


class PeerLinkTable:
    """Instances that take requests, with the upstreams that they don't reach.

    Parameters
    ----------
    peers : PeerDirectory
        The live instances.
    generator : random.Random
        Spreads requests over the instances.
    """

    def __init__(self, peers: PeerDirectory, generator: random.Random) -> None:
        self._peers = peers
        self._random = generator
        self._reports: dict[str, _Report] = {}
        self._in_flight: Counter[InstanceId] = Counter()
        self._avoided_until_s: dict[InstanceId, float] = {}

    @callback
    def note_report(
        self, instance: str, address: str, unreached: Sequence[str]
    ) -> None:
        """Record the links in a report; one without an address takes no requests."""
        if not address:
            self._reports.pop(instance, None)
            return
        names = frozenset(UpstreamId(name) for name in unreached)
        self._reports[instance] = _Report(address, names, _now_s())

    @callback
    def available(self) -> list[PeerLinks]:
        """Return the other instances that take requests now."""
        now_s = _now_s()
        peers = self._peers.peers()
        own = self._peers.this_instance().instance
        oldest_s = now_s - REPORT_LIFETIME_S - len(peers) / REPORTS_PER_S
        found = []
        for peer in peers:
            report = self._reports.get(peer.instance)
            if (
                report is None
                or peer.instance == own
                or peer.is_leaving
                or report.received_at_s < oldest_s
                or now_s < self._avoided_until_s.get(peer.instance, 0.0)
            ):
                continue
            found.append(
                PeerLinks(
                    peer.instance,
                    peer.failure_domain,
                    report.address,
                    report.unreached,
                    self._in_flight[peer.instance],
                )
            )
        return found

    @callback
    def choose(self, upstream: UpstreamId) -> PeerLinks | None:
        """Return the instance through which to pass on a request for an upstream."""
        own_domain = self._peers.this_instance().failure_domain
        return choose_peer(upstream, self.available(), own_domain, self._random)

    @contextmanager
    def passing_on(self, instance: InstanceId) -> Iterator[None]:
        """Count a request that is being passed on through an instance."""
        self._in_flight[instance] += 1
        try:
            yield
        finally:
            self._in_flight[instance] -= 1

    @callback
    def note_declined(self, instance: InstanceId) -> None:
        """Record that an instance was not reached, or took no request."""
        self._avoided_until_s[instance] = _now_s() + PEER_COOLDOWN_S


def _now_s() -> float:
    return asyncio.get_running_loop().time()
