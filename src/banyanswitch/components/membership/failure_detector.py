"""Probing of the other members and suspicion of those that do not answer."""

import asyncio
import math
import random
from collections.abc import Callable

from msgspec.structs import replace

from banyanswitch.components.membership.const import (
    INDIRECT_PROBES,
    PAUSE_HEARTBEATS,
    PROBE_TIMEOUT_HEARTBEATS,
    SUSPICION_DOUBLINGS,
    SUSPICION_HEARTBEATS,
)
from banyanswitch.components.membership.member_list import MemberList
from banyanswitch.components.membership.models import (
    HeartbeatAnswer,
    IndirectAnswer,
    IndirectProbe,
    Member,
    MemberState,
)
from banyanswitch.components.membership.probe_table import Probe, ProbeTable
from banyanswitch.components.peers.outbox import Outbox

SendHeartbeat = Callable[[str, int, Member | None], None]


class FailureDetector:
    """Probe members directly, then indirectly; suspect them and declare them dead.

    Parameters
    ----------
    members : MemberList
        The members.
    outbox : Outbox
        Sends messages.
    send_heartbeat : callable
        Sends a heartbeat to an address with a probe's identifier.
    heartbeat_s : float
        Time between probes, in seconds.
    generator : random.Random
        Chooses the order of the probes and the members that probe indirectly.
    """

    def __init__(
        self,
        members: MemberList,
        outbox: Outbox,
        send_heartbeat: SendHeartbeat,
        heartbeat_s: float,
        generator: random.Random,
    ) -> None:
        self._members = members
        self._outbox = outbox
        self._send_heartbeat = send_heartbeat
        self._heartbeat_s = heartbeat_s
        self._random = generator
        self._probes = ProbeTable()
        self._order: list[str] = []
        self._suspected_until_s: dict[str, float] = {}

    def probe_next(self) -> bool:
        """Probe the next member; return whether there was one."""
        target = self._next_target()
        if target is None:
            return False
        due_at_s = self._due_at_s()
        probe_id = self._probes.open(Probe(target, due_at_s))
        loop = asyncio.get_running_loop()
        loop.call_at(due_at_s, self._send_indirect_probes, probe_id)
        self._send_heartbeat(target.peer_address, probe_id, target)
        return True

    def probe_address(self, address: str) -> None:
        """Probe an address; a missing answer raises no suspicion."""
        probe_id = self._open_expiring(Probe(None, self._due_at_s()))
        self._send_heartbeat(address, probe_id, None)

    def probe_for(self, request: IndirectProbe) -> None:
        """Probe a member on behalf of another member."""
        target = request.target
        probe = Probe(target, self._due_at_s(), request.sender, request.probe_id)
        self._send_heartbeat(target.peer_address, self._open_expiring(probe), target)

    def note_answer(self, answer: HeartbeatAnswer) -> None:
        """Close an answered probe and report the answer to its requester, if any."""
        probe = self._probes.close_answered(answer.probe_id, answer.sender.instance)
        if probe is None or probe.requester is None:
            return
        message = IndirectAnswer(probe.requester_probe_id, answer.sender)
        self._outbox.send(probe.requester.peer_address, message)

    def note_indirect_answer(self, answer: IndirectAnswer) -> None:
        """Close a probe whose target answered another member."""
        self._probes.close_answered(answer.probe_id, answer.target.instance)

    def note_stored(self, member: Member) -> None:
        """Start or end the suspicion of a member whose record changed."""
        if member.state is not MemberState.SUSPECT:
            self._suspected_until_s.pop(member.instance, None)
            return
        until_s = asyncio.get_running_loop().time() + self._suspicion_s
        self._suspected_until_s.setdefault(member.instance, until_s)

    def declare_suspects_dead(self, now_s: float) -> None:
        """Declare suspects dead that did not refute the suspicion in time."""
        due = [i for i, until_s in self._suspected_until_s.items() if until_s <= now_s]
        for instance in due:
            del self._suspected_until_s[instance]
            member = self._members.table.get(instance)
            if member is not None and member.state is MemberState.SUSPECT:
                self._members.apply_record(replace(member, state=MemberState.DEAD))

    def reset_after_pause(self, now_s: float) -> None:
        """Discard open probes and restart the suspicion times after a pause.

        While this process was paused, it could receive no answers.
        """
        self._probes.clear()
        for instance in self._suspected_until_s:
            self._suspected_until_s[instance] = now_s + self._suspicion_s

    @property
    def _suspicion_s(self) -> float:
        doublings = math.log2(max(2, len(self._members.table.live())))
        scale = max(1.0, doublings / SUSPICION_DOUBLINGS)
        return SUSPICION_HEARTBEATS * scale * self._heartbeat_s

    def _next_target(self) -> Member | None:
        while True:
            if not self._order:
                self._order = [member.instance for member in self._members.others()]
                self._random.shuffle(self._order)
            if not self._order:
                return None
            member = self._members.table.get(self._order.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    def _due_at_s(self) -> float:
        timeout_s = PROBE_TIMEOUT_HEARTBEATS * self._heartbeat_s
        return asyncio.get_running_loop().time() + timeout_s

    def _open_expiring(self, probe: Probe) -> int:
        probe_id = self._probes.open(probe)
        loop = asyncio.get_running_loop()
        loop.call_later(self._heartbeat_s, self._probes.close, probe_id)
        return probe_id

    def _send_indirect_probes(self, probe_id: int) -> None:
        probe = self._probes.get(probe_id)
        if probe is None or probe.target is None or self._was_paused(probe):
            self._probes.close(probe_id)
            return
        message = IndirectProbe(probe_id, self._members.this, probe.target)
        excluded = probe.target.instance
        for helper in self._members.sample_others(
            self._random, INDIRECT_PROBES, excluded
        ):
            self._outbox.send(helper.peer_address, message)
        suspect_at_s = probe.due_at_s + PROBE_TIMEOUT_HEARTBEATS * self._heartbeat_s
        asyncio.get_running_loop().call_at(suspect_at_s, self._suspect, probe_id)

    def _suspect(self, probe_id: int) -> None:
        probe = self._probes.get(probe_id)
        self._probes.close(probe_id)
        if probe is None or probe.target is None or self._was_paused(probe):
            return
        member = self._members.table.get(probe.target.instance)
        if member is None or member.state is not MemberState.ALIVE:
            return
        self._members.apply_record(replace(member, state=MemberState.SUSPECT))

    def _was_paused(self, probe: Probe) -> bool:
        """Return whether the process was paused, as a late timer of the probe shows."""
        late_s = asyncio.get_running_loop().time() - probe.due_at_s
        return late_s > PAUSE_HEARTBEATS * self._heartbeat_s
