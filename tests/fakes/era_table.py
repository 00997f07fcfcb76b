"""In-memory fake of a table service that returns from an older copy."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.helpers.store_version import era_of, make_version, number_of
from banyanswitch.interfaces import Item, Write, WriteClass

Rows = dict[str, tuple[int, bytes]]


@dataclass
class EraStore:
    """Rows with the numbers of their writes; conditions compare numbers only."""

    era: int = 1
    number: int = 0
    rows: Rows = field(default_factory=dict)
    is_away: bool = False
    _copy: tuple[int, Rows] = (0, {})

    def take_copy(self) -> None:
        self._copy = (self.number, dict(self.rows))

    def return_from_copy(self) -> None:
        self.number, rows = self._copy
        self.rows = dict(rows)
        self.era += 1
        self.is_away = False

    def write(self, key: str, value: bytes, expected_number: int | None) -> int:
        known = self.rows.get(key, (0, b""))[0]
        if expected_number is not None and expected_number != known:
            raise ConditionFailedError([key])
        self.number += 1
        self.rows[key] = (self.number, value)
        return self.number


@dataclass
class EraTable:
    """Implements ``TableStore`` and ``StoreEra`` for one client of an `EraStore`."""

    store: EraStore
    latency_s: float = 0.005
    known_era: int = 0

    def era(self) -> int:
        return self.known_era

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        await self._async_reach()
        found = [
            Item(key, make_version(self.store.era, number), value)
            for key, (number, value) in self.store.rows.items()
            if key in keys
        ]
        await self._async_answer()
        return tuple(found)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        keys = [key for key in self.store.rows if key.startswith(prefix)]
        return await self.async_get(keys)

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        (write,) = writes
        expected = write.expected_revision
        if expected and era_of(expected) < self.known_era:
            raise ConditionFailedError([write.key])
        await self._async_reach()
        number = None if expected is None else number_of(expected)
        written = self.store.write(write.key, write.value or b"", number)
        era = self.store.era
        await self._async_answer()
        if expected and era_of(expected) != era:
            raise PlatformOutcomeUnknownError("written in another era")
        return (make_version(era, written),)

    async def _async_reach(self) -> None:
        await asyncio.sleep(self.latency_s)
        if self.store.is_away:
            raise PlatformUnavailableError("the store is away")

    async def _async_answer(self) -> None:
        self.known_era = max(self.known_era, self.store.era)
        await asyncio.sleep(self.latency_s)
