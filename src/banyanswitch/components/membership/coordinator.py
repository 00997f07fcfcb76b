"""Membership of this instance: probes, rumours and what they say of the others."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

import xxhash
from msgspec.structs import replace

from banyanswitch.components.membership.const import (
    CATCH_UP_DIVISOR,
    EAGER_FANOUT,
    EAGER_MESSAGES_PER_S,
    INDIRECT_PROBES,
    MAX_MEMBERS_PER_MESSAGE,
    PAUSE_HEARTBEATS,
    PROBE_TIMEOUT_HEARTBEATS,
    RECONNECT_HEARTBEATS,
    SERVICE_MASK_BITS,
    SUSPICION_HEARTBEATS,
)
from banyanswitch.components.membership.member_table import MemberTable
from banyanswitch.components.membership.models import (
    Heartbeat,
    HeartbeatAnswer,
    IndirectAnswer,
    IndirectProbe,
    ListedInstance,
    Member,
    MemberState,
    Rumour,
)
from banyanswitch.components.membership.prober import Probe, ProbeTable
from banyanswitch.components.membership.rumours import RumourQueue
from banyanswitch.components.peers.outbox import Outbox
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import Peer, PeerTransport


def service_mask(services: Iterable[ServiceName]) -> int:
    """Return the mask in which each service sets the bit of its hash."""
    mask = 0
    for service in services:
        mask |= 1 << (xxhash.xxh32_intdigest(service.encode()) % SERVICE_MASK_BITS)
    return mask


class MembershipCoordinator:
    """Directory of the live instances, kept by probes and rumours.

    Parameters
    ----------
    transport : PeerTransport
        Carries messages between instances.
    this_member : Member
        Record of this instance.
    seeds : sequence of str
        Peer addresses to probe while no other instance is known.
    heartbeat_s : float
        Time between probes, in seconds.
    generator : random.Random
        Chooses whom to probe.
    on_change : callable
        Called after the directory changed.
    on_new_incarnation : callable
        Called with the number when this instance had to take a new incarnation.
    """

    def __init__(
        self,
        *,
        transport: PeerTransport,
        this_member: Member,
        seeds: Sequence[str],
        heartbeat_s: float,
        generator: random.Random,
        on_change: Callable[[], None],
        on_new_incarnation: Callable[[int], None],
    ) -> None:
        self._outbox = Outbox(transport)
        self._self = this_member
        self._seeds = tuple(a for a in seeds if a != this_member.peer_address)
        self._heartbeat_s = heartbeat_s
        self._random = generator
        self._on_change = on_change
        self._on_new_incarnation = on_new_incarnation
        self._table = MemberTable()
        self._rumours = RumourQueue()
        self._probes = ProbeTable()
        self._probe_order: list[str] = []
        self._suspected_until_s: dict[str, float] = {}
        self._listed: dict[str, ListedInstance] = {}
        self._listed_leaving: dict[str, int] = {}
        self._eager_budget = EAGER_MESSAGES_PER_S
        self._eager: set[str] = set()
        self._is_behind = True
        self._is_stopping = False
        self._heartbeats = 0
        self._peers: tuple[Peer, ...] = ()
        self._serving: dict[ServiceName, tuple[Peer, ...]] = {}
        transport.subscribe(Heartbeat, self._on_heartbeat)
        transport.subscribe(HeartbeatAnswer, self._on_heartbeat_answer)
        transport.subscribe(IndirectProbe, self._on_indirect_probe)
        transport.subscribe(IndirectAnswer, self._on_indirect_answer)
        transport.subscribe(Rumour, self._on_rumour)

    def this_instance(self) -> Peer:
        """Return this instance."""
        return self._self.as_peer()

    def peers(self) -> tuple[Peer, ...]:
        """Return all live instances, in the order of their identifiers."""
        if not self._peers:
            live = sorted(self._table.live(), key=lambda member: member.instance)
            self._peers = tuple(member.as_peer() for member in live)
        return self._peers

    def serving(self, service: ServiceName) -> tuple[Peer, ...]:
        """Return the live instances that serve a service, in a fixed order."""
        if service not in self._serving:
            mask = service_mask((service,))
            live = sorted(self._table.live(), key=lambda member: member.instance)
            found = (member for member in live if member.service_mask & mask)
            self._serving[service] = tuple(member.as_peer() for member in found)
        return self._serving[service]

    def is_alone(self) -> bool:
        """Return whether no other live instance is known."""
        return len(self._table.live()) < 2

    def is_wrongly_leaving(self) -> bool:
        """Return whether only others say that this instance leaves."""
        return self._self.is_leaving and not self._is_stopping

    async def async_run(self) -> None:
        """Take part in the membership until cancelled."""
        self._store(self._self)
        sender = asyncio.get_running_loop().create_task(self._outbox.async_run())
        try:
            await self._async_probe_members()
        finally:
            sender.cancel()

    @callback
    def begin_leaving(self) -> None:
        """Tell the others that this instance takes no new callers."""
        self._is_stopping = True
        self._change_self(is_leaving=True)

    async def async_depart(self) -> None:
        """Tell a few others that this instance ends."""
        departed = replace(self._self, state=MemberState.DEAD)
        for member in self._sample_others(EAGER_FANOUT):
            self._outbox.send(member.peer_address, Rumour((departed,)))
        await asyncio.sleep(0)

    @callback
    def declare_services(self, services: Iterable[ServiceName]) -> None:
        """Tell the others which services this instance serves."""
        mask = service_mask(services)
        if mask != self._self.service_mask:
            self._change_self(service_mask=mask)

    @callback
    def note_list(self, entries: Sequence[ListedInstance]) -> None:
        """Take in the platform's list; only its word of leaving is believed."""
        self._listed = {entry.instance: entry for entry in entries}
        for entry in entries:
            if entry.instance == self._self.instance:
                self._note_own_entry(entry)
                continue
            self._note_entry(entry)

    def _note_own_entry(self, entry: ListedInstance) -> None:
        if entry.is_leaving:
            self._note_entry(entry)
            return
        self._listed_leaving.pop(entry.instance, None)
        if self.is_wrongly_leaving():
            self._take_incarnation(self._self.incarnation + 1)

    def _note_entry(self, entry: ListedInstance) -> None:
        if not entry.is_leaving:
            self._listed_leaving.pop(entry.instance, None)
            return
        member = self._table.get(entry.instance)
        if member is None:
            return
        incarnation = self._listed_leaving.setdefault(
            entry.instance, member.incarnation
        )
        # The list lags: its word is of the process that ran when it first said so.
        if member.incarnation == incarnation and not member.is_leaving:
            self._absorb(replace(member, is_leaving=True))

    async def _async_probe_members(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._heartbeat(loop.time())
            divisor = CATCH_UP_DIVISOR if self._is_behind else 1
            interval_s = self._heartbeat_s / divisor * self._random.uniform(0.9, 1.1)
            wake_at_s = loop.time() + interval_s
            await asyncio.sleep(interval_s)
            self._eager_budget = min(
                EAGER_MESSAGES_PER_S,
                self._eager_budget + EAGER_MESSAGES_PER_S * interval_s,
            )
            if loop.time() - wake_at_s > PAUSE_HEARTBEATS * self._heartbeat_s:
                self._forgive_pause(loop.time())

    def _forgive_pause(self, now_s: float) -> None:
        self._probes.clear()
        for instance in self._suspected_until_s:
            self._suspected_until_s[instance] = now_s + self._suspicion_s

    @property
    def _suspicion_s(self) -> float:
        return SUSPICION_HEARTBEATS * self._heartbeat_s

    def _heartbeat(self, now_s: float) -> None:
        self._heartbeats += 1
        self._table.forget_dead(now_s)
        self._bury_suspects(now_s)
        target = self._next_target()
        if target is not None:
            self._probe(target)
        if target is None or self._heartbeats % RECONNECT_HEARTBEATS == 0:
            self._probe_contact()

    def _bury_suspects(self, now_s: float) -> None:
        due = [i for i, until_s in self._suspected_until_s.items() if until_s <= now_s]
        for instance in due:
            del self._suspected_until_s[instance]
            member = self._table.get(instance)
            if member is not None and member.state is MemberState.SUSPECT:
                self._absorb(replace(member, state=MemberState.DEAD))

    def _next_target(self) -> Member | None:
        while True:
            if not self._probe_order:
                others = [m.instance for m in self._others()]
                if not others:
                    return None
                self._random.shuffle(others)
                self._probe_order = others
            member = self._table.get(self._probe_order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _probe_contact(self) -> None:
        addresses = self._contact_addresses()
        if not addresses:
            return
        probe_id = self._probes.open(Probe(None, self._due_at_s()))
        self._end_probe_later(probe_id)
        self._send_heartbeat(self._random.choice(addresses), probe_id, None)

    def _contact_addresses(self) -> list[str]:
        live = {member.peer_address for member in self._table.live()}
        known = [member.peer_address for member in self._table.dead()]
        listed = [entry.peer_address for entry in self._listed.values()]
        candidates = {*known, *listed, *self._seeds} - live - {""}
        return sorted(candidates)

    def _probe(self, target: Member) -> None:
        probe_id = self._probes.open(Probe(target, self._due_at_s()))
        loop = asyncio.get_running_loop()
        loop.call_at(self._due_at_s(), self._ask_others_to_probe, probe_id)
        self._send_heartbeat(target.peer_address, probe_id, target)

    def _due_at_s(self) -> float:
        timeout_s = PROBE_TIMEOUT_HEARTBEATS * self._heartbeat_s
        return asyncio.get_running_loop().time() + timeout_s

    def _send_heartbeat(
        self, address: str, probe_id: int, target: Member | None
    ) -> None:
        message = Heartbeat(
            probe_id, self._self, self._table.digests(), self._rumours_for(target)
        )
        self._outbox.send(address, message)

    def _ask_others_to_probe(self, probe_id: int) -> None:
        probe = self._probes.get(probe_id)
        if probe is None or probe.target is None or self._is_late(probe):
            self._probes.close(probe_id)
            return
        for helper in self._sample_others(INDIRECT_PROBES, probe.target.instance):
            message = IndirectProbe(probe_id, self._self, probe.target)
            self._outbox.send(helper.peer_address, message)
        asyncio.get_running_loop().call_at(
            probe.due_at_s + PROBE_TIMEOUT_HEARTBEATS * self._heartbeat_s,
            self._suspect,
            probe_id,
        )

    def _suspect(self, probe_id: int) -> None:
        probe = self._probes.get(probe_id)
        self._probes.close(probe_id)
        if probe is None or probe.target is None or self._is_late(probe):
            return
        member = self._table.get(probe.target.instance)
        if member is None or member.state is not MemberState.ALIVE:
            return
        self._absorb(replace(member, state=MemberState.SUSPECT))

    def _is_late(self, probe: Probe) -> bool:
        late_s = asyncio.get_running_loop().time() - probe.due_at_s
        return late_s > PAUSE_HEARTBEATS * self._heartbeat_s

    def _end_probe_later(self, probe_id: int) -> None:
        asyncio.get_running_loop().call_later(
            self._heartbeat_s, self._probes.close, probe_id
        )

    @callback
    def _on_heartbeat(self, message: Heartbeat) -> None:
        self._absorb(message.sender)
        self._absorb_all(message.rumours)
        answer = HeartbeatAnswer(
            message.probe_id,
            self._self,
            self._table.digests(),
            self._rumours_for(message.sender),
            self._records_for(message.digests),
        )
        self._outbox.send(message.sender.peer_address, answer)

    @callback
    def _on_heartbeat_answer(self, message: HeartbeatAnswer) -> None:
        self._absorb(message.sender)
        self._absorb_all(message.rumours)
        self._absorb_all(message.records, is_rumour=False)
        self._is_behind = message.digests != self._table.digests()
        probe = self._probes.answered(message.probe_id, message.sender.instance)
        if probe is None or probe.requester is None or probe.target is None:
            return
        answer = IndirectAnswer(probe.requester_probe_id, message.sender)
        self._outbox.send(probe.requester.peer_address, answer)

    @callback
    def _on_indirect_probe(self, message: IndirectProbe) -> None:
        self._absorb(message.sender)
        probe = Probe(
            message.target, self._due_at_s(), message.sender, message.probe_id
        )
        probe_id = self._probes.open(probe)
        self._end_probe_later(probe_id)
        self._send_heartbeat(message.target.peer_address, probe_id, message.target)

    @callback
    def _on_indirect_answer(self, message: IndirectAnswer) -> None:
        self._absorb(message.target)
        self._probes.answered(message.probe_id, message.target.instance)

    @callback
    def _on_rumour(self, message: Rumour) -> None:
        self._absorb_all(message.members)

    def _absorb_all(self, members: Iterable[Member], *, is_rumour: bool = True) -> None:
        for member in members:
            self._absorb(member, is_rumour=is_rumour)

    def _absorb(self, heard: Member, *, is_rumour: bool = True) -> None:
        if heard.instance == self._self.instance:
            self._note_word_of_self(heard)
            return
        self._store(heard, is_rumour=is_rumour)

    def _note_word_of_self(self, heard: Member) -> None:
        if heard.incarnation > self._self.incarnation:
            self._take_incarnation(heard.incarnation + 1)
            return
        if heard.incarnation < self._self.incarnation:
            return
        is_doubted = heard.state is not MemberState.ALIVE
        if heard.is_leaving and not self._self.is_leaving:
            self._change_self(is_leaving=True)
        elif is_doubted and heard.revision >= self._self.revision:
            self._change_self(revision=heard.revision)

    def _take_incarnation(self, incarnation: int) -> None:
        self._on_new_incarnation(incarnation)
        self._change_self(
            incarnation=incarnation, revision=0, is_leaving=self._is_stopping
        )

    def _change_self(self, **changes: int | bool) -> None:
        changed = replace(self._self, **changes)
        self._self = replace(changed, revision=changed.revision + 1)
        self._store(self._self)

    def _store(self, member: Member, *, is_rumour: bool = True) -> None:
        known = self._table.get(member.instance)
        now_s = asyncio.get_running_loop().time()
        if not self._table.put(member, now_s):
            return
        stored = self._table.get(member.instance)
        if stored is None:
            return
        self._serving.clear()
        self._note_suspicion(stored, now_s)
        if is_rumour:
            self._rumours.add(member.instance)
            self._plan_eager_rumour(member.instance)
        is_same_peer = known is not None and known.as_peer() == stored.as_peer()
        was_dead = known is not None and known.state is MemberState.DEAD
        if is_same_peer and was_dead == (stored.state is MemberState.DEAD):
            return
        self._peers = ()
        self._on_change()

    def _note_suspicion(self, member: Member, now_s: float) -> None:
        if member.state is MemberState.SUSPECT:
            until_s = now_s + self._suspicion_s
            self._suspected_until_s.setdefault(member.instance, until_s)
            return
        self._suspected_until_s.pop(member.instance, None)

    def _plan_eager_rumour(self, instance: str) -> None:
        if not self._eager:
            asyncio.get_running_loop().call_soon(self._send_eager_rumour)
        self._eager.add(instance)

    def _send_eager_rumour(self) -> None:
        members = self._records(sorted(self._eager)[:MAX_MEMBERS_PER_MESSAGE])
        self._eager.clear()
        targets = self._sample_others(EAGER_FANOUT)
        if not targets or self._eager_budget < len(targets):
            return
        self._eager_budget -= len(targets)
        for target in targets:
            self._outbox.send(target.peer_address, Rumour(members))

    def _rumours_for(self, receiver: Member | None) -> tuple[Member, ...]:
        names = self._rumours.take(MAX_MEMBERS_PER_MESSAGE, len(self._table))
        members = self._records(names)
        if receiver is None:
            return members
        known = self._table.get(receiver.instance)
        if known is None or known == receiver or known in members:
            return members
        return (*members, known)

    def _records_for(self, digests: bytes) -> tuple[Member, ...]:
        unknown = self._table.in_different_buckets(digests)
        count = min(len(unknown), MAX_MEMBERS_PER_MESSAGE)
        return tuple(self._random.sample(unknown, count))

    def _records(self, instances: Iterable[str]) -> tuple[Member, ...]:
        found = (self._table.get(instance) for instance in instances)
        return tuple(member for member in found if member is not None)

    def _others(self) -> list[Member]:
        this = self._self.instance
        return [member for member in self._table.live() if member.instance != this]

    def _sample_others(self, count: int, excluded: str = "") -> list[Member]:
        others = [m for m in self._others() if m.instance != excluded]
        return self._random.sample(others, min(count, len(others)))
