"""Duty: free the stored parts of weights that are no longer used."""

import asyncio

import structlog

from banyanswitch.components.forwarding.protocols import PartStoreClient
from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_board import UpstreamBoard
from banyanswitch.components.kv_tier.const import FREE_BATCH_PARTS, FREE_DELAY_S
from banyanswitch.components.kv_tier.coordinator import PartKey, PartTier, StoreState
from banyanswitch.components.state_exchange.coordinator import StateExchange
from banyanswitch.components.weight_rollout.tenure import Tenure
from banyanswitch.core import callback
from banyanswitch.decisions.fetch_floor import FloorView, fetch_floor
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
        board: UpstreamBoard,
        tier: PartTier,
        stores: PartStoreClient,
        exchange: StateExchange,
    ) -> None:
        self._tenure = tenure
        self._routing = routing
        self._board = board
        self._tier = tier
        self._stores = stores
        self._exchange = exchange
        self._floors: dict[str, int] = {}
        self._raised_at_s: dict[str, float] = {}

    async def async_run(self) -> None:
        """Clean while the duty is held, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            now_s = asyncio.get_running_loop().time()
            if self._tenure.token(now_s) is None:
                self._floors.clear()
                self._raised_at_s.clear()
                continue
            self._raise_floors(now_s)
            await self._async_free(now_s)

    @callback
    def _raise_floors(self, now_s: float) -> None:
        for model, target in self._routing.targets.items():
            versions = [
                state.weight_versions[model]
                for state in self._board.serving_model(model)
            ]
            view = FloorView(target=target.version, upstream_versions=tuple(versions))
            floor = max(fetch_floor(view), self._floors.get(model, 0))
            if floor != self._floors.get(model):
                self._floors[model] = floor
                self._raised_at_s[model] = now_s
                LOGGER.info("fetch_floor_raised", model=model, version=floor)
            self._exchange.set_floor(model, floor)

    async def _async_free(self, now_s: float) -> None:
        settled = [
            floor
            for model, floor in self._floors.items()
            if now_s - self._raised_at_s[model] >= FREE_DELAY_S
        ]
        # Salts do not name their model; with several, the lowest floor is safe.
        if not settled or len(settled) < len(self._floors):
            return
        floor = min(settled)
        for state in self._tier.stores:
            if state.is_usable and state.epoch is not None and state.node.is_managed:
                await self._async_free_store(state, floor)

    async def _async_free_store(self, state: StoreState, floor: int) -> None:
        dead = [key for key in state.parts if _is_below(key, floor)]
        dead = dead[:FREE_BATCH_PARTS]
        if not dead or state.epoch is None:
            return
        now_s = asyncio.get_running_loop().time()
        if self._tenure.token(now_s) is None:
            return
        try:
            is_done = await self._stores.async_free(
                state.node.address, state.epoch, dead
            )
        except UpstreamError as error:
            LOGGER.info("parts_not_freed", store=state.node.name, reason=str(error))
            return
        LOGGER.info(
            "parts_freed",
            store=state.node.name,
            parts=len(dead),
            below_version=floor,
            is_done=is_done,
        )


def _is_below(key: PartKey, floor: int) -> bool:
    version = salt_version(key[0])
    return version is not None and version < floor
