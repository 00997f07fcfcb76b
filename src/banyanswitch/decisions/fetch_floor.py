"""Which stored parts of older weights may still be fetched."""

from dataclasses import dataclass
from typing import Final

import xxhash

HASH_RANGE: Final = 2**32


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightVersionsView:
    """Weights of one model's upstreams.

    Parameters
    ----------
    target : int
        Version that is wanted.
    upstream_versions : tuple of int
        Version of each upstream that serves the model.
    """

    target: int
    upstream_versions: tuple[int, ...]


@dataclass(frozen=True, slots=True, order=True)
class FetchFloor:
    """Word on what is about to be freed; it only rises.

    Parameters
    ----------
    version : int
        Lowest weight version of which any part may be fetched.
    target : int
        Version from which on all parts may be fetched.
    retired_share : float
        Share of the parts of the versions between that may not be fetched.
    """

    version: int = 0
    target: int = 0
    retired_share: float = 0.0

    def allows(self, version: int, part: str) -> bool:
        """Return whether a part of a weight version may be fetched."""
        if version >= self.target:
            return True
        if version < self.version:
            return False
        return _position(part) >= self.retired_share


def fetch_floor(view: WeightVersionsView, said: FetchFloor) -> FetchFloor:
    """Return what may still be fetched; what was retired stays so.

    The stores hold about one set of parts. The old set gives way step by step as
    upstreams move; all of it once half of them have the new weights.
    """
    if not view.upstream_versions:
        return said
    moved = sum(version >= view.target for version in view.upstream_versions)
    if 2 * moved >= len(view.upstream_versions):
        return max(said, FetchFloor(view.target, view.target, 1.0))
    oldest = max(said.version, min(*view.upstream_versions, view.target))
    share = 2.0 * moved / len(view.upstream_versions)
    if view.target == said.target:
        return FetchFloor(oldest, view.target, max(share, said.retired_share))
    if said.retired_share > 0.0:
        # Parts below the last target are partly retired; a share of the next one
        # would bring some of them back.
        oldest = max(oldest, said.target)
    return max(said, FetchFloor(oldest, view.target, share))


def _position(part: str) -> float:
    return xxhash.xxh32_intdigest(part.encode()) / HASH_RANGE
