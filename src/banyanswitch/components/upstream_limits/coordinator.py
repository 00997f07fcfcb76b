"""Limits that upstreams name or have while cold, and this instance's share of them."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import structlog

from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.upstream_limits.cold_upstreams import (
    ColdUpstreams,
    Start,
)
from banyanswitch.components.upstream_limits.const import (
    ENDED_RETENTION_S,
    MAX_REPORTED_LIMITS,
    NOTICE_LIFETIME_S,
)
from banyanswitch.components.upstream_limits.models import LimitReport
from banyanswitch.core import callback
from banyanswitch.decisions.stable_senders import StableSenders
from banyanswitch.decisions.token_bucket import TokenBucket
from banyanswitch.decisions.upstream_limits import (
    ColdLimit,
    LimitNotice,
    LimitShares,
    ends_limit,
    limit_shares,
    newer_notice,
)
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import Peer, PeerDirectory

LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class _KnownLimit:
    notice: LimitNotice
    is_own: bool


class UpstreamLimits:
    """Keep the limits of upstreams, which hold for all instances together.

    The instances report the limits to each other. A few instances per upstream,
    selected without communication, send to it, each at its share of the limit; all
    others place their requests elsewhere. While an upstream is cold, the lower one of
    its two limits is divided, among senders that a partition doesn't change.

    Parameters
    ----------
    peers : PeerDirectory
        The live instances.
    assignment : ReaderAssignment
        Selects the instances that send to an upstream.
    cold : ColdUpstreams
        The cold upstreams.
    named_instances : callable
        Returns the peer addresses of the instances in the settings.

    Attributes
    ----------
    on_change : callable
        Called when a limit was named or ended in a response to this instance.
    """

    def __init__(
        self,
        peers: PeerDirectory,
        assignment: ReaderAssignment,
        *,
        cold: ColdUpstreams,
        named_instances: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        self._peers = peers
        self._assignment = assignment
        self.cold = cold
        self._named_instances = named_instances
        self._stable_senders = StableSenders()
        self._last_peers: tuple[Peer, ...] = ()
        self._known: dict[Start, _KnownLimit] = {}
        self._buckets: dict[Start, TokenBucket] = {}
        self.on_change: Callable[[], None] = lambda: None

    @callback
    def note_response(
        self, record: UpstreamRecord, limit_per_s: float | None, sent_at_s: float
    ) -> None:
        """Record the limit in a response of an upstream.

        Parameters
        ----------
        limit_per_s : float or None
            Requests per second; ``None`` if the response names no limit.
        sent_at_s : float
            Loop time at which its request was sent, in seconds.
        """
        start = (record.name, record.started_at_ms)
        known = self._known.get(start)
        if limit_per_s is None and (
            known is None or not ends_limit(known.notice, sent_at_s)
        ):
            return
        notice = LimitNotice(limit_per_s, _now_s())
        if self._note(start, notice, is_own=True):
            self.on_change()

    @callback
    def may_send(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether this instance may send a request to an upstream now."""
        return self.wait_s(record, now_s) <= 0.0

    @callback
    def wait_s(self, record: UpstreamRecord, now_s: float) -> float:
        """Return the time until this instance may send to an upstream, in seconds.

        It is infinite while others send to the upstream.
        """
        if not self._known and not self.cold.has_any:
            self._buckets.clear()
            return 0.0
        cold = self.cold.limit(record, now_s)
        start = (record.name, record.started_at_ms)
        known = self._known.get(start) if self._known else None
        named_per_s = known.notice.limit_per_s if known is not None else None
        if cold is None and named_per_s is None:
            self._buckets.pop(start, None)
            return 0.0
        shares = self._own_shares(start, named_per_s, cold, now_s)
        if shares is None:
            self._buckets.pop(start, None)
            return float("inf")
        return self._bucket(start, shares, now_s).wait_s(1.0, now_s)

    @callback
    def note_sent(self, record: UpstreamRecord, now_s: float) -> None:
        """Record that a request is being sent to an upstream."""
        bucket = self._buckets.get((record.name, record.started_at_ms))
        if bucket is not None:
            bucket.try_spend(1.0, now_s)

    @callback
    def observe_instances(self, now_s: float) -> None:
        """Record the live instances, from which senders to cold upstreams are taken."""
        self._last_peers = peers = self._peers.peers()
        present = {peer.peer_address for peer in peers if not peer.is_leaving}
        leaving = {peer.peer_address for peer in peers if peer.is_leaving}
        self._stable_senders.update(present, leaving, self._named_instances(), now_s)

    def _own_shares(
        self,
        start: Start,
        named_per_s: float | None,
        cold: ColdLimit | None,
        now_s: float,
    ) -> LimitShares | None:
        """Return this instance's share, or ``None`` if others send to the upstream."""
        topic = f"limit/{start[0]}/{start[1]}"
        if cold is None:
            shares = limit_shares(named_per_s or 0.0, len(self._peers.peers()))
            is_sender = self._assignment.is_reader(topic, shares.senders, max_direct=0)
            return shares if is_sender else None
        if self._peers.peers() is not self._last_peers:
            self.observe_instances(now_s)
        this = self._peers.this_instance()
        if this.is_leaving:
            return None
        limit_per_s = cold.rate_per_s
        if named_per_s is not None:
            limit_per_s = min(limit_per_s, named_per_s)
        senders = self._stable_senders
        shares = limit_shares(limit_per_s, senders.count, cold.bound)
        is_sender = senders.is_sender(topic, this.peer_address, shares.senders, now_s)
        return shares if is_sender else None

    @callback
    def report(self, retention_s: float) -> list[LimitReport]:
        """Return the limits that this instance has seen, for the others.

        Parameters
        ----------
        retention_s : float
            Time for which a named limit is reported, in seconds.
        """
        now_s = _now_s()
        self.observe_instances(now_s)
        self.cold.forget_warm(now_s)
        self._forget_old(now_s)
        if not self._known:
            return []
        reports = [
            LimitReport(
                name,
                started_at_ms,
                known.notice.limit_per_s,
                now_s - known.notice.observed_at_s,
            )
            for (name, started_at_ms), known in self._known.items()
            if known.is_own
            and (
                known.notice.limit_per_s is None
                or now_s - known.notice.observed_at_s <= retention_s
            )
        ]
        return reports[-MAX_REPORTED_LIMITS:]

    @callback
    def apply(self, reports: Iterable[LimitReport]) -> None:
        """Apply the limits that another instance has seen."""
        now_s = _now_s()
        for report in reports:
            start = (UpstreamId(report.upstream), report.started_at_ms)
            notice = LimitNotice(report.limit_per_s, now_s - report.age_s)
            self._note(start, notice, is_own=False)

    def _note(self, start: Start, notice: LimitNotice, *, is_own: bool) -> bool:
        """Record a notice unless a newer one is known; return whether it differs."""
        known = self._known.get(start)
        if known is None:
            self._known[start] = _KnownLimit(notice, is_own)
            self._log(start, notice)
            return True
        if newer_notice(known.notice, notice) is known.notice:
            return False
        has_changed = known.notice.limit_per_s != notice.limit_per_s
        known.notice, known.is_own = notice, is_own
        if has_changed:
            self._log(start, notice)
        if notice.limit_per_s is None:
            self._buckets.pop(start, None)
        return has_changed

    def _bucket(self, start: Start, shares: LimitShares, now_s: float) -> TokenBucket:
        """Return the budget of this sender, which is empty when it becomes one."""
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = TokenBucket(shares.rate_per_s, shares.burst, now_s)
            bucket.try_spend(shares.burst, now_s)
            self._buckets[start] = bucket
        elif (bucket.rate_per_s, bucket.capacity) != (shares.rate_per_s, shares.burst):
            bucket.change(shares.rate_per_s, shares.burst, now_s)
        return bucket

    def _forget_old(self, now_s: float) -> None:
        for start, known in tuple(self._known.items()):
            has_ended = known.notice.limit_per_s is None
            lifetime_s = ENDED_RETENTION_S if has_ended else NOTICE_LIFETIME_S
            if now_s - known.notice.observed_at_s > lifetime_s:
                del self._known[start]
        for start in tuple(self._buckets):
            if start not in self._known and not self.cold.is_known(start):
                del self._buckets[start]

    def _log(self, start: Start, notice: LimitNotice) -> None:
        LOGGER.info("upstream_limit", upstream=start[0], limit_per_s=notice.limit_per_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
