"""Choice of the instances that watch a duty."""

import random

from banyanswitch.components.lease.const import CANDIDATE_COUNT, SPARE_WATCHERS
from banyanswitch.decisions.rendezvous import is_selected
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import PeerDirectory


class WatchChoice:
    """Choose the duties that this instance reads in one step.

    Rendezvous hashing picks a few of the live instances for each duty, so that the
    reads of the table do not grow with the number of instances. The others take
    turns at random, one a step, in case none of those few reaches the table.
    Instances that disagree on who is alive only read more or less than needed.

    Parameters
    ----------
    generator : random.Random
        Decides whose turn it is.
    """

    def __init__(self, peers: PeerDirectory, generator: random.Random) -> None:
        self._peers = peers
        self._generator = generator
        self._staying: frozenset[InstanceId] = frozenset()
        self._is_candidate: dict[str, bool] = {}

    def refresh(self) -> None:
        """Take in which instances are alive; call once a step."""
        this_instance = self._peers.this_instance().instance
        peers = self._peers.peers()
        staying = {peer.instance for peer in peers if not peer.is_leaving}
        staying.add(this_instance)
        if staying != self._staying:
            self._staying = frozenset(staying)
            self._is_candidate.clear()

    def is_watching(self, name: str) -> bool:
        """Return whether this instance reads the named duty in this step."""
        if self._peers.this_instance().is_leaving:
            return False
        if self.is_candidate(name):
            return True
        others = len(self._staying) - CANDIDATE_COUNT
        return self._generator.random() * others < SPARE_WATCHERS

    def is_candidate(self, name: str) -> bool:
        """Return whether this instance is among the few that always watch."""
        if name not in self._is_candidate:
            this = self._peers.this_instance().instance
            self._is_candidate[name] = is_selected(
                name, this, self._staying, CANDIDATE_COUNT
            )
        return self._is_candidate[name]
