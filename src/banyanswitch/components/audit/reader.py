"""Queries of audit records."""

from dataclasses import dataclass
from typing import Final

from banyanswitch.components.audit.codec import decode_batch, time_key
from banyanswitch.components.audit.const import AUDIT_PREFIX, MAX_BATCH_SPAN_S
from banyanswitch.components.audit.models import AuditKind, AuditRecord
from banyanswitch.interfaces import Item, TableStore

ITEMS_PER_QUERY: Final = 200


@dataclass(frozen=True, slots=True)
class AuditQuery:
    """Filter of audit records; ``None`` matches all.

    Parameters
    ----------
    since_unix_s, until_unix_s : float
        Range of the times of the records, in seconds since the Unix epoch.
    limit : int
        Maximum number of records that are returned; the earliest come first.
    """

    since_unix_s: float
    until_unix_s: float
    kind: AuditKind | None = None
    actor: str | None = None
    limit: int = 100

    def matches(self, record: AuditRecord) -> bool:
        """Return whether a record passes the filter."""
        if not self.since_unix_s <= record.at_unix_s <= self.until_unix_s:
            return False
        if self.kind is not None and record.kind is not self.kind:
            return False
        return self.actor is None or record.actor == self.actor


@dataclass(frozen=True, slots=True)
class FoundRecord:
    """Record and its reference.

    Parameters
    ----------
    reference : str
        Argument of ``async_show``: the name of the item, a slash and the position of
        the record in the item.
    """

    reference: str
    record: AuditRecord


async def async_list(table: TableStore, query: AuditQuery) -> tuple[FoundRecord, ...]:
    """Return the records that match a query, in the order of time."""
    after = time_key(max(0.0, query.since_unix_s - MAX_BATCH_SPAN_S))
    last_key = time_key(query.until_unix_s + 1)
    found: list[FoundRecord] = []
    while len(found) < query.limit:
        items = await table.async_query(
            AUDIT_PREFIX, after=after, limit=ITEMS_PER_QUERY
        )
        for item in items:
            found += [
                found_record
                for found_record in _records(item)
                if query.matches(found_record.record)
            ]
        if len(items) < ITEMS_PER_QUERY or items[-1].key > last_key:
            break
        after = items[-1].key
    return tuple(sorted(found, key=_record_time)[: query.limit])


async def async_show(table: TableStore, reference: str) -> FoundRecord | None:
    """Return the record with a reference, or ``None`` if it doesn't exist."""
    name, _, _ = reference.rpartition("/")
    items = await table.async_get([AUDIT_PREFIX + name])
    for item in items:
        for found in _records(item):
            if found.reference == reference:
                return found
    return None


def _records(item: Item) -> list[FoundRecord]:
    name = item.key.removeprefix(AUDIT_PREFIX)
    return [
        FoundRecord(f"{name}/{number}", record)
        for number, record in enumerate(decode_batch(item.value))
    ]


def _record_time(found: FoundRecord) -> float:
    return found.record.at_unix_s
