"""Choice of the instances that watch a duty."""

import xxhash

from banyanswitch.components.lease.const import CANDIDATE_COUNT
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import PeerDirectory


def is_candidate(name: str, peers: PeerDirectory) -> bool:
    """Return whether this instance watches the named duty.

    Rendezvous hashing picks a few of the live instances for each duty, so that the
    reads of the table do not grow with the number of instances. Instances that
    disagree on who is alive only watch more or fewer duties than needed.
    """
    this_instance = peers.this_instance()
    if this_instance.is_leaving:
        return False
    staying = {peer.instance for peer in peers.peers() if not peer.is_leaving}
    staying.add(this_instance.instance)
    own_score = _score(name, this_instance.instance)
    better = sum(_score(name, instance) > own_score for instance in staying)
    return better < CANDIDATE_COUNT


def _score(name: str, instance: InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{name}\0{instance}".encode())
