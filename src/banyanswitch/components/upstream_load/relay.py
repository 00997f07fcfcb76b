"""Tree along which a digest reaches all instances that serve a service."""

from bisect import bisect_left
from collections.abc import Sequence

import xxhash

from banyanswitch.components.upstream_load.const import RELAY_FANOUT
from banyanswitch.components.upstream_load.models import LoadDigest
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import Peer


def relay_targets(
    digest: LoadDigest, serving: Sequence[Peer], this_instance: InstanceId
) -> list[Peer]:
    """Return the instances to which this one passes a digest on.

    The serving instances form a heap whose order is rotated with each digest, so
    that the work is shared and a dead instance cuts others off from one digest only.
    The gatherer stands above the root.

    Parameters
    ----------
    serving : sequence of Peer
        Instances that serve the service, in the order of their identifiers.
    """
    count = len(serving)
    if count == 0:
        return []
    seed = f"{digest.service}|{digest.group}|{digest.gatherer}|{digest.sequence}"
    offset = xxhash.xxh32_intdigest(seed.encode()) % count
    if digest.gatherer == this_instance:
        return [serving[offset]]
    index = bisect_left(serving, this_instance, key=lambda peer: peer.instance)
    if index == count or serving[index].instance != this_instance:
        return []
    position = (index - offset) % count
    first = position * RELAY_FANOUT + 1
    children = range(first, min(first + RELAY_FANOUT, count))
    return [serving[(child + offset) % count] for child in children]
