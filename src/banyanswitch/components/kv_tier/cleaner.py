"""Removal of stored parts that belong to weight versions no longer in use."""

import asyncio

import structlog

from banyanswitch.components.forwarding.protocols import PartStoreClient
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.kv_tier.const import (
    CLEAN_INTERVAL_S,
    FETCH_END_DELAY_S,
    FREE_BATCH_PARTS,
    FREE_DELAY_S,
    MAX_PERMIT_S,
)
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.store_follower import StoreFollower
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.core import callback
from banyanswitch.decisions.fetch_floor import (
    AnnouncedFloors,
    ModelFloors,
    WeightVersionsView,
    fetch_floor,
)
from banyanswitch.exceptions import UpstreamError

LOGGER = structlog.get_logger(__name__)


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
        self._announced_floors: dict[str, AnnouncedFloors] = {}
        self._held_since_s: float | None = None
        # Models remain known while they have no upstreams.
        self._models: set[str] = set()

    async def async_run(self) -> None:
        """Run cleaning passes while the lease is held, until cancelled."""
        while True:
            await asyncio.sleep(CLEAN_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            self._tier.permit.tick(now_s)
            if not self._order_lease.is_holder():
                self._announced_floors.clear()
                self._held_since_s = None
                continue
            if self._held_since_s is None:
                self._held_since_s = now_s
            if self._order_lease.taken_over_token(now_s) is None:
                continue
            self._raise_floors(now_s, self._held_since_s)
            await self._async_free(now_s)

    @callback
    def _raise_floors(self, now_s: float, held_since_s: float) -> None:
        settles_at_s = self._settles_at_s(now_s, held_since_s)
        for model, target in self._routing.targets.items():
            versions = tuple(
                state.weight_versions[model]
                for state in self._registry.serving_model(model)
            )
            view = WeightVersionsView(target=target.version, upstream_versions=versions)
            announced = self._announced_floors.setdefault(model, AnnouncedFloors())
            floor = fetch_floor(view, announced.newest or self._tier.floor(model))
            if floor != announced.newest:
                announced.announce(floor, settles_at_s)
                LOGGER.info(
                    "fetch_floor_raised",
                    model=model,
                    version=floor.version,
                    target=floor.target,
                    retired_share=round(floor.retired_share, 2),
                )
            self._tier.note_floor(model, floor)
        self._exchange.report_soon()

    def _settles_at_s(self, now_s: float, held_since_s: float) -> float:
        """Return the time from which parts below a floor raised now may be freed.

        All permits issued with earlier floors have ended by then, and all fetches that
        were planned under them. Those of the previous holder, which this instance may
        not know, were issued before this one held the lease.
        """
        delay_s = FREE_DELAY_S + 2.0 * self._exchange.excess_interval_s()
        permits_end_at_s = max(self._tier.permit.ends_at_s, held_since_s + MAX_PERMIT_S)
        return max(now_s + delay_s, permits_end_at_s + FETCH_END_DELAY_S)

    async def _async_free(self, now_s: float) -> None:
        self._models.update(self._registry.models(), self._announced_floors)
        settled = {
            model: announced.settled(now_s)
            for model, announced in self._announced_floors.items()
        }
        if not any(settled.values()):
            return
        floors = ModelFloors({model: settled.get(model) for model in self._models})
        for follower in self._tier.stores:
            if (
                follower.is_usable
                and follower.epoch is not None
                and follower.node.is_managed
            ):
                await self._async_free_store(follower, floors)

    async def _async_free_store(
        self, follower: StoreFollower, floors: ModelFloors
    ) -> None:
        unused = [key for key in follower.parts if not floors.allows(*key)]
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
            is_done=is_done,
        )
