"""Choice of the instances that poll the platform's table service."""

from collections.abc import Sequence

import xxhash

from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import Peer


def choose_watchers(peers: Sequence[Peer], count: int) -> tuple[InstanceId, ...]:
    """Choose a few live instances, in different failure domains where possible.

    All instances that know the same peers choose the same watchers. If one peer joins
    or leaves, at most one watcher is replaced.
    """
    ranked = sorted(peers, key=_rank)
    chosen: list[Peer] = []
    for peer in ranked:
        if all(peer.failure_domain != other.failure_domain for other in chosen):
            chosen.append(peer)
    chosen += [peer for peer in ranked if peer not in chosen]
    return tuple(peer.instance for peer in chosen[:count])


def _rank(peer: Peer) -> tuple[int, str]:
    name = f"configuration/{peer.instance}"
    return xxhash.xxh64_intdigest(name.encode()), peer.instance
