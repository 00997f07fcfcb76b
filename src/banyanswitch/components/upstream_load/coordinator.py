"""Collection of upstream loads by a few instances and distribution to the others."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from banyanswitch.components.peers.outbox import Outbox
from banyanswitch.components.upstream_load.collector import Collector
from banyanswitch.components.upstream_load.const import (
    CHANGE_RESEND_DELAYS_S,
    DIGEST_INTERVAL_S,
    FAILOVER_DIGEST_INTERVALS,
    FIRST_DIGEST_DELAY_S,
    LOADING_POLL_INTERVAL_S,
    MAX_TRACKED_COLLECTORS,
    SCHEDULER_INTERVAL_S,
)
from banyanswitch.components.upstream_load.digests import (
    decode_loads,
    encode_load,
    members_hash,
    version_names,
)
from banyanswitch.components.upstream_load.groups import (
    CollectorAssignment,
    UpstreamGroups,
)
from banyanswitch.components.upstream_load.interest import (
    ServiceInterest,
    UsedServices,
)
from banyanswitch.components.upstream_load.load_table import LoadTable
from banyanswitch.components.upstream_load.messenger import LoadMessenger
from banyanswitch.components.upstream_load.models import (
    LeavingNoticed,
    LoadDigest,
    LoadRequested,
    UpstreamGroup,
)
from banyanswitch.components.upstream_load.poller import LoadPoller
from banyanswitch.components.upstream_load.schedule import (
    PollSchedule,
    polls_loading_upstreams,
    slot_length_s,
)
from banyanswitch.config.models import Upstream
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName, UpstreamId
from banyanswitch.interfaces import (
    ConfigurationView,
    PeerDirectory,
    PeerTransport,
    UpstreamLoad,
)


class UpstreamLoadCoordinator:
    """Directory of the load and state of upstreams.

    Parameters
    ----------
    transport : PeerTransport
        Carries digests between instances.
    directory : PeerDirectory
        Live instances.
    interest : ServiceInterest
        Provides the instances that use a service.
    configuration : ConfigurationView
        Active configuration.
    poller : LoadPoller
        Requests the load of an upstream.
    poll_interval_s : float
        Minimum time between two regular polls of one upstream, in seconds. Its
        collectors poll in rotation.
    on_change : callable
        Called with the upstream on its first report and when its leaving state,
        loading state or weight version changes.
    """

    def __init__(
        self,
        *,
        transport: PeerTransport,
        directory: PeerDirectory,
        interest: ServiceInterest,
        configuration: ConfigurationView,
        poller: LoadPoller,
        poll_interval_s: float,
        on_change: Callable[[UpstreamId], None],
    ) -> None:
        self._outbox = Outbox(transport)
        self._directory = directory
        self._interest = interest
        self._collector = Collector(poller)
        self._poll_interval_s = poll_interval_s
        self._on_change = on_change
        self._groups = UpstreamGroups(configuration)
        self._assignment = CollectorAssignment(directory, self._groups)
        self._messenger = LoadMessenger(
            self._outbox, directory, interest, self._assignment
        )
        self._table = LoadTable(self._record_change)
        self._used = UsedServices()
        self._changed_groups: set[UpstreamGroup] = set()
        self._schedule = PollSchedule()
        self._polled_at_s: dict[UpstreamGroup, float] = {}
        self._sent_at_s: dict[UpstreamGroup, float] = {}
        self._primary_digest_at_s: dict[UpstreamGroup, float] = {}
        self._last_sequence: dict[tuple[UpstreamGroup, str], tuple[int, int]] = {}
        self._pending_resends: dict[UpstreamGroup, list[float]] = {}
        self._sequence = 0
        transport.subscribe(LoadDigest, self._on_digest)
        transport.subscribe(LoadRequested, self._on_load_requested)
        transport.subscribe(LeavingNoticed, self._on_leaving_noticed)

    def load(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last report, or ``None`` if there is none."""
        self._record_use(upstream)
        return self._table.get(upstream)

    def is_accepting(self, upstream: UpstreamId) -> bool:
        """Return whether new requests may be sent to this upstream."""
        self._record_use(upstream)
        now_s = asyncio.get_running_loop().time()
        return self._table.is_accepting(upstream, now_s)

    @callback
    def record_load(self, load: UpstreamLoad) -> None:
        """Record a load that an upstream reported with a response."""
        known = self._table.get(load.upstream)
        self._table.put(load)
        if load.is_leaving and (known is None or not known.is_leaving):
            self._notify_leaving(load.upstream)
        self._send_changed_groups()

    async def async_run(self) -> None:
        """Collect and distribute load reports until cancelled."""
        sender = asyncio.get_running_loop().create_task(self._outbox.async_run())
        try:
            await self._async_run_scheduler()
        finally:
            sender.cancel()

    async def _async_run_scheduler(self) -> None:
        loop = asyncio.get_running_loop()
        polls: set[asyncio.Task[None]] = set()
        try:
            while True:
                for group in self._assignment.local_groups():
                    due = self._due_upstreams(group, loop.time())
                    if due:
                        poll = loop.create_task(self._async_poll(group, due))
                        polls.add(poll)
                        poll.add_done_callback(polls.discard)
                    if self._is_digest_due(group, loop.time()):
                        self._send_digest(group)
                self._resend_digests(loop.time())
                if self._used.expire(loop.time()):
                    self._interest.declare_services(self._used.services())
                await asyncio.sleep(SCHEDULER_INTERVAL_S)
        finally:
            for poll in polls:
                poll.cancel()

    def _due_upstreams(
        self, group: UpstreamGroup, now_s: float
    ) -> tuple[Upstream, ...]:
        """Return the upstreams to poll now.

        The whole group is polled once in each slot of this instance. Upstreams that
        load weights are also polled in that slot and the one before it, at intervals
        of at least ``LOADING_POLL_INTERVAL_S``.
        """
        members = self._groups.members(group)
        rank = self._assignment.rank(group)
        if rank is None:
            return ()
        collectors = len(self._assignment.collectors(group))
        position = self._position(group)
        if self._schedule.claim_slot(group, position, rank, collectors):
            self._polled_at_s[group] = now_s
            return members
        if not polls_loading_upstreams(position, rank, collectors):
            return ()
        if now_s - self._polled_at_s.get(group, now_s) < LOADING_POLL_INTERVAL_S:
            return ()
        self._polled_at_s[group] = now_s
        return tuple(u for u in members if self._is_loading(u.name))

    def _is_loading(self, upstream: UpstreamId) -> bool:
        load = self._table.reported(upstream)
        return load is not None and load.is_loading

    def _position(self, group: UpstreamGroup) -> float:
        size = len(self._groups.members(group))
        collectors = len(self._assignment.collectors(group))
        length_s = slot_length_s(size, collectors, self._poll_interval_s)
        now_s = asyncio.get_running_loop().time()
        return self._schedule.position(group, length_s, now_s)

    async def _async_poll(
        self, group: UpstreamGroup, upstreams: Sequence[Upstream]
    ) -> None:
        for load in await self._collector.async_collect(upstreams):
            self._table.put(load)
        if group in self._changed_groups:
            self._send_digest(group)
        rank = self._assignment.rank(group)
        is_full_poll = len(upstreams) == len(self._groups.members(group))
        if is_full_poll and rank is not None and rank > 0:
            digest = self._digest(group, is_relayed=False)
            self._messenger.send_to_primary(group, digest)

    def _is_digest_due(self, group: UpstreamGroup, now_s: float) -> bool:
        rank = self._assignment.rank(group)
        if rank is None:
            return False
        sent_s = self._sent_at_s.setdefault(
            group, now_s - DIGEST_INTERVAL_S + FIRST_DIGEST_DELAY_S
        )
        if rank == 0:
            return now_s - sent_s >= DIGEST_INTERVAL_S
        last_digest_at_s = max(sent_s, self._primary_digest_at_s.get(group, 0.0))
        return now_s - last_digest_at_s >= FAILOVER_DIGEST_INTERVALS * DIGEST_INTERVAL_S

    def _resend_digests(self, now_s: float) -> None:
        for group, delays_s in tuple(self._pending_resends.items()):
            if now_s - self._sent_at_s[group] < delays_s[0]:
                continue
            delays_s.pop(0)
            if not delays_s:
                del self._pending_resends[group]
            self._send_digest(group)

    def _send_changed_groups(self) -> None:
        for group in tuple(self._changed_groups):
            if self._assignment.rank(group) is not None:
                self._send_digest(group)
            self._changed_groups.discard(group)

    def _send_digest(self, group: UpstreamGroup) -> None:
        if group in self._changed_groups:
            self._changed_groups.discard(group)
            self._pending_resends[group] = list(CHANGE_RESEND_DELAYS_S)
        self._sent_at_s[group] = asyncio.get_running_loop().time()
        digest = self._digest(group, is_relayed=True)
        self._messenger.relay(digest)
        if digest.position >= 0:
            self._messenger.send_to_secondaries(group, digest)

    def _digest(self, group: UpstreamGroup, *, is_relayed: bool) -> LoadDigest:
        self._sequence += 1
        this = self._directory.this_instance()
        upstreams = self._groups.members(group)
        loads = [self._table.reported(upstream.name) for upstream in upstreams]
        versions = version_names(loads)
        return LoadDigest(
            service=group.service,
            group=group.number,
            collector=this.instance,
            incarnation=this.incarnation,
            sequence=self._sequence,
            position=self._position(group)
            if self._assignment.rank(group) == 0
            else -1.0,
            is_relayed=is_relayed,
            members_hash=members_hash(upstreams),
            versions=versions,
            entries=tuple(encode_load(load, versions) for load in loads),
        )

    @callback
    def _on_digest(self, digest: LoadDigest) -> None:
        group = UpstreamGroup(ServiceName(digest.service), digest.group)
        number = (digest.incarnation, digest.sequence)
        if number <= self._last_sequence.get((group, digest.collector), (-1, -1)):
            return
        if len(self._last_sequence) >= MAX_TRACKED_COLLECTORS:
            self._last_sequence.clear()
        self._last_sequence[group, digest.collector] = number
        now_s = asyncio.get_running_loop().time()
        if digest.position >= 0:
            self._primary_digest_at_s[group] = now_s
            self._schedule.align(group, digest.position, now_s)
        for load in decode_loads(digest, self._groups.members(group), now_s):
            self._table.put(load)
        self._changed_groups.discard(group)
        if digest.is_relayed:
            self._messenger.relay(digest)

    @callback
    def _on_load_requested(self, message: LoadRequested) -> None:
        group = UpstreamGroup(ServiceName(message.service), message.group)
        self._outbox.send(message.reply_to, self._digest(group, is_relayed=False))

    @callback
    def _on_leaving_noticed(self, message: LeavingNoticed) -> None:
        upstream = UpstreamId(message.upstream)
        known = self._table.get(upstream)
        if known is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._table.put(replace(known, is_leaving=True, received_at_s=now_s))
        self._send_changed_groups()

    def _notify_leaving(self, upstream: UpstreamId) -> None:
        group = self._groups.group_of(upstream)
        if group is not None:
            self._messenger.notify_leaving(group, upstream)

    def _record_use(self, upstream: UpstreamId) -> None:
        group = self._groups.group_of(upstream)
        if group is None:
            return
        now_s = asyncio.get_running_loop().time()
        if not self._used.record(group.service, now_s):
            return
        self._interest.declare_services(self._used.services())
        self._messenger.request_loads(self._groups.of_service(group.service))

    @callback
    def _record_change(self, upstream: UpstreamId) -> None:
        group = self._groups.group_of(upstream)
        if group is not None:
            self._changed_groups.add(group)
        self._on_change(upstream)
