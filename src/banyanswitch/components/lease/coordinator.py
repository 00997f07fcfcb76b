"""Acquisition, renewal and release of the leases of one instance."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import structlog

from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.lease.const import (
    CLOCK_MARGIN_S,
    JITTER_SHARE,
    RENEWALS_PER_LEASE,
    WRITE_ATTEMPTS,
)
from banyanswitch.components.lease.duty import Duty
from banyanswitch.components.lease.models import LeaseChanged
from banyanswitch.components.table_service.write_batcher import WriteBatcher
from banyanswitch.core import callback
from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformError,
    PlatformOutcomeUnknownError,
)
from banyanswitch.interfaces import (
    Lease,
    PeerDirectory,
    StoreClock,
    StoreEra,
    TableStore,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class LeaseCoordinator:
    """Implements ``LeaseManager`` over the table service.

    Parameters
    ----------
    table : TableStore
        Stores the lease records.
    peers : PeerDirectory
        Provides the instances among which the watchers of a duty are selected.
    holder : str
        Unique identifier of this process.
    lease_s : float
        Duration of a lease, in seconds.
    generator : random.Random
        Source of the jitter and of the random selection of reads.
    on_change : callable, optional
        Called for each duty whose lease this instance has acquired or lost.
    clock : StoreClock, optional
        Clock of the table service. With it, an instance that starts knows for how long
        a lease has not been renewed, and need not watch it for its whole duration.
    eras : StoreEra, optional
        Era of the table service, if it may return from an older copy.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        peers: PeerDirectory,
        holder: str,
        lease_s: float,
        generator: random.Random,
        on_change: Callable[[LeaseChanged], None] | None = None,
        clock: StoreClock | None = None,
        eras: StoreEra | None = None,
    ) -> None:
        self._clock = clock
        self._eras = eras
        self._table = table
        self._on_change = on_change
        self._holder = holder
        self._lease_s = lease_s
        self._generator = generator
        self._selector = WatcherSelector(peers, generator)
        self._batcher = WriteBatcher(table, WriteClass.LEASE)
        self._duties: dict[str, Duty] = {}
        self._reported: dict[str, int] = {}
        self._has_new_duty = asyncio.Event()

    @callback
    def campaign(self, name: str) -> None:
        """Start to compete for the lease on a duty."""
        if name not in self._duties:
            self._duties[name] = Duty(name, self._holder, self._lease_s)
            self._has_new_duty.set()

    @callback
    def held(self, name: str) -> Lease | None:
        """Return the lease if it is valid at the current event loop time."""
        self._note_era()
        duty = self._duties.get(name)
        return duty.held(_now_s()) if duty is not None else None

    @callback
    def forfeit(self, name: str) -> None:
        """Invalidate the held lease; the next one has a higher fencing token."""
        duty = self._duties.get(name)
        if duty is not None:
            duty.forfeit(_now_s())

    async def async_run(self) -> None:
        """Renew the held leases and watch the other duties, until cancelled."""
        while True:
            self._has_new_duty.clear()
            await self.async_step()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s()):
                    await self._has_new_duty.wait()

    async def async_step(self) -> None:
        """Read the watched records once, then write the renewals and claims due."""
        self._note_era()
        self._selector.refresh()
        watched = self._watched()
        try:
            await self._async_read(watched)
        except PlatformError as error:
            LOGGER.warning("lease_records_not_read", reason=str(error))
        duties = dict.fromkeys((*self._held(), *watched))
        await asyncio.gather(*(self._async_write_safely(duty) for duty in duties))
        self._report_changes()

    async def async_release_all(self) -> None:
        """Release all leases; call it after `async_run` has ended."""
        writes = [duty.release_write() for duty in self._duties.values()]
        results = await asyncio.gather(
            *(self._batcher.async_write(write) for write in writes if write),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                LOGGER.warning("lease_not_released", reason=str(result))

    def _interval_s(self) -> float:
        jitter = self._generator.uniform(0.0, JITTER_SHARE)
        return self._lease_s / RENEWALS_PER_LEASE * (1.0 - jitter)

    def _held(self) -> list[Duty]:
        now_s = _now_s()
        return [duty for duty in self._duties.values() if duty.held(now_s) is not None]

    def _watched(self) -> list[Duty]:
        """Return the duties not held here whose records are read in this step."""
        now_s = _now_s()
        return [
            duty
            for duty in self._duties.values()
            if duty.held(now_s) is None and self._selector.is_watching(duty.name)
        ]

    def _note_era(self) -> None:
        if self._eras is None:
            return
        for duty in self._duties.values():
            duty.note_era(self._eras.era())

    async def _async_read(self, duties: list[Duty]) -> None:
        if not duties:
            return
        items = await self._table.async_get([duty.key for duty in duties])
        self._note_era()
        by_key = {item.key: item for item in items}
        now_s = _now_s()
        clock_s = self._clock.clock_s() if self._clock else None
        for duty in duties:
            duty.observe(by_key.get(duty.key), now_s, clock_s)

    async def _async_write(self, duty: Duty) -> None:
        """Write the renewal or claim due; retry after a conflict or unknown outcome."""
        for _ in range(WRITE_ATTEMPTS):
            sent_at_s = _now_s()
            clock_s = self._clock.clock_s(CLOCK_MARGIN_S) if self._clock else None
            write = duty.next_write(sent_at_s, clock_s)
            if write is None:
                return
            try:
                revision = await self._batcher.async_write(write)
            except (ConditionFailedError, PlatformOutcomeUnknownError):
                await self._async_read([duty])
                continue
            duty.on_written(write, revision, sent_at_s)
            return

    async def _async_write_safely(self, duty: Duty) -> None:
        try:
            await self._async_write(duty)
        except PlatformError as error:
            LOGGER.warning("lease_not_written", duty=duty.name, reason=str(error))

    def _report_changes(self) -> None:
        """Log and report the leases acquired or lost since the last step."""
        for duty in self._duties.values():
            lease = duty.held(_now_s())
            token = lease.fencing_token if lease is not None else 0
            if token == self._reported.get(duty.name, 0):
                continue
            self._reported[duty.name] = token
            event = "lease_acquired" if token else "lease_lost"
            LOGGER.info(event, duty=duty.name, fencing_token=token)
            if self._on_change is not None:
                self._on_change(LeaseChanged(duty.name, token))


def _now_s() -> float:
    return asyncio.get_running_loop().time()
