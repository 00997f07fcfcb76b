"""Selection of the instances that watch a duty."""

import random

from banyanswitch.components.lease.const import CANDIDATE_COUNT, EXTRA_WATCHERS
from banyanswitch.decisions.rendezvous import is_selected
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import PeerDirectory


class WatcherSelector:
    """Select the duties whose records this instance reads in one step.

    Rendezvous hashing selects a few candidates per duty from the active instances,
    so that the table reads do not grow with the number of instances. On average, one
    randomly selected other instance also reads the record in each step, in case no
    candidate can reach the table. If instances disagree on which instances are
    active, they only read more or less often than needed.

    Parameters
    ----------
    peers : PeerDirectory
        Provides the active instances.
    generator : random.Random
        Selects the steps in which this instance reads without being a candidate.
    """

    def __init__(self, peers: PeerDirectory, generator: random.Random) -> None:
        self._peers = peers
        self._generator = generator
        self._active: frozenset[InstanceId] = frozenset()
        self._is_candidate: dict[str, bool] = {}

    def refresh(self) -> None:
        """Update the set of active instances; call it once per step."""
        this_instance = self._peers.this_instance().instance
        peers = self._peers.peers()
        active = {peer.instance for peer in peers if not peer.is_leaving}
        active.add(this_instance)
        if active != self._active:
            self._active = frozenset(active)
            self._is_candidate.clear()

    def is_watching(self, name: str) -> bool:
        """Return whether this instance reads the duty's record in this step."""
        if self._peers.this_instance().is_leaving:
            return False
        if self.is_candidate(name):
            return True
        others = len(self._active) - CANDIDATE_COUNT
        return self._generator.random() * others < EXTRA_WATCHERS

    def is_candidate(self, name: str) -> bool:
        """Return whether this instance is one of the duty's candidates."""
        if name not in self._is_candidate:
            this = self._peers.this_instance().instance
            self._is_candidate[name] = is_selected(
                name, this, self._active, CANDIDATE_COUNT
            )
        return self._is_candidate[name]
