"""Decision on which stored parts of older weight versions may be fetched."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from banyanswitch.decisions.prefix import model_in_salt, salt_model, salt_version

HASH_RANGE: Final = 2**32


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightVersionsView:
    """Weight versions of one model's upstreams.

    Parameters
    ----------
    target : int
        Target weight version.
    upstream_versions : tuple of int
        Weight version of each upstream that serves the model.
    """

    target: int
    upstream_versions: tuple[int, ...]


@dataclass(frozen=True, slots=True, order=True)
class FetchFloor:
    """Lower bound on the weight versions whose parts may be fetched.

    Parts below it are about to be freed. `fetch_floor` only raises it.

    Parameters
    ----------
    version : int
        Lowest weight version of which any part may be fetched.
    target : int
        Lowest weight version of which all parts may be fetched.
    retired_share : float
        Share of the parts that may not be fetched, for versions from ``version`` to
        below ``target``.
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
        return _hash_fraction(part) >= self.retired_share


def fetch_floor(view: WeightVersionsView, previous: FetchFloor) -> FetchFloor:
    """Return the next fetch floor; a retired part is never allowed again.

    The stores have room for the parts of about one weight version. The old parts are
    retired step by step as upstreams get the new weights, and completely once half of
    the upstreams have them.
    """
    if not view.upstream_versions:
        return previous
    updated = sum(version >= view.target for version in view.upstream_versions)
    if 2 * updated >= len(view.upstream_versions):
        return max(previous, FetchFloor(view.target, view.target, 1.0))
    oldest = max(previous.version, min(*view.upstream_versions, view.target))
    share = 2.0 * updated / len(view.upstream_versions)
    if view.target == previous.target:
        return FetchFloor(oldest, view.target, max(share, previous.retired_share))
    if previous.retired_share > 0.0:
        # Versions below the previous target are partly retired. The share for the
        # new target would allow some of their retired parts again, so none of their
        # parts may be fetched from now on.
        oldest = max(oldest, previous.target)
    return max(previous, FetchFloor(oldest, view.target, share))


class AnnouncedFloors:
    """Floors of one model that its holder has announced.

    A floor is settled once no fetch can be under way that it doesn't allow.
    """

    def __init__(self) -> None:
        self._settled: FetchFloor | None = None
        self._unsettled: deque[tuple[float, FetchFloor]] = deque()

    @property
    def newest(self) -> FetchFloor | None:
        """Floor that was announced last; ``None`` before the first one."""
        return self._unsettled[-1][1] if self._unsettled else self._settled

    def announce(self, floor: FetchFloor, settles_at_s: float) -> None:
        """Add a floor that will be settled at ``settles_at_s``."""
        self._unsettled.append((settles_at_s, floor))

    def settled(self, now_s: float) -> FetchFloor | None:
        """Return the newest settled floor; ``None`` if there is none."""
        while self._unsettled and now_s >= self._unsettled[0][0]:
            self._settled = self._unsettled.popleft()[1]
        return self._settled


class ModelFloors:
    """Settled floors of all models, which decide on the stored parts to free.

    Parameters
    ----------
    floors : mapping of str to FetchFloor or None
        Settled floor of each known model; ``None`` for a model without one, of which
        all parts may be fetched.
    """

    def __init__(self, floors: Mapping[str, FetchFloor | None]) -> None:
        self._floors = {salt_model(model): floor for model, floor in floors.items()}

    def allows(self, salt: str, part: str) -> bool:
        """Return whether fetches of a part may be under way.

        A part is judged by the floor of its own model. Parts of unknown models, and of
        isolated workspaces as saved by earlier software versions, are allowed as long
        as they would be for any known model.
        """
        version = salt_version(salt)
        model = model_in_salt(salt)
        if version is None:
            return True
        if model in self._floors:
            floor = self._floors[model]
            return floor is None or floor.allows(version, part)
        return any(
            floor is None or floor.allows(version, part)
            for floor in self._floors.values()
        )


def _hash_fraction(part: str) -> float:
    return xxhash.xxh32_intdigest(part.encode()) / HASH_RANGE
