"""Relay tree that distributes a digest to all instances that use a service."""

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
    """Return the instances to which this one relays a digest.

    The serving instances form a tree in heap layout that is rotated for each digest.
    This shares the relay load, and a failed instance cuts off different instances in
    each digest. The collector sends the digest to the root.

    Parameters
    ----------
    serving : sequence of Peer
        Instances that use the service, sorted by identifier.
    """
    receivers = _Receivers(serving, digest.collector)
    if receivers.count == 0:
        return []
    seed = f"{digest.service}|{digest.group}|{digest.collector}|{digest.sequence}"
    offset = xxhash.xxh32_intdigest(seed.encode()) % receivers.count
    if digest.collector == this_instance:
        return [receivers.at(offset)]
    index = receivers.index(this_instance)
    if index is None:
        return []
    position = (index - offset) % receivers.count
    first = position * RELAY_FANOUT + 1
    children = range(first, min(first + RELAY_FANOUT, receivers.count))
    return [receivers.at((child + offset) % receivers.count) for child in children]


class _Receivers:
    """The serving instances without the collector, indexed from zero."""

    def __init__(self, serving: Sequence[Peer], collector: str) -> None:
        self._serving = serving
        found = _index(serving, collector)
        self._collector_index = len(serving) if found is None else found
        self.count = len(serving) - (found is not None)

    def at(self, index: int) -> Peer:
        """Return the instance at an index."""
        return self._serving[index + (index >= self._collector_index)]

    def index(self, instance: str) -> int | None:
        """Return the index of an instance, or ``None`` if it is not included."""
        found = _index(self._serving, instance)
        if found is None:
            return None
        return found - (found > self._collector_index)


def _index(serving: Sequence[Peer], instance: str) -> int | None:
    index = bisect_left(serving, instance, key=lambda peer: peer.instance)
    if index == len(serving) or serving[index].instance != instance:
        return None
    return index
