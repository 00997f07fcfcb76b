"""Membership of this instance: heartbeats, rumours and the directory of instances."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence

from msgspec.structs import replace

from banyanswitch.components.membership.const import (
    CATCH_UP_DIVISOR,
    EAGER_FANOUT,
    MAX_MEMBERS_PER_MESSAGE,
    PAUSE_HEARTBEATS,
    RECONNECT_HEARTBEATS,
)
from banyanswitch.components.membership.failure_detector import FailureDetector
from banyanswitch.components.membership.listed_instances import ListedInstances
from banyanswitch.components.membership.member_list import MemberList, service_mask
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
from banyanswitch.components.membership.rumours import RumourSender
from banyanswitch.components.peers.outbox import Outbox
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import Peer, PeerTransport


class MembershipCoordinator:
    """Directory of the live instances, maintained by probes and rumours.

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
        Source of randomness for probe targets, receivers and intervals.
    on_change : callable
        Called after each change of the directory.
    on_new_incarnation : callable
        Called with the new number when this instance starts a new incarnation.
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
        self._seeds: tuple[str, ...] = ()
        self._heartbeat_s = heartbeat_s
        self._random = generator
        self._members = MemberList(
            this_member,
            on_change=on_change,
            on_new_incarnation=on_new_incarnation,
            on_stored=self._on_stored,
        )
        self._listed = ListedInstances(self._members)
        self._rumours = RumourSender(self._members, self._outbox, generator)
        self._detector = FailureDetector(
            self._members, self._outbox, self._send_heartbeat, heartbeat_s, generator
        )
        self._lists_differ = True
        self._heartbeats = 0
        self.set_seeds(seeds)
        transport.subscribe(Heartbeat, self._on_heartbeat)
        transport.subscribe(HeartbeatAnswer, self._on_heartbeat_answer)
        transport.subscribe(IndirectProbe, self._on_indirect_probe)
        transport.subscribe(IndirectAnswer, self._on_indirect_answer)
        transport.subscribe(Rumour, self._on_rumour)

    def this_instance(self) -> Peer:
        """Return this instance."""
        return self._members.this.as_peer()

    def peers(self) -> tuple[Peer, ...]:
        """Return all live instances, in the order of their identifiers."""
        return self._members.peers()

    def serving(self, service: ServiceName) -> tuple[Peer, ...]:
        """Return the live instances that serve a service, in a fixed order.

        Instances whose services have the same hash bit may be among them.
        """
        return self._members.serving(service)

    @property
    def seeds(self) -> tuple[str, ...]:
        """Peer addresses of the other instances that the settings name."""
        return self._seeds

    @callback
    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Replace the addresses to probe while no other instance is known."""
        own = self._members.this.peer_address
        self._seeds = tuple(address for address in seeds if address != own)

    def is_leaving_but_not_stopping(self) -> bool:
        """Return whether this instance is marked as leaving but is not stopping."""
        return self._members.this.is_leaving and not self._members.is_stopping

    async def async_run(self) -> None:
        """Run the membership protocol until cancelled."""
        self._members.store(self._members.this)
        sender = asyncio.get_running_loop().create_task(self._outbox.async_run())
        try:
            await self._async_probe_members()
        finally:
            sender.cancel()

    @callback
    def begin_leaving(self) -> None:
        """Mark this instance as stopping; announce that it accepts no new callers."""
        self._members.is_stopping = True
        self._members.update_own_record(is_leaving=True)

    @callback
    def accept_callers(self) -> None:
        """Announce that this instance accepts callers from now on.

        Starts a new incarnation if the record of this instance has the leaving flag,
        because the flag can't be cleared within an incarnation. Has no effect while the
        instance is stopping.
        """
        this = self._members.this
        if this.is_leaving and not self._members.is_stopping:
            self._members.start_incarnation(this.incarnation + 1)

    async def async_announce_departure(self) -> None:
        """Send a record that declares this instance dead to a few other members."""
        departed = replace(self._members.this, state=MemberState.DEAD)
        for member in self._members.sample_others(self._random, EAGER_FANOUT):
            self._outbox.send(member.peer_address, Rumour((departed,)))
        await asyncio.sleep(0)

    @callback
    def declare_services(self, services: Iterable[ServiceName]) -> None:
        """Announce which services this instance serves."""
        mask = service_mask(services)
        if mask != self._members.this.service_mask:
            self._members.update_own_record(service_mask=mask)

    @callback
    def note_list(self, entries: Sequence[ListedInstance]) -> None:
        """Apply the platform's list."""
        self._listed.note(entries)

    async def _async_probe_members(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._heartbeat(loop.time())
            divisor = CATCH_UP_DIVISOR if self._lists_differ else 1
            interval_s = self._heartbeat_s / divisor * self._random.uniform(0.9, 1.1)
            wake_at_s = loop.time() + interval_s
            await asyncio.sleep(interval_s)
            self._rumours.refill(interval_s)
            if loop.time() - wake_at_s > PAUSE_HEARTBEATS * self._heartbeat_s:
                self._detector.reset_after_pause(loop.time())

    def _heartbeat(self, now_s: float) -> None:
        self._heartbeats += 1
        self._members.table.remove_expired(now_s)
        self._detector.declare_suspects_dead(now_s)
        is_alone = not self._detector.probe_next()
        if is_alone or self._heartbeats % RECONNECT_HEARTBEATS == 0:
            self._probe_contact()

    def _probe_contact(self) -> None:
        addresses = self._contact_addresses()
        if addresses:
            self._detector.probe_address(self._random.choice(addresses))

    def _contact_addresses(self) -> list[str]:
        table = self._members.table
        live = {member.peer_address for member in table.live()}
        dead = [member.peer_address for member in table.dead()]
        candidates = {*dead, *self._listed.addresses(), *self._seeds}
        return sorted(candidates - live - {""})

    def _send_heartbeat(
        self, address: str, probe_id: int, target: Member | None
    ) -> None:
        message = Heartbeat(
            probe_id,
            self._members.this,
            self._members.table.digests(),
            self._rumours.take_for(target),
        )
        self._outbox.send(address, message)

    @callback
    def _on_heartbeat(self, message: Heartbeat) -> None:
        self._members.apply_record(message.sender)
        self._members.apply_records(message.rumours)
        answer = HeartbeatAnswer(
            message.probe_id,
            self._members.this,
            self._members.table.digests(),
            self._rumours.take_for(message.sender),
            self._different_records(message.digests),
        )
        self._outbox.send(message.sender.peer_address, answer)

    @callback
    def _on_heartbeat_answer(self, message: HeartbeatAnswer) -> None:
        self._members.apply_record(message.sender)
        self._members.apply_records(message.rumours)
        self._members.apply_records(message.records, is_rumour=False)
        self._lists_differ = message.digests != self._members.table.digests()
        self._detector.note_answer(message)

    @callback
    def _on_indirect_probe(self, message: IndirectProbe) -> None:
        self._members.apply_record(message.sender)
        self._detector.probe_for(message)

    @callback
    def _on_indirect_answer(self, message: IndirectAnswer) -> None:
        self._members.apply_record(message.target)
        self._detector.note_indirect_answer(message)

    @callback
    def _on_rumour(self, message: Rumour) -> None:
        self._members.apply_records(message.members)

    @callback
    def _on_stored(self, member: Member, *, is_rumour: bool) -> None:
        self._detector.note_stored(member)
        if is_rumour:
            self._rumours.add(member.instance)

    def _different_records(self, digests: bytes) -> tuple[Member, ...]:
        different = self._members.table.in_different_buckets(digests)
        count = min(len(different), MAX_MEMBERS_PER_MESSAGE)
        return tuple(self._random.sample(different, count))
