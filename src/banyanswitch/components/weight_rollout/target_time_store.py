"""Times at which weight versions became targets, stored across restarts."""

import asyncio
import random
from collections.abc import Iterable

import msgspec
import structlog

from banyanswitch.components.forwarding.routing_state import RoutingState, WeightTarget
from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.weight_rollout.const import (
    ERA_READ_SPREAD_S,
    TARGET_TIME_TOLERANCE_S,
    TARGET_TIMES_INTERVAL_S,
    TARGET_TIMES_TABLE,
    TARGET_TIMES_TAKEOVER_S,
)
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.exceptions import PlatformError
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.interfaces import (
    PeerDirectory,
    StoreClock,
    StoreEra,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class TargetTimeStore:
    """Read the stored times at the start, and write new ones.

    The holder of the duty writes the time of a new target version at once. Since there
    may be no holder when a version is named, a few other instances, selected without
    communication, write it too if the row still lacks it some time later. Of the times
    that instances know, the earliest is kept.

    The times are read again after a failed write, and before a write without the duty.
    Without stored times, an instance that starts after all others have ended would
    treat an old target as a new one, and use upstreams on older weights for too long.

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
    peers : PeerDirectory
        Provides the instances among which those that write without the duty are
        selected.
    generator : random.Random
        Source of the random part of that selection.
    eras : StoreEra, optional
        Era of the table service, if it may return from an older copy.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        clock: StoreClock,
        routing: RoutingState,
        order_lease: OrderLease,
        peers: PeerDirectory,
        generator: random.Random,
        eras: StoreEra | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._routing = routing
        self._order_lease = order_lease
        self._selector = WatcherSelector(peers, generator)
        self._generator = generator
        self._eras = eras
        self._era = 0
        self._unstored_since_s: dict[tuple[str, int], float] = {}
        self._stored: dict[str, dict[int, float]] = {}
        self._revisions: dict[str, int] = {}

    async def async_run(self) -> None:
        """Read the stored times once, then write new ones until cancelled."""
        is_read = False
        while True:
            if self._begins_era():
                is_read = False
                await asyncio.sleep(self._generator.uniform(0.0, ERA_READ_SPREAD_S))
            if not is_read:
                is_read = await self._async_read()
            elif self._order_lease.is_holder():
                await self._async_write_new(tuple(self._routing.targets))
            else:
                await self._async_write_overdue()
            await asyncio.sleep(TARGET_TIMES_INTERVAL_S)

    def _begins_era(self) -> bool:
        """Forget the rows of an earlier era; return whether there was one.

        The store has returned from an older copy, which may lack the last writes.
        """
        era = self._eras.era() if self._eras is not None else 0
        if era <= self._era:
            return False
        has_earlier_era = self._era > 0
        self._era = era
        self._stored.clear()
        self._revisions.clear()
        return has_earlier_era

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
            except DECODING_ERRORS as error:
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

    async def _async_write_overdue(self) -> None:
        """Write times that the holder of the duty has not written in time.

        The row is read first, since what this instance knows of it may be old.
        """
        now_s = asyncio.get_running_loop().time()
        since_s = {
            (model, target.version): self._unstored_since_s.get(
                (model, target.version), now_s
            )
            for model, target in self._routing.targets.items()
            if not self._is_stored(model, target)
        }
        self._unstored_since_s = since_s
        if not since_s:
            return
        self._selector.refresh()
        overdue = [
            (model, version)
            for (model, version), at_s in since_s.items()
            if now_s - at_s >= TARGET_TIMES_TAKEOVER_S
            and self._selector.is_watching(_key(model))
        ]
        if not overdue:
            return
        # An attempt that fails is repeated after another such time.
        since_s.update(dict.fromkeys(overdue, now_s))
        if await self._async_read():
            await self._async_write_new(model for model, _ in overdue)

    async def _async_write_new(self, models: Iterable[str]) -> None:
        for model in models:
            target = self._routing.targets[model]
            if not self._is_stored(model, target):
                await self._async_write(model, self._merged_times(model, target))

    def _is_stored(self, model: str, target: WeightTarget) -> bool:
        """Return whether the known row has the earliest known time of the target."""
        if target.version == 0:
            return True
        stored = self._stored.get(model, {})
        times = self._merged_times(model, target)
        return times.get(target.version) == stored.get(target.version)

    def _merged_times(self, model: str, target: WeightTarget) -> dict[int, float]:
        """Return the earliest known time of each version, on the store's clock."""
        times = dict(self._stored.get(model, {}))
        clock_s = self._clock.clock_s()
        if clock_s is None:
            return times
        now_s = asyncio.get_running_loop().time()
        for version, since_s in target.target_since_s.items():
            known_s = clock_s - (now_s - since_s)
            stored_s = times.get(version, float("inf"))
            if known_s < stored_s - TARGET_TIME_TOLERANCE_S:
                times[version] = known_s
        return times

    async def _async_write(self, model: str, times: dict[int, float]) -> None:
        revision = self._revisions.get(model, 0)
        write = Write(_key(model), msgspec.json.encode(times), revision)
        try:
            (revision,) = await self._table.async_transact([write], WriteClass.LEASE)
        except PlatformError as error:
            LOGGER.info("named_times_not_written", model=model, reason=str(error))
            await self._async_read()
            return
        self._stored[model] = times
        self._revisions[model] = revision


def _key(model: str) -> str:
    return f"{TARGET_TIMES_TABLE}/{model}"
