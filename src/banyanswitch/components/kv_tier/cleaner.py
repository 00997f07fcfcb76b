"""Duty: free the stored parts of weights that are no longer used."""

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
from banyanswitch.components.weight_rollout.tenure import Tenure
from banyanswitch.core import callback
from banyanswitch.decisions.fetch_floor import (
    FetchFloor,
    WeightVersionsView,
    fetch_floor,
)
from banyanswitch.decisions.prefix import salt_version
from banyanswitch.exceptions import UpstreamError

LOGGER = structlog.get_logger(__name__)
STEP_S = 0.5
"""Time between two looks at the stores."""


class StoreCleaner:
    """Raise the floor of fetches, and free below it after all fetches have ended.

    Parameters
    ----------
    tenure : Tenure
        Says whether this instance holds the duty.
    """

    def __init__(
        self,
        *,
        tenure: Tenure,
        routing: RoutingState,
        registry: UpstreamRegistry,
        tier: PartTier,
        stores: PartStoreClient,
        exchange: StateExchange,
    ) -> None:
        self._tenure = tenure
        self._routing = routing
        self._registry = registry
        self._tier = tier
        self._stores = stores
        self._exchange = exchange
        self._said: dict[str, deque[tuple[float, FetchFloor]]] = {}

    async def async_run(self) -> None:
        """Clean while the duty is held, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            if not self._tenure.is_holder():
                self._said.clear()
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
            said = self._said.setdefault(model, deque())
            before = said[-1][1] if said else self._tier.floor(model)
            floor = fetch_floor(view, before)
            if not said or floor != said[-1][1]:
                LOGGER.info(
                    "fetch_floor_raised",
                    model=model,
                    version=floor.version,
                    target=floor.target,
                    retired_share=round(floor.retired_share, 2),
                )
            said.append((now_s, floor))
            self._tier.note_floor(model, floor)
        self._exchange.report_soon()

    async def _async_free(self, now_s: float) -> None:
        floors = [self._settled(said, now_s) for said in self._said.values()]
        # Salts do not name their model; with several, the lowest floor is safe.
        if not floors or None in floors:
            return
        floor = min(floor for floor in floors if floor is not None)
        for state in self._tier.stores:
            if state.is_usable and state.epoch is not None and state.node.is_managed:
                await self._async_free_store(state, floor)

    def _settled(
        self, said: deque[tuple[float, FetchFloor]], now_s: float
    ) -> FetchFloor | None:
        """Return the newest floor that was said long enough ago."""
        slower_s = max(0.0, self._exchange.interval_s() - REPORT_INTERVAL_S)
        delay_s = FREE_DELAY_S + 2.0 * slower_s
        settled: FetchFloor | None = None
        while said and now_s - said[0][0] >= delay_s:
            settled = said.popleft()[1]
        if settled is not None:
            said.appendleft((now_s - delay_s, settled))
        return settled

    async def _async_free_store(self, state: StoreFollower, floor: FetchFloor) -> None:
        dead = [key for key in state.parts if not _is_allowed(key, floor)]
        dead = dead[:FREE_BATCH_PARTS]
        if not dead or state.epoch is None:
            return
        if not self._tenure.is_holder():
            return
        try:
            is_done = await self._stores.async_free(
                state.node.address, state.epoch, dead
            )
        except UpstreamError as error:
            LOGGER.info("parts_not_freed", store=state.node.name, reason=str(error))
            return
        if is_done:
            state.forget(dead)
        LOGGER.info(
            "parts_freed",
            store=state.node.name,
            parts=len(dead),
            below_version=floor.target,
            is_done=is_done,
        )


def _is_allowed(key: PartKey, floor: FetchFloor) -> bool:
    salt, part = key
    version = salt_version(salt)
    return version is None or floor.allows(version, part)
