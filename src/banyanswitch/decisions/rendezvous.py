"""Rendezvous hashing: instances make the same selection without communication."""

from collections.abc import Collection

import xxhash


def score(key: str, instance: str) -> int:
    """Return the hash score of an instance for a key; higher scores rank first."""
    return xxhash.xxh64_intdigest(f"{key}\0{instance}".encode())


def is_selected(
    key: str, instance: str, instances: Collection[str], count: int
) -> bool:
    """Return whether an instance is among the first ``count`` instances for a key.

    An instance that is not in ``instances`` is ranked as if it were. If there are at
    most ``count`` instances, the result is ``True`` for any instance.
    """
    if len(instances) <= count:
        return True
    own_score = score(key, instance)
    higher_count = sum(score(key, other) > own_score for other in instances)
    return higher_count < count


def select_instances(
    key: str, instances: Collection[str], count: int
) -> frozenset[str]:
    """Return the ``count`` highest-ranked instances for a key."""
    ranked = sorted(instances, key=lambda name: score(key, name), reverse=True)
    return frozenset(ranked[:count])
