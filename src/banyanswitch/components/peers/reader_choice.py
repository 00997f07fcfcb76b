"""Choice of the instances that read a source for all."""

from banyanswitch.components.peers.const import DIRECT_INSTANCES
from banyanswitch.decisions.rendezvous import is_selected, select_instances
from banyanswitch.interfaces import Peer, PeerDirectory


class ReaderChoice:
    """Say who reads a source that can not answer every instance.

    Few instances all read for themselves. Of more, some read and pass on what they
    learn. Instances that disagree on who is alive only read more or less than needed.

    Parameters
    ----------
    peers : PeerDirectory
        The live instances.
    """

    def __init__(self, peers: PeerDirectory) -> None:
        self._peers = peers
        self._seen: tuple[Peer, ...] = ()
        self._staying: frozenset[str] = frozenset()
        self._is_reader: dict[tuple[str, int], bool] = {}
        self._chosen: dict[tuple[str, int], tuple[Peer, ...]] = {}

    def is_relayed(self, direct: int = DIRECT_INSTANCES) -> bool:
        """Return whether some instances depend on what the readers pass on."""
        return len(self._refreshed()) > min(direct, DIRECT_INSTANCES)

    def is_reader(
        self, topic: str, readers: int, direct: int = DIRECT_INSTANCES
    ) -> bool:
        """Return whether this instance reads a source.

        Parameters
        ----------
        topic : str
            Name of the source.
        readers : int
            Instances that read it for all.
        direct : int
            Up to how many instances all read it.
        """
        staying = self._refreshed()
        if not self.is_relayed(direct):
            return True
        key = (topic, readers)
        if key not in self._is_reader:
            this = self._peers.this_instance().instance
            self._is_reader[key] = is_selected(topic, this, staying, readers)
        return self._is_reader[key]

    def readers(self, topic: str, readers: int) -> tuple[Peer, ...]:
        """Return the instances that read a source for all."""
        key = (topic, readers)
        staying = self._refreshed()
        if key not in self._chosen:
            first = select_instances(topic, staying, readers)
            peers = self._peers.peers()
            self._chosen[key] = tuple(p for p in peers if p.instance in first)
        return self._chosen[key]

    def _refreshed(self) -> frozenset[str]:
        peers = self._peers.peers()
        # Asked for each store in each report; the list is the same until it changes.
        if peers is self._seen:
            return self._staying
        self._seen = peers
        staying = frozenset(peer.instance for peer in peers if not peer.is_leaving)
        if staying != self._staying:
            self._staying = staying
            self._is_reader.clear()
            self._chosen.clear()
        return self._staying
