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
    others = _Others(serving, digest.gatherer)
    if others.count == 0:
        return []
    seed = f"{digest.service}|{digest.group}|{digest.gatherer}|{digest.sequence}"
    offset = xxhash.xxh32_intdigest(seed.encode()) % others.count
    if digest.gatherer == this_instance:
        return [others.at(offset)]
    index = others.index(this_instance)
    if index is None:
        return []
    position = (index - offset) % others.count
    first = position * RELAY_FANOUT + 1
    children = range(first, min(first + RELAY_FANOUT, others.count))
    return [others.at((child + offset) % others.count) for child in children]


class _Others:
    """The serving instances without the gatherer."""

    def __init__(self, serving: Sequence[Peer], gatherer: str) -> None:
        self._serving = serving
        found = _index(serving, gatherer)
        self._gatherer_index = len(serving) if found is None else found
        self.count = len(serving) - (found is not None)

    def at(self, index: int) -> Peer:
        """Return the instance with this index."""
        return self._serving[index + (index >= self._gatherer_index)]

    def index(self, instance: str) -> int | None:
        """Return the index of an instance."""
        found = _index(self._serving, instance)
        if found is None:
            return None
        return found - (found > self._gatherer_index)


def _index(serving: Sequence[Peer], instance: str) -> int | None:
    index = bisect_left(serving, instance, key=lambda peer: peer.instance)
    if index == len(serving) or serving[index].instance != instance:
        return None
    return index
