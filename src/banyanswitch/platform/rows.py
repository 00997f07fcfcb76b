"""Rows and transactions of the platform's store, as they are encoded."""

from collections.abc import Sequence

import msgspec

from banyanswitch.helpers.store_version import make_version, number_of
from banyanswitch.interfaces import Item, TableChanges, Write


class Row(msgspec.Struct, frozen=True):
    """Row of a table."""

    key: str
    table: str = ""
    # Base64 on the wire; missing in a removed row.
    value: bytes = b""
    # Version of the last write. All tables share one counter, so the version of a row
    # is not the number of its writes.
    ver: int = 0
    removed: bool = False


class Rows(msgspec.Struct, frozen=True):
    """Response to a read."""

    rows: list[Row] = []
    hasMore: bool = False  # noqa: N815
    ver: int = 0
    nowMs: float | None = None  # noqa: N815


class TransactionResult(msgspec.Struct, frozen=True):
    """Response to a transaction that was applied."""

    ver: int
    nowMs: float | None = None  # noqa: N815


def transaction(writes: Sequence[Write]) -> dict[str, object]:
    """Return the body of a transaction."""
    rows = [(write, *split_key(write.key)) for write in writes]
    return {
        "expectedRevision": [
            {**_row_name(table, row), "ver": number_of(write.expected_revision)}
            for write, table, row in rows
            if write.expected_revision is not None
        ],
        "put": [
            {**_row_name(table, row), "value": write.value}
            for write, table, row in rows
            if write.value is not None
        ],
        "remove": [
            _row_name(table, row) for write, table, row in rows if write.value is None
        ],
    }


def _row_name(table: str, row: str) -> dict[str, object]:
    return {"table": table, "part": "", "key": row}


def split_key(key: str) -> tuple[str, str]:
    """Return the table and the row of a key."""
    table, _, row = key.partition("/")
    return table, row


def row_key(table: str, row: Row) -> str:
    """Return the key of a row."""
    return f"{table}/{row.key}"


def row_item(table: str, row: Row, era: int) -> Item:
    """Return a row as an item, with the era of the response in its revision."""
    return Item(row_key(table, row), make_version(era, row.ver), row.value)


def last_changes(table: str, changes: Rows, era: int) -> TableChanges:
    """Return what the changes of a feed, which are in order, leave of each row."""
    last = {row.key: row for row in changes.rows}.values()
    kept = [row_item(table, row, era) for row in last if not row.removed]
    removed = [row_key(table, row) for row in last if row.removed]
    version = make_version(era, changes.ver)
    return TableChanges(version, tuple(kept), tuple(removed))
