"""In-memory fake of the table and object services, with scripted faults."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from banyanswitch.exceptions import (
    ConditionFailedError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.interfaces import Item, Write, WriteClass


class TableFault(Enum):
    """Fault of one transaction.

    With ``REFUSE`` the caller gets an error that says the writes were not applied. With
    the others it gets an unknown outcome: the writes are never applied
    (``LOSE_REQUEST``), already applied (``LOSE_ANSWER``), or applied after a delay if
    their conditions still hold (``APPLY_LATE``).
    """

    REFUSE = "refuse"
    LOSE_REQUEST = "lose_request"
    LOSE_ANSWER = "lose_answer"
    APPLY_LATE = "apply_late"


@dataclass
class TableCounts:
    """Number of transactions and read calls, and of the items in them."""

    transactions: int = 0
    written_items: int = 0
    read_calls: int = 0
    read_items: int = 0


@dataclass
class FakeTable:
    """Implements ``TableStore`` and ``ObjectStore``.

    Each transaction takes the next fault from ``write_faults``; ``None`` is no fault.

    Parameters
    ----------
    latency_s : float
        Delay before an operation takes effect, in seconds.
    answer_latency_s : float
        Delay between the effect of a transaction and its answer, in seconds.
    late_write_delay_s : float
        Delay of the effect of a transaction with ``APPLY_LATE``, in seconds.
    """

    latency_s: float = 0.0
    answer_latency_s: float = 0.0
    late_write_delay_s: float = 5.0
    is_down: bool = False
    write_faults: list[TableFault | None] = field(default_factory=list)
    counts: TableCounts = field(default_factory=TableCounts)
    items: dict[str, Item] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    last_revisions: dict[str, int] = field(default_factory=dict)
    late_writes: list[asyncio.Task[None]] = field(default_factory=list)

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        await self._delay()
        self._raise_if_down()
        self.counts.read_calls += 1
        self.counts.read_items += len(keys)
        return tuple(self.items[key] for key in keys if key in self.items)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        await self._delay()
        self._raise_if_down()
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        self.counts.read_calls += 1
        self.counts.read_items += len(keys[:limit])
        return tuple(self.items[key] for key in keys[:limit])

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        await self._delay()
        self._raise_if_down()
        self.counts.transactions += 1
        self.counts.written_items += len(writes)
        fault = self.write_faults.pop(0) if self.write_faults else None
        if fault is TableFault.REFUSE:
            raise PlatformUnavailableError("refused", 1.0)
        if fault is TableFault.LOSE_REQUEST:
            raise PlatformOutcomeUnknownError("request lost")
        if fault is TableFault.APPLY_LATE:
            late_write = asyncio.create_task(self._apply_late(tuple(writes)))
            self.late_writes.append(late_write)
            raise PlatformOutcomeUnknownError("no answer in time")
        revisions = self.apply(writes)
        if self.answer_latency_s:
            await asyncio.sleep(self.answer_latency_s)
        if fault is TableFault.LOSE_ANSWER:
            raise PlatformOutcomeUnknownError("answer lost")
        return revisions

    def apply(self, writes: Sequence[Write]) -> tuple[int, ...]:
        failed_keys = [
            write.key for write in writes if not self._meets_condition(write)
        ]
        if failed_keys:
            raise ConditionFailedError(failed_keys)
        return tuple(self._put(write) for write in writes)

    async def async_put(self, name: str, content: bytes) -> None:
        await self._delay()
        self._raise_if_down()
        self.objects[name] = content

    async def async_get_object(self, name: str) -> bytes | None:
        await self._delay()
        self._raise_if_down()
        return self.objects.get(name)

    async def async_delete_object(self, name: str) -> None:
        await self._delay()
        self._raise_if_down()
        self.objects.pop(name, None)

    async def _delay(self) -> None:
        if self.latency_s:
            await asyncio.sleep(self.latency_s)

    async def _apply_late(self, writes: Sequence[Write]) -> None:
        await asyncio.sleep(self.late_write_delay_s)
        try:
            self.apply(writes)
        except ConditionFailedError:
            return

    def _raise_if_down(self) -> None:
        if self.is_down:
            raise PlatformUnavailableError("table is down", 1.0)

    def _meets_condition(self, write: Write) -> bool:
        if write.expected_revision is None:
            return True
        item = self.items.get(write.key)
        return (item.revision if item else 0) == write.expected_revision

    def _put(self, write: Write) -> int:
        revision = self.last_revisions.get(write.key, 0) + 1
        self.last_revisions[write.key] = revision
        if write.value is None:
            self.items.pop(write.key, None)
        else:
            self.items[write.key] = Item(write.key, revision, write.value)
        return revision
