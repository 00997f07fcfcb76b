"""Sample of the upstreams among which one request is placed."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from banyanswitch.identifiers import UpstreamId


@dataclass(frozen=True, slots=True)
class UpstreamSample:
    """Upstreams whose load is looked up for one request.

    Parameters
    ----------
    home : UpstreamId or None
        Home of the request's shared parts, which is part of the sample.
    """

    names: tuple[UpstreamId, ...]
    home: UpstreamId | None = None

    def among(self, names: Collection[UpstreamId]) -> "UpstreamSample":
        """Return the part of the sample that is in ``names``; all of it if none is."""
        left = tuple(name for name in self.names if name in names)
        return UpstreamSample(left, self.home) if left else self


def sample_upstreams(
    names: Sequence[UpstreamId],
    preferred: Sequence[UpstreamId],
    home: UpstreamId | None,
    count: int,
    generator: random.Random,
) -> UpstreamSample:
    """Return the home and randomly drawn other upstreams.

    The less loaded of a few random upstreams, by current figures, is nearly as good as
    the least loaded of all, and deciders with the same figures don't all choose the
    same upstream.

    Parameters
    ----------
    names : sequence of UpstreamId
        All upstreams that can take the request.
    preferred : sequence of UpstreamId
        Those of them that serve it best; at least one is drawn.
    count : int
        Size of the sample.
    """
    if len(names) <= count:
        return UpstreamSample(tuple(names), home)
    chosen = [home] if home is not None else []
    better = [name for name in preferred if name not in chosen]
    if better and not set(chosen) & set(preferred):
        chosen.append(generator.choice(better))
    others = [name for name in names if name not in chosen]
    chosen += generator.sample(others, count - len(chosen))
    return UpstreamSample(tuple(chosen), home)
