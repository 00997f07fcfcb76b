"""Dissemination of changed member records."""

import asyncio
import math
import random

from banyanswitch.components.membership.const import (
    EAGER_FANOUT,
    EAGER_MESSAGES_PER_S,
    MAX_MEMBERS_PER_MESSAGE,
    RUMOUR_TRANSMISSIONS_PER_DOUBLING,
)
from banyanswitch.components.membership.member_list import MemberList
from banyanswitch.components.membership.models import Member, Rumour
from banyanswitch.components.peers.outbox import Outbox


class RumourQueue:
    """Count the transmissions of each changed member's record.

    A change is sent a number of times that grows with the logarithm of the number of
    members. Changes with the fewest transmissions are sent first.
    """

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def add(self, instance: str) -> None:
        """Queue a member's record and reset its number of transmissions."""
        self._transmissions[instance] = 0

    def take(self, limit: int, member_count: int) -> list[str]:
        """Return the members for one message and count its transmission."""
        bound = RUMOUR_TRANSMISSIONS_PER_DOUBLING * math.ceil(
            math.log2(member_count + 1)
        )
        chosen = sorted(self._transmissions, key=self._transmissions.__getitem__)
        chosen = chosen[:limit]
        for instance in chosen:
            self._transmissions[instance] += 1
            if self._transmissions[instance] >= bound:
                del self._transmissions[instance]
        return chosen


class RumourSender:
    """Send changes to a few members immediately and add them to later heartbeats.

    Immediate messages are limited by a budget; changes beyond it are sent only with
    heartbeats.

    Parameters
    ----------
    members : MemberList
        The members.
    outbox : Outbox
        Sends messages.
    generator : random.Random
        Chooses the receivers.
    """

    def __init__(
        self, members: MemberList, outbox: Outbox, generator: random.Random
    ) -> None:
        self._members = members
        self._outbox = outbox
        self._random = generator
        self._queue = RumourQueue()
        self._pending: set[str] = set()
        self._budget = EAGER_MESSAGES_PER_S

    def add(self, instance: str) -> None:
        """Send a member's record within the budget now, and with later heartbeats."""
        self._queue.add(instance)
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._send_pending)
        self._pending.add(instance)

    def refill(self, elapsed_s: float) -> None:
        """Refill the budget of immediate messages after a time in seconds."""
        refilled = self._budget + EAGER_MESSAGES_PER_S * elapsed_s
        self._budget = min(EAGER_MESSAGES_PER_S, refilled)

    def take_for(self, receiver: Member | None) -> tuple[Member, ...]:
        """Return the records to add to a message.

        The receiver's record as known here is added if it differs from the
        receiver's own, so that the receiver can refute it.
        """
        names = self._queue.take(MAX_MEMBERS_PER_MESSAGE, len(self._members.table))
        members = self._members.records(names)
        if receiver is None:
            return members
        known = self._members.table.get(receiver.instance)
        if known is None or known == receiver or known in members:
            return members
        return (*members, known)

    def _send_pending(self) -> None:
        pending = sorted(self._pending)[:MAX_MEMBERS_PER_MESSAGE]
        members = self._members.records(pending)
        self._pending.clear()
        targets = self._members.sample_others(self._random, EAGER_FANOUT)
        if not targets or self._budget < len(targets):
            return
        self._budget -= len(targets)
        for target in targets:
            self._outbox.send(target.peer_address, Rumour(members))
