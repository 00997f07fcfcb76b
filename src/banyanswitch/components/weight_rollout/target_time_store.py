"""Times at which weight versions became targets, stored across restarts."""

import asyncio

import msgspec
import structlog

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.weight_rollout.const import (
    TARGET_TIMES_INTERVAL_S,
    TARGET_TIMES_TABLE,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.exceptions import PlatformError
from banyanswitch.interfaces import StoreClock, TableStore, Write, WriteClass

LOGGER = structlog.get_logger(__name__)


class TargetTimeStore:
    """Read the stored times at the start and write new ones while the duty is held.

    The times are read again after a failed write. Without stored times, an instance
    that starts after all others have ended would treat an old target as a new one, and
    use upstreams on older weights for too long.

    Parameters
    ----------
    table : TableStore
        Stores one row per model: times of the store's clock by version, in seconds.
    clock : StoreClock
        Provides the time of the store's clock.
    routing : RoutingState
        Target weight versions and their times.
    order_lease : OrderLease
        Tells whether this instance holds the duty.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        clock: StoreClock,
        routing: RoutingState,
        order_lease: OrderLease,
    ) -> None:
        self._table = table
        self._clock = clock
        self._routing = routing
        self._order_lease = order_lease
        self._stored: dict[str, dict[int, float]] = {}
        self._revisions: dict[str, int] = {}

    async def async_run(self) -> None:
        """Read the stored times once, then write new ones until cancelled."""
        is_read = False
        while True:
            if not is_read:
                is_read = await self._async_read()
            elif self._order_lease.is_holder():
                await self._async_write_new()
            await asyncio.sleep(TARGET_TIMES_INTERVAL_S)

    async def _async_read(self) -> bool:
        try:
            items = await self._table.async_query(f"{TARGET_TIMES_TABLE}/")
        except PlatformError as error:
            LOGGER.info("named_times_not_read", reason=str(error))
            return False
        clock_s = self._clock.clock_s()
        if clock_s is None:
            return False
        now_s = asyncio.get_running_loop().time()
        for item in items:
            model = item.key.partition("/")[2]
            try:
                times = msgspec.json.decode(item.value, type=dict[int, float])
            except msgspec.MsgspecError as error:
                LOGGER.warning("named_times_unreadable", model=model, reason=str(error))
                continue
            self._stored[model] = times
            self._revisions[model] = item.revision
            for version, stored_s in times.items():
                self._routing.note_target_time(
                    model, version, now_s - (clock_s - stored_s)
                )
            LOGGER.info(
                "named_times_read",
                model=model,
                ages_s={
                    version: round(clock_s - stored_s, 3)
                    for version, stored_s in times.items()
                },
            )
        return True

    async def _async_write_new(self) -> None:
        clock_s = self._clock.clock_s()
        if clock_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        for model, target in tuple(self._routing.targets.items()):
            stored = self._stored.get(model, {})
            if target.version in stored or target.version == 0:
                continue
            times = {
                version: stored.get(version, clock_s - (now_s - target_since_s))
                for version, target_since_s in target.target_since_s.items()
            }
            await self._async_write(model, times)

    async def _async_write(self, model: str, times: dict[int, float]) -> None:
        key = f"{TARGET_TIMES_TABLE}/{model}"
        write = Write(key, msgspec.json.encode(times), self._revisions.get(model, 0))
        try:
            (revision,) = await self._table.async_transact([write], WriteClass.LEASE)
        except PlatformError as error:
            LOGGER.info("named_times_not_written", model=model, reason=str(error))
            await self._async_read()
            return
        self._stored[model] = times
        self._revisions[model] = revision
