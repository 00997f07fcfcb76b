"""Choice of a few instances that all agree on without talking."""

from collections.abc import Collection

import xxhash


def score(topic: str, instance: str) -> int:
    """Return the rank of an instance for a topic; the highest come first."""
    return xxhash.xxh64_intdigest(f"{topic}\0{instance}".encode())


def is_selected(
    topic: str, instance: str, instances: Collection[str], count: int
) -> bool:
    """Return whether an instance is one of the first ``count`` for a topic.

    An instance that is not in ``instances`` is ranked as if it were.
    """
    if len(instances) <= count:
        return True
    own = score(topic, instance)
    better = sum(score(topic, other) > own for other in instances)
    return better < count


def select_instances(
    topic: str, instances: Collection[str], count: int
) -> frozenset[str]:
    """Return the first ``count`` instances for a topic."""
    ranked = sorted(instances, key=lambda name: score(topic, name), reverse=True)
    return frozenset(ranked[:count])
