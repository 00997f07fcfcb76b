"""Load of the upstreams: gathered by a few instances and passed on to the others."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import replace

from banyanswitch.components.peers.outbox import Outbox
from banyanswitch.components.upstream_load.const import (
    CHANGE_REPEATS_S,
    DIGEST_INTERVAL_S,
    FIRST_DIGEST_S,
    GATHER_TICK_S,
    LOADING_POLL_S,
    MAX_KNOWN_GATHERERS,
    STAND_IN_INTERVALS,
)
from banyanswitch.components.upstream_load.digests import (
    decode_loads,
    encode_load,
    members_hash,
    version_names,
)
from banyanswitch.components.upstream_load.gatherer import Gatherer
from banyanswitch.components.upstream_load.groups import (
    GathererChoice,
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
    turn_length_s,
    watches_loading,
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
    """Directory of the upstreams' load and state.

    Parameters
    ----------
    transport : PeerTransport
        Carries digests between instances.
    directory : PeerDirectory
        The live instances.
    interest : ServiceInterest
        Tells which instances serve which services.
    configuration : ConfigurationView
        Configuration in force.
    poller : LoadPoller
        Asks an upstream for its load.
    poll_interval_s : float
        Shortest time between two reports of one upstream, in seconds; its gatherers
        poll in turns.
    on_change : callable
        Called with the upstream when it begins or stops to leave or to load.
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
        self._gatherer = Gatherer(poller)
        self._poll_interval_s = poll_interval_s
        self._on_change = on_change
        self._groups = UpstreamGroups(configuration)
        self._choice = GathererChoice(directory, self._groups)
        self._messenger = LoadMessenger(self._outbox, directory, interest, self._choice)
        self._table = LoadTable(self._note_change)
        self._used = UsedServices()
        self._changed_groups: set[UpstreamGroup] = set()
        self._schedule = PollSchedule()
        self._polled_at_s: dict[UpstreamGroup, float] = {}
        self._sent_at_s: dict[UpstreamGroup, float] = {}
        self._heard_at_s: dict[UpstreamGroup, float] = {}
        self._last_number: dict[tuple[UpstreamGroup, str], tuple[int, int]] = {}
        self._repeats: dict[UpstreamGroup, list[float]] = {}
        self._sequence = 0
        transport.subscribe(LoadDigest, self._on_digest)
        transport.subscribe(LoadRequested, self._on_requested)
        transport.subscribe(LeavingNoticed, self._on_leaving_noticed)

    def load(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last report, if there is one."""
        self._note_use(upstream)
        return self._table.get(upstream)

    def is_accepting(self, upstream: UpstreamId) -> bool:
        """Return whether new work may go to this upstream."""
        self._note_use(upstream)
        now_s = asyncio.get_running_loop().time()
        return self._table.is_accepting(upstream, now_s)

    @callback
    def record_load(self, load: UpstreamLoad) -> None:
        """Take in what an upstream said with an answer."""
        known = self._table.get(load.upstream)
        self._table.put(load)
        if load.is_leaving and (known is None or not known.is_leaving):
            self._tell_leaving(load.upstream)
        self._send_changed_groups()

    async def async_run(self) -> None:
        """Gather and pass on load reports until cancelled."""
        sender = asyncio.get_running_loop().create_task(self._outbox.async_run())
        try:
            await self._async_gather()
        finally:
            sender.cancel()

    async def _async_gather(self) -> None:
        loop = asyncio.get_running_loop()
        polls: set[asyncio.Task[None]] = set()
        try:
            while True:
                for group in self._choice.own_groups():
                    due = self._due_upstreams(group, loop.time())
                    if due:
                        poll = loop.create_task(self._async_poll(group, due))
                        polls.add(poll)
                        poll.add_done_callback(polls.discard)
                    if self._is_digest_due(group, loop.time()):
                        self._send_digest(group)
                self._send_repeats(loop.time())
                if self._used.expire(loop.time()):
                    self._interest.declare_services(self._used.services())
                await asyncio.sleep(GATHER_TICK_S)
        finally:
            for poll in polls:
                poll.cancel()

    def _due_upstreams(
        self, group: UpstreamGroup, now_s: float
    ) -> tuple[Upstream, ...]:
        """Return the whole group in this instance's turn, else those that load."""
        members = self._groups.members(group)
        rank = self._choice.rank(group)
        if rank is None:
            return ()
        gatherers = len(self._choice.gatherers(group))
        position = self._position(group)
        if self._schedule.take(group, position, rank, gatherers):
            self._polled_at_s[group] = now_s
            return members
        if not watches_loading(position, rank, gatherers):
            return ()
        if now_s - self._polled_at_s.get(group, now_s) < LOADING_POLL_S:
            return ()
        self._polled_at_s[group] = now_s
        return tuple(u for u in members if self._is_loading(u.name))

    def _is_loading(self, upstream: UpstreamId) -> bool:
        load = self._table.reported(upstream)
        return load is not None and load.is_loading

    def _position(self, group: UpstreamGroup) -> float:
        size = len(self._groups.members(group))
        gatherers = len(self._choice.gatherers(group))
        length_s = turn_length_s(size, gatherers, self._poll_interval_s)
        now_s = asyncio.get_running_loop().time()
        return self._schedule.position(group, length_s, now_s)

    async def _async_poll(
        self, group: UpstreamGroup, upstreams: Sequence[Upstream]
    ) -> None:
        for load in await self._gatherer.async_gather(upstreams):
            self._table.put(load)
        if group in self._changed_groups:
            self._send_digest(group)
        rank = self._choice.rank(group)
        is_whole = len(upstreams) == len(self._groups.members(group))
        if is_whole and rank is not None and rank > 0:
            digest = self._digest(group, is_relayed=False)
            self._messenger.tell_first_gatherer(group, digest)

    def _is_digest_due(self, group: UpstreamGroup, now_s: float) -> bool:
        rank = self._choice.rank(group)
        if rank is None:
            return False
        sent_s = self._sent_at_s.setdefault(
            group, now_s - DIGEST_INTERVAL_S + FIRST_DIGEST_S
        )
        if rank == 0:
            return now_s - sent_s >= DIGEST_INTERVAL_S
        last_s = max(sent_s, self._heard_at_s.get(group, 0.0))
        return now_s - last_s >= STAND_IN_INTERVALS * DIGEST_INTERVAL_S

    def _send_repeats(self, now_s: float) -> None:
        for group, delays_s in tuple(self._repeats.items()):
            if now_s - self._sent_at_s[group] < delays_s[0]:
                continue
            delays_s.pop(0)
            if not delays_s:
                del self._repeats[group]
            self._send_digest(group)

    def _send_changed_groups(self) -> None:
        for group in tuple(self._changed_groups):
            if self._choice.rank(group) is not None:
                self._send_digest(group)
            self._changed_groups.discard(group)

    def _send_digest(self, group: UpstreamGroup) -> None:
        if group in self._changed_groups:
            self._changed_groups.discard(group)
            self._repeats[group] = list(CHANGE_REPEATS_S)
        self._sent_at_s[group] = asyncio.get_running_loop().time()
        digest = self._digest(group, is_relayed=True)
        self._messenger.relay(digest)
        if digest.position >= 0:
            self._messenger.tell_other_gatherers(group, digest)

    def _digest(self, group: UpstreamGroup, *, is_relayed: bool) -> LoadDigest:
        self._sequence += 1
        this = self._directory.this_instance()
        upstreams = self._groups.members(group)
        loads = [self._table.reported(upstream.name) for upstream in upstreams]
        versions = version_names(loads)
        return LoadDigest(
            service=group.service,
            group=group.number,
            gatherer=this.instance,
            incarnation=this.incarnation,
            sequence=self._sequence,
            position=self._position(group) if self._choice.rank(group) == 0 else -1.0,
            is_relayed=is_relayed,
            members_hash=members_hash(upstreams),
            versions=versions,
            entries=tuple(encode_load(load, versions) for load in loads),
        )

    @callback
    def _on_digest(self, digest: LoadDigest) -> None:
        group = UpstreamGroup(ServiceName(digest.service), digest.group)
        number = (digest.incarnation, digest.sequence)
        if number <= self._last_number.get((group, digest.gatherer), (-1, -1)):
            return
        if len(self._last_number) >= MAX_KNOWN_GATHERERS:
            self._last_number.clear()
        self._last_number[group, digest.gatherer] = number
        now_s = asyncio.get_running_loop().time()
        if digest.position >= 0:
            self._heard_at_s[group] = now_s
            self._schedule.align(group, digest.position, now_s)
        for load in decode_loads(digest, self._groups.members(group), now_s):
            self._table.put(load)
        self._changed_groups.discard(group)
        if digest.is_relayed:
            self._messenger.relay(digest)

    @callback
    def _on_requested(self, message: LoadRequested) -> None:
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

    def _tell_leaving(self, upstream: UpstreamId) -> None:
        group = self._groups.group_of(upstream)
        if group is not None:
            self._messenger.tell_leaving(group, upstream)

    def _note_use(self, upstream: UpstreamId) -> None:
        group = self._groups.group_of(upstream)
        if group is None:
            return
        now_s = asyncio.get_running_loop().time()
        if not self._used.note(group.service, now_s):
            return
        self._interest.declare_services(self._used.services())
        self._messenger.request_loads(self._groups.of_service(group.service))

    @callback
    def _note_change(self, upstream: UpstreamId) -> None:
        group = self._groups.group_of(upstream)
        if group is not None:
            self._changed_groups.add(group)
        self._on_change(upstream)
