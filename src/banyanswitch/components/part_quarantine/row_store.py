"""Withheld parts in the table service, and permission to try them again."""

import asyncio
import random

import msgspec
import structlog

from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.part_quarantine.const import (
    QUARANTINE_TABLE,
    STORE_INTERVAL_S,
)
from banyanswitch.components.part_quarantine.coordinator import PartQuarantine
from banyanswitch.components.part_quarantine.models import StoredParts
from banyanswitch.decisions.part_quarantine import Combination
from banyanswitch.exceptions import ConditionFailedError, PlatformError
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.helpers.digests import text_digest
from banyanswitch.interfaces import (
    Item,
    PeerDirectory,
    StoreEra,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class QuarantineStore:
    """Keep the withheld parts across a restart of all instances.

    Rows are read once, and again when the store has returned from an older copy. A
    trial whether parts are sound is a conditional write of their row, so of all
    instances only one makes it.

    Parameters
    ----------
    quarantine : PartQuarantine
        The withheld parts of this instance.
    table : TableStore
        Stores one row per withheld combination of parts.
    eras : StoreEra
        Era of the table service, which may return from an older copy.
    peers : PeerDirectory
        Instances among which those that write are selected.
    generator : random.Random
        Source of the random part of the selection.
    """

    def __init__(
        self,
        *,
        quarantine: PartQuarantine,
        table: TableStore,
        eras: StoreEra,
        peers: PeerDirectory,
        generator: random.Random,
    ) -> None:
        self._quarantine = quarantine
        self._table = table
        self._eras = eras
        self._selector = WatcherSelector(peers, generator)
        self._era = 0
        self._is_read = False
        self._revisions: dict[Combination, int] = {}
        self._unwritten: set[Combination] = set()
        self._unremoved: set[Combination] = set()
        self._trying: set[Combination] = set()
        quarantine.async_permit_trial = self.async_permit_trial
        quarantine.on_withheld = self._on_withheld
        quarantine.on_released = self._on_released

    async def async_run(self) -> None:
        """Read the rows, then write changes until cancelled."""
        while True:
            if self._begins_era():
                self._is_read = False
                self._unwritten.update(self._quarantine.combinations)
            if not self._is_read:
                self._is_read = await self._async_read()
            if self._is_read and (self._unwritten or self._unremoved):
                self._selector.refresh()
                await self._async_write_changes()
            await asyncio.sleep(STORE_INTERVAL_S)

    async def async_permit_trial(self, key: Combination) -> bool:
        """Return whether one request may now try whether withheld parts are sound."""
        if key in self._trying or not self._quarantine.is_trial_due(key):
            return False
        self._trying.add(key)
        try:
            return await self._async_count_trial(key)
        except PlatformError as error:
            LOGGER.info(
                "trial_not_permitted", parts=sorted(key.parts), reason=str(error)
            )
            return False
        finally:
            self._trying.discard(key)

    async def _async_count_trial(self, key: Combination) -> bool:
        known = self._quarantine.combinations[key]
        trials = known.trials + 1
        if key not in self._revisions:
            await self._async_adopt(key)
            if known.trials >= trials:
                return False
        revision = self._revisions.get(key, 0)
        try:
            await self._async_put(key, trials, revision)
        except ConditionFailedError:
            await self._async_adopt(key)
            # Another instance may have the trial without its count being known here.
            self._quarantine.note_trials(key, trials)
            return False
        self._quarantine.note_trials(key, trials)
        self._unwritten.discard(key)
        LOGGER.warning(
            "parts_tried", model=key.model, parts=sorted(key.parts), trials=trials
        )
        return True

    async def _async_adopt(self, key: Combination) -> None:
        """Read the row of parts that another instance has written."""
        self._revisions.pop(key, None)
        for item in await self._table.async_get([_row_key(key)]):
            self._adopt(item)

    def _adopt(self, item: Item) -> None:
        try:
            stored = msgspec.json.decode(item.value, type=StoredParts)
        except DECODING_ERRORS as error:
            LOGGER.warning("stored_part_unreadable", key=item.key, reason=str(error))
            return
        key = Combination(stored.model, frozenset(stored.parts))
        self._revisions[key] = item.revision
        self._unwritten.discard(key)
        if not self._quarantine.withhold_stored(key, stored.trials):
            self._unremoved.add(key)

    async def _async_read(self) -> bool:
        self._revisions.clear()
        try:
            items = await self._table.async_query(f"{QUARANTINE_TABLE}/")
        except PlatformError as error:
            LOGGER.info("quarantine_not_read", reason=str(error))
            return False
        for item in items:
            self._adopt(item)
        return True

    async def _async_write_changes(self) -> None:
        for key in tuple(self._unwritten):
            known = self._quarantine.combinations.get(key)
            if known is None or not self._selector.is_watching(_row_key(key)):
                continue
            try:
                await self._async_put(key, known.trials, 0)
            except ConditionFailedError:
                await self._async_adopt_logged(key)
            except PlatformError as error:
                LOGGER.info(
                    "parts_not_stored", parts=sorted(key.parts), reason=str(error)
                )
                continue
            self._unwritten.discard(key)
        for key in tuple(self._unremoved):
            if self._selector.is_watching(_row_key(key)):
                await self._async_remove(key)

    async def _async_adopt_logged(self, key: Combination) -> None:
        try:
            await self._async_adopt(key)
        except PlatformError as error:
            LOGGER.info(
                "quarantine_not_read", parts=sorted(key.parts), reason=str(error)
            )

    async def _async_put(self, key: Combination, trials: int, revision: int) -> None:
        content = msgspec.json.encode(StoredParts(key.model, sorted(key.parts), trials))
        write = Write(_row_key(key), content, revision)
        (written,) = await self._table.async_transact([write], WriteClass.LEASE)
        self._revisions[key] = written

    async def _async_remove(self, key: Combination) -> None:
        try:
            items = await self._table.async_get([_row_key(key)])
            if items:
                write = Write(_row_key(key), None, items[0].revision)
                await self._table.async_transact([write], WriteClass.LEASE)
        except PlatformError as error:
            LOGGER.info("parts_not_removed", parts=sorted(key.parts), reason=str(error))
            return
        self._unremoved.discard(key)

    def _begins_era(self) -> bool:
        """Return whether the store has returned from an older copy of its data."""
        era = self._eras.era()
        has_earlier_era = 0 < self._era < era
        self._era = max(era, self._era)
        return has_earlier_era

    def _on_withheld(self, key: Combination) -> None:
        self._unremoved.discard(key)
        if key not in self._revisions:
            self._unwritten.add(key)

    def _on_released(self, key: Combination) -> None:
        self._unwritten.discard(key)
        self._revisions.pop(key, None)
        self._unremoved.add(key)


def _row_key(key: Combination) -> str:
    name = text_digest("\0".join([key.model, *sorted(key.parts)]))
    return f"{QUARANTINE_TABLE}/{name}"
