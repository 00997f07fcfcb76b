"""Index of upstreams by service and weight version, and views of KV stores."""

from bisect import bisect_left, insort
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from banyanswitch.identifiers import (
    FailureDomainId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
)

PoolKey = tuple[ServiceName, WeightVersion | None]
RingPoint = tuple[int, UpstreamId]


@dataclass(frozen=True, slots=True)
class UpstreamView:
    """Known state of one upstream at the time of a decision.

    Parameters
    ----------
    weight_version : str or None
        Version that the upstream serves; ``None`` for plain services.
    slots : int
        Number of requests that the upstream runs concurrently.
    is_accepting : bool
        Whether it may receive new requests: not leaving, loading or ejected.
    reported_at_s : float
        Loop time at which the load report arrived, in seconds.
    weight : float
        Share of its normal load that it may receive, from 0 to 1; below 1 while it
        returns after an ejection.
    """

    upstream: UpstreamId
    service: ServiceName
    failure_domain: FailureDomainId
    weight_version: WeightVersion | None
    slots: int = 8
    prefill_tokens_per_s: float = 8000.0
    is_accepting: bool = True
    running_requests: int = 0
    queued_requests: int = 0
    queued_prefill_tokens: int = 0
    reported_at_s: float = 0.0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class StoreView:
    """Known state of one KV store and its link.

    Parameters
    ----------
    bytes_per_s : float
        Expected link rate for the imports of one request, in bytes per second.
    queued_bytes : int
        Bytes of unfinished transfers on the link.
    disk_bytes_per_s : float
        Read rate of the disk tier, in bytes per second.
    """

    store: StoreId
    bytes_per_s: float
    queued_bytes: int = 0
    disk_bytes_per_s: float = float("inf")
    is_available: bool = True


class UpstreamPool:
    """Views of all upstreams and stores, indexed for fast look-up.

    The owner replaces a view when a report arrives. Decisions never scan the whole
    pool.
    """

    def __init__(self) -> None:
        self._views: dict[UpstreamId, UpstreamView] = {}
        self._stores: dict[StoreId, StoreView] = {}
        self._accepting: dict[PoolKey, list[UpstreamId]] = {}
        self._positions: dict[UpstreamId, int] = {}
        self._rings: dict[PoolKey, list[RingPoint]] = {}

    def __len__(self) -> int:
        return len(self._views)

    def get(self, upstream: UpstreamId) -> UpstreamView | None:
        """Return the view of an upstream."""
        return self._views.get(upstream)

    def update(self, view: UpstreamView) -> None:
        """Add the view of an upstream, or replace the one with the same name."""
        old = self._views.get(view.upstream)
        self._views[view.upstream] = view
        if old is not None and _index_state(old) == _index_state(view):
            return
        if old is not None:
            self._remove_from_index(old)
        if view.is_accepting:
            self._add_to_index(view)

    def remove(self, upstream: UpstreamId) -> None:
        """Remove an upstream from the pool."""
        view = self._views.pop(upstream, None)
        if view is not None:
            self._remove_from_index(view)

    def accepting(
        self, service: ServiceName, version: WeightVersion | None
    ) -> Sequence[UpstreamId]:
        """Return the upstreams that may receive new requests of this version."""
        return self._accepting.get((service, version), ())

    def home(
        self, service: ServiceName, version: WeightVersion | None, key: int
    ) -> UpstreamId | None:
        """Return the upstream to which a 64-bit key maps on a consistent hash ring.

        Instances with the same accepting upstreams get the same result without
        communication.
        """
        ring = self._rings.get((service, version))
        if not ring:
            return None
        index = bisect_left(ring, (key, UpstreamId("")))
        return ring[index % len(ring)][1]

    def store(self, store: StoreId) -> StoreView | None:
        """Return the view of a store."""
        return self._stores.get(store)

    def update_store(self, view: StoreView) -> None:
        """Add the view of a store, or replace the one with the same name."""
        self._stores[view.store] = view

    def stores(self) -> tuple[StoreView, ...]:
        """Return the views of all stores."""
        return tuple(self._stores.values())

    def _add_to_index(self, view: UpstreamView) -> None:
        key = (view.service, view.weight_version)
        names = self._accepting.setdefault(key, [])
        self._positions[view.upstream] = len(names)
        names.append(view.upstream)
        ring = self._rings.setdefault(key, [])
        for point in _ring_points(view.upstream):
            insort(ring, point)

    def _remove_from_index(self, view: UpstreamView) -> None:
        position = self._positions.pop(view.upstream, None)
        if position is None:
            return
        key = (view.service, view.weight_version)
        names = self._accepting[key]
        last = names.pop()
        if last != view.upstream:
            names[position] = last
            self._positions[last] = position
        ring = self._rings[key]
        for point in _ring_points(view.upstream):
            del ring[bisect_left(ring, point)]


def _index_state(view: UpstreamView) -> tuple[ServiceName, WeightVersion | None, bool]:
    return view.service, view.weight_version, view.is_accepting


RING_POINTS_PER_UPSTREAM = 16


def _ring_points(upstream: UpstreamId) -> list[RingPoint]:
    points: list[RingPoint] = []
    for index in range(RING_POINTS_PER_UPSTREAM):
        digest = blake2b(f"{upstream}/{index}".encode(), digest_size=8).digest()
        points.append((int.from_bytes(digest, "big"), upstream))
    return points
