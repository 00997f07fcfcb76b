"""Audit records that wait to be written."""

from collections import deque
from typing import Final

from banyanswitch.components.audit.const import (
    MAX_BATCH_SPAN_S,
    MAX_PENDING_RECORDS,
    MAX_RECORDS_PER_ITEM,
)
from banyanswitch.components.audit.models import AuditRecord

MAX_DETAIL_CHARACTERS: Final = 500


class PendingRecords:
    """Bounded queue of records; the batch at its head stays until it is written."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque()
        self._batch: tuple[AuditRecord, ...] = ()
        self.dropped_records = 0

    def __len__(self) -> int:
        return len(self._records) + len(self._batch)

    def add(self, record: AuditRecord) -> None:
        """Add a record, or count it as dropped if too many wait."""
        if len(self) >= MAX_PENDING_RECORDS:
            self.dropped_records += 1
            return
        self._records.append(record)

    def batch(self) -> tuple[AuditRecord, ...]:
        """Return the records to write next; the same ones until they are written.

        A write whose answer was lost is repeated with the same key and content.
        """
        if not self._batch:
            self._batch = self._take()
        return self._batch

    def mark_written(self) -> None:
        """Forget the batch that was written."""
        self._batch = ()

    def _take(self) -> tuple[AuditRecord, ...]:
        taken: list[AuditRecord] = []
        while self._records and len(taken) < MAX_RECORDS_PER_ITEM:
            span_s = self._records[0].at_unix_s - (taken or self._records)[0].at_unix_s
            if span_s > MAX_BATCH_SPAN_S:
                break
            taken.append(self._records.popleft())
        return tuple(taken)
