"""Record of this instance and the records of the other members."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Protocol

import xxhash
from msgspec.structs import replace

from banyanswitch.components.membership.const import SERVICE_MASK_BITS
from banyanswitch.components.membership.member_table import MemberTable
from banyanswitch.components.membership.models import Member, MemberState
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import Peer


class StoredHandler(Protocol):
    """Handler of a changed member record."""

    def __call__(self, member: Member, *, is_rumour: bool) -> None:
        """Handle the new record; ``is_rumour`` states whether it is passed on."""


def service_mask(services: Iterable[ServiceName]) -> int:
    """Return the mask in which each service sets the bit of its hash."""
    mask = 0
    for service in services:
        mask |= 1 << (xxhash.xxh32_intdigest(service.encode()) % SERVICE_MASK_BITS)
    return mask


class MemberList:
    """Members, including this instance, as other components see them.

    Parameters
    ----------
    this_member : Member
        First record of this instance.
    on_change : callable
        Called after the set of live instances or the ``Peer`` of one of them changed.
    on_new_incarnation : callable
        Called with the new number when this instance starts a new incarnation.
    on_stored : StoredHandler
        Called after any record changed.
    """

    def __init__(
        self,
        this_member: Member,
        *,
        on_change: Callable[[], None],
        on_new_incarnation: Callable[[int], None],
        on_stored: StoredHandler,
    ) -> None:
        self.this = this_member
        self.table = MemberTable()
        self.is_stopping = False
        self._on_change = on_change
        self._on_new_incarnation = on_new_incarnation
        self._on_stored = on_stored
        self._peers: tuple[Peer, ...] = ()
        self._serving: dict[ServiceName, tuple[Peer, ...]] = {}

    def peers(self) -> tuple[Peer, ...]:
        """Return all live instances, in the order of their identifiers."""
        if not self._peers:
            self._peers = tuple(member.as_peer() for member in self._sorted_live())
        return self._peers

    def serving(self, service: ServiceName) -> tuple[Peer, ...]:
        """Return the live instances that serve a service, in a fixed order.

        Instances whose services have the same hash bit may be among them.
        """
        if service not in self._serving:
            mask = service_mask((service,))
            found = (m for m in self._sorted_live() if m.service_mask & mask)
            self._serving[service] = tuple(member.as_peer() for member in found)
        return self._serving[service]

    def others(self) -> list[Member]:
        """Return the other live members."""
        this = self.this.instance
        return [member for member in self.table.live() if member.instance != this]

    def sample_others(
        self, generator: random.Random, count: int, excluded: str = ""
    ) -> list[Member]:
        """Return a few other live members."""
        others = [m for m in self.others() if m.instance != excluded]
        return generator.sample(others, min(count, len(others)))

    def records(self, instances: Iterable[str]) -> tuple[Member, ...]:
        """Return the records of the given instances, without unknown ones."""
        found = (self.table.get(instance) for instance in instances)
        return tuple(member for member in found if member is not None)

    def apply_records(
        self, members: Iterable[Member], *, is_rumour: bool = True
    ) -> None:
        """Apply records; rumours are passed on to other members."""
        for member in members:
            self.apply_record(member, is_rumour=is_rumour)

    def apply_record(self, received: Member, *, is_rumour: bool = True) -> None:
        """Apply a record; a rumour is passed on to other members.

        A record of this instance is not stored: its leaving flag is adopted, and a
        wrong state is refuted.
        """
        if received.instance == self.this.instance:
            self._apply_own_record(received)
            return
        self.store(received, is_rumour=is_rumour)

    def update_own_record(self, **changes: int | bool) -> None:
        """Change this instance's record and pass it on."""
        changed = replace(self.this, **changes)
        self.this = replace(changed, revision=changed.revision + 1)
        self.store(self.this)

    def start_incarnation(self, incarnation: int) -> None:
        """Start a new incarnation; it is leaving only if this instance is stopping."""
        self._on_new_incarnation(incarnation)
        self.update_own_record(
            incarnation=incarnation, revision=0, is_leaving=self.is_stopping
        )

    def store(self, member: Member, *, is_rumour: bool = True) -> None:
        """Merge a record into the table and call the handlers of what changed."""
        known = self.table.get(member.instance)
        if not self.table.put(member, asyncio.get_running_loop().time()):
            return
        (stored,) = self.records((member.instance,))
        self._serving.clear()
        self._on_stored(stored, is_rumour=is_rumour)
        is_same_peer = known is not None and known.as_peer() == stored.as_peer()
        was_dead = known is not None and known.state is MemberState.DEAD
        if is_same_peer and was_dead == (stored.state is MemberState.DEAD):
            return
        self._peers = ()
        self._on_change()

    def _apply_own_record(self, received: Member) -> None:
        if received.incarnation > self.this.incarnation:
            self.start_incarnation(received.incarnation + 1)
            return
        if received.incarnation < self.this.incarnation:
            return
        is_suspected_or_dead = received.state is not MemberState.ALIVE
        if received.is_leaving and not self.this.is_leaving:
            self.update_own_record(is_leaving=True)
        elif is_suspected_or_dead and received.revision >= self.this.revision:
            self.update_own_record(revision=received.revision)

    def _sorted_live(self) -> list[Member]:
        return sorted(self.table.live(), key=lambda member: member.instance)
