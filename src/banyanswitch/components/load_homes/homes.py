"""Assignment of a home instance to each upstream."""

from banyanswitch.components.load_homes.const import MAX_REPORTING_INSTANCES
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import Peer, PeerDirectory


class LoadHomes:
    """Determine which instance keeps the load of an upstream.

    Rendezvous hashing gives the same result on all instances that know the same
    instances. Where they differ, a share is reported to one instance and asked for at
    another one until they agree again.

    Parameters
    ----------
    peers : PeerDirectory
        The live instances.
    readers : ReaderAssignment
        Selects an instance for each upstream.
    """

    def __init__(self, peers: PeerDirectory, readers: ReaderAssignment) -> None:
        self._peers = peers
        self._readers = readers

    def are_used(self) -> bool:
        """Return whether there are too many instances for reports to all of them."""
        return len(self._peers.peers()) > MAX_REPORTING_INSTANCES

    def home(self, upstream: UpstreamId) -> Peer | None:
        """Return the home of an upstream, or ``None`` while no instance is ready."""
        chosen = self._readers.readers(f"load/{upstream}", 1)
        return chosen[0] if chosen else None
