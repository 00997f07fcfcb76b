"""Assignment of the instances that read a source on behalf of all."""

from banyanswitch.components.peers.const import MAX_DIRECT_READERS
from banyanswitch.decisions.rendezvous import is_selected, select_instances
from banyanswitch.interfaces import Peer, PeerDirectory


class ReaderAssignment:
    """Determine which instances read a source that can't serve every instance.

    A few instances all read the source themselves. With more, some of them read it and
    relay the data. If instances disagree on which of them are live, the source only has
    more or fewer readers than needed.

    Parameters
    ----------
    peers : PeerDirectory
        The live instances.
    """

    def __init__(self, peers: PeerDirectory) -> None:
        self._peers = peers
        self._last_peers: tuple[Peer, ...] = ()
        self._candidates: frozenset[str] = frozenset()
        self._is_reader: dict[tuple[str, int], bool] = {}
        self._chosen: dict[tuple[str, int], tuple[Peer, ...]] = {}

    def is_relayed(self, max_direct: int = MAX_DIRECT_READERS) -> bool:
        """Return whether some instances depend on data that the readers relay."""
        return len(self._current_candidates()) > min(max_direct, MAX_DIRECT_READERS)

    def is_reader(
        self, topic: str, readers: int, max_direct: int = MAX_DIRECT_READERS
    ) -> bool:
        """Return whether this instance reads a source.

        Parameters
        ----------
        topic : str
            Name of the source.
        readers : int
            Number of instances that read it on behalf of all.
        max_direct : int
            Number of instances up to which each one reads the source itself, limited
            to `MAX_DIRECT_READERS`.
        """
        candidates = self._current_candidates()
        if not self.is_relayed(max_direct):
            return True
        key = (topic, readers)
        if key not in self._is_reader:
            this = self._peers.this_instance().instance
            self._is_reader[key] = is_selected(topic, this, candidates, readers)
        return self._is_reader[key]

    def readers(self, topic: str, readers: int) -> tuple[Peer, ...]:
        """Return the instances that read a source on behalf of all."""
        key = (topic, readers)
        candidates = self._current_candidates()
        if key not in self._chosen:
            first = select_instances(topic, candidates, readers)
            peers = self._peers.peers()
            self._chosen[key] = tuple(p for p in peers if p.instance in first)
        return self._chosen[key]

    def _current_candidates(self) -> frozenset[str]:
        peers = self._peers.peers()
        # Called for each store in each report. The directory returns the same tuple
        # until it changes, so comparing the identity is enough.
        if peers is self._last_peers:
            return self._candidates
        self._last_peers = peers
        candidates = frozenset(peer.instance for peer in peers if not peer.is_leaving)
        if candidates != self._candidates:
            self._candidates = candidates
            self._is_reader.clear()
            self._chosen.clear()
        return self._candidates
