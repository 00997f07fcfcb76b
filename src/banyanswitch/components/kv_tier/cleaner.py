"""Removal of stored parts that belong to weight versions no longer in use."""

import asyncio
from collections import deque

import structlog

from banyanswitch.components.forwarding.protocols import PartStoreClient
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.kv_tier.const import (
    FREE_BATCH_PARTS,
    FREE_DELAY_S,
    REPORT_INTERVAL_S,
)
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.models import PartKey
from banyanswitch.components.kv_tier.store_follower import StoreFollower
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.core import callback
from banyanswitch.decisions.fetch_floor import (
    FetchFloor,
    WeightVersionsView,
    fetch_floor,
)
from banyanswitch.decisions.prefix import salt_version
from banyanswitch.exceptions import UpstreamError

LOGGER = structlog.get_logger(__name__)
CLEAN_INTERVAL_S = 0.5
"""Interval between two cleaning passes."""


class StoreCleaner:
    """Raise the fetch floors, and free parts below them once all fetches have ended.

    The fetch floor of a model is the lower bound on the weight versions whose parts may
    be fetched.

    Parameters
    ----------
    order_lease : OrderLease
        Lease whose holder cleans the stores.
    routing : RoutingState
        Target weight versions.
    registry : UpstreamRegistry
        Weight versions of the upstreams.
    tier : PartTier
        Fetch floors, and the parts of each store.
    stores : PartStoreClient
        Makes the calls to the stores.
    exchange : StateExchange
        Reports the floors to the other instances.
    """

    def __init__(
        self,
        *,
        order_lease: OrderLease,
        routing: RoutingState,
        registry: UpstreamRegistry,
        tier: PartTier,
        stores: PartStoreClient,
        exchange: StateExchange,
    ) -> None:
        self._order_lease = order_lease
        self._routing = routing
        self._registry = registry
        self._tier = tier
        self._stores = stores
        self._exchange = exchange
        self._announced_floors: dict[str, deque[tuple[float, FetchFloor]]] = {}

    async def async_run(self) -> None:
        """Run cleaning passes while the lease is held, until cancelled."""
        while True:
            await asyncio.sleep(CLEAN_INTERVAL_S)
            if not self._order_lease.is_holder():
                self._announced_floors.clear()
                continue
            now_s = asyncio.get_running_loop().time()
            self._raise_floors(now_s)
            await self._async_free(now_s)

    @callback
    def _raise_floors(self, now_s: float) -> None:
        for model, target in self._routing.targets.items():
            versions = tuple(
                state.weight_versions[model]
                for state in self._registry.serving_model(model)
            )
            view = WeightVersionsView(target=target.version, upstream_versions=versions)
            announced = self._announced_floors.setdefault(model, deque())
            previous = announced[-1][1] if announced else self._tier.floor(model)
            floor = fetch_floor(view, previous)
            if not announced or floor != announced[-1][1]:
                LOGGER.info(
                    "fetch_floor_raised",
                    model=model,
                    version=floor.version,
                    target=floor.target,
                    retired_share=round(floor.retired_share, 2),
                )
            announced.append((now_s, floor))
            self._tier.note_floor(model, floor)
        self._exchange.report_soon()

    async def _async_free(self, now_s: float) -> None:
        floors = [
            self._settled_floor(announced, now_s)
            for announced in self._announced_floors.values()
        ]
        # A salt does not identify its model; with several models, the lowest floor is
        # safe for all of them.
        if not floors or None in floors:
            return
        floor = min(floor for floor in floors if floor is not None)
        for follower in self._tier.stores:
            if (
                follower.is_usable
                and follower.epoch is not None
                and follower.node.is_managed
            ):
                await self._async_free_store(follower, floor)

    def _settled_floor(
        self, announced: deque[tuple[float, FetchFloor]], now_s: float
    ) -> FetchFloor | None:
        """Return the newest floor announced at least the free delay ago."""
        excess_interval_s = max(0.0, self._exchange.interval_s() - REPORT_INTERVAL_S)
        delay_s = FREE_DELAY_S + 2.0 * excess_interval_s
        settled: FetchFloor | None = None
        while announced and now_s - announced[0][0] >= delay_s:
            settled = announced.popleft()[1]
        if settled is not None:
            announced.appendleft((now_s - delay_s, settled))
        return settled

    async def _async_free_store(
        self, follower: StoreFollower, floor: FetchFloor
    ) -> None:
        unused = [key for key in follower.parts if not _is_allowed(key, floor)]
        unused = unused[:FREE_BATCH_PARTS]
        if not unused or follower.epoch is None:
            return
        if not self._order_lease.is_holder():
            return
        try:
            is_done = await self._stores.async_free(
                follower.node.address,
                follower.epoch,
                unused,
                self._order_lease.held_until_s,
            )
        except UpstreamError as error:
            LOGGER.info("parts_not_freed", store=follower.node.name, reason=str(error))
            return
        if is_done:
            follower.remove_parts(unused)
        LOGGER.info(
            "parts_freed",
            store=follower.node.name,
            parts=len(unused),
            below_version=floor.target,
            is_done=is_done,
        )


def _is_allowed(key: PartKey, floor: FetchFloor) -> bool:
    salt, part = key
    version = salt_version(salt)
    return version is None or floor.allows(version, part)
