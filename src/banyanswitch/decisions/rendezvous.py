"""Choice of a few instances that all agree on without talking."""

from collections.abc import Collection

import xxhash


def score(key: str, instance: str) -> int:
    """Return the rank of an instance for a topic; the highest come first."""
    return xxhash.xxh64_intdigest(f"{key}\0{instance}".encode())


def is_selected(
    key: str, instance: str, instances: Collection[str], count: int
) -> bool:
    """Return whether an instance is one of the first ``count`` for a topic.

    An instance that is not in ``instances`` is ranked as if it were.
    """
    if len(instances) <= count:
        return True
    own_score = score(key, instance)
    higher_count = sum(score(key, other) > own_score for other in instances)
    return higher_count < count


def select_instances(
    key: str, instances: Collection[str], count: int
) -> frozenset[str]:
    """Return the first ``count`` instances for a topic."""
    ranked = sorted(instances, key=lambda name: score(key, name), reverse=True)
    return frozenset(ranked[:count])
