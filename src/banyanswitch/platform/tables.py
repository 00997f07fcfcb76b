"""Client of the platform's metadata store: tables with a change feed."""

import asyncio
import math
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.exceptions import (
    ConditionFailedError,
    HistoryGoneError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    UpstreamBrokenError,
    UpstreamNotSentError,
)
from banyanswitch.helpers.remote_clock import RemoteClock
from banyanswitch.helpers.suspension import SuspensionClock
from banyanswitch.interfaces import Item, TableChanges, Write, WriteClass
from banyanswitch.platform.const import (
    MILLISECONDS_PER_S,
    PATH_ROWS_FEED,
    PATH_ROWS_GET,
    PATH_ROWS_TRANSACT,
)

STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONDITION_FAILED = 412
STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
PAGE_ROWS = 500
FEED_TIMEOUT_MARGIN_S = 0.6
"""Time beyond the requested wait after which a feed call times out; a response takes
4 ms, and up to a hundred times as long from a slow store."""
ResponseT = TypeVar("ResponseT")


class _Row(msgspec.Struct, frozen=True):
    key: str
    table: str = ""
    # Base64 on the wire; missing in a removed row.
    value: bytes = b""
    # Version of the last write. All tables share one counter, so the version of a row
    # is not the number of its writes.
    ver: int = 0
    removed: bool = False


class _Rows(msgspec.Struct, frozen=True):
    rows: list[_Row] = []
    hasMore: bool = False  # noqa: N815
    ver: int = 0
    nowMs: float | None = None  # noqa: N815


class _TransactionResult(msgspec.Struct, frozen=True):
    ver: int
    nowMs: float | None = None  # noqa: N815


class PlatformTables:
    """Implementation of ``TableStore`` and ``TableFeed`` over the platform's store.

    A key ``table/rest`` is stored as the row ``rest`` of the table ``table``.

    Parameters
    ----------
    client : HttpClient
        Client that sends the calls.
    address : str
        Host and port of the store.
    timeout_s : float
        Timeout of one call, in seconds.
    suspension : SuspensionClock, optional
        Time for which the machine was suspended, during which the store's clock runs
        on while the event loop's clock stands still.
    """

    def __init__(
        self,
        client: HttpClient,
        address: str,
        timeout_s: float,
        suspension: SuspensionClock | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._suspension = suspension
        self._clock = RemoteClock()

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        """Return the time of the store's monotonic clock in seconds, if known."""
        local_s = self._local_s()
        clock_ms = self._clock.read_ms(local_s)
        error_s = self._clock.error_ms(local_s) / MILLISECONDS_PER_S
        if clock_ms is None or error_s > max_error_s:
            return None
        return clock_ms / MILLISECONDS_PER_S

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        """Return the items that exist; each key is read by a call of its own."""
        items = []
        for key in keys:
            table, row = _split_key(key)
            page = await self._async_rows(
                {"table": table, "part": "", "from": row, "to": row + "\0"}
            )
            items += [_item(table, found) for found in page.rows]
        return tuple(items)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        """Return items whose key starts with ``prefix``, in the order of keys.

        One call reads at most ``PAGE_ROWS`` rows, also if ``limit`` is higher.
        """
        table, row = _split_key(prefix)
        query = {
            "table": table,
            "part": "",
            "from": max(row, _split_key(after)[1] + "\0") if after else row,
            "limit": str(min(limit, PAGE_ROWS)),
        }
        page = await self._async_rows(query)
        return tuple(
            _item(table, found) for found in page.rows if found.key.startswith(row)
        )

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        """Apply all writes or none, and return the new revisions."""
        body = msgspec.json.encode(_transaction(writes))
        requested_at_s = self._local_s()
        try:
            response = await self._client.async_call(
                "POST",
                self._address,
                PATH_ROWS_TRANSACT,
                timeout_s=self._timeout_s,
                body=body,
            )
        except UpstreamNotSentError as error:
            raise PlatformUnavailableError(str(error)) from error
        except UpstreamBrokenError as error:
            raise PlatformOutcomeUnknownError(str(error)) from error
        if response.status == STATUS_CONDITION_FAILED:
            raise ConditionFailedError([write.key for write in writes])
        _raise_for_status(response)
        result = _decode(response, _TransactionResult, PlatformOutcomeUnknownError)
        self._note_clock(result.nowMs, requested_at_s)
        return tuple(result.ver for _ in writes)

    async def async_read_table(self, table: str) -> TableChanges:
        """Return all rows of a table and the version to continue the feed from."""
        rows: list[_Row] = []
        version: int | None = None
        query = {"table": table, "part": ""}
        while True:
            page = await self._async_rows(query)
            # Keep the version of the first page, so that the feed delivers changes
            # made between the pages.
            version = page.ver if version is None else version
            rows += page.rows
            if not page.hasMore or not page.rows:
                break
            query = {"table": table, "part": "", "from": page.rows[-1].key + "\0"}
        return TableChanges(version, tuple(_item(table, row) for row in rows), ())

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        """Return the changes after a version; wait up to ``wait_s`` for the first."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * MILLISECONDS_PER_S)),
        }
        response = await self._async_read(
            PATH_ROWS_FEED, query, wait_s + FEED_TIMEOUT_MARGIN_S
        )
        if response.status == STATUS_GONE:
            raise HistoryGoneError(
                f"changes of table {table} after version {after} are not available"
            )
        _raise_for_status(response)
        changes = _decode(response, _Rows, PlatformUnavailableError)
        # Changes are sorted by version; only the last change of each row applies.
        last = {row.key: row for row in changes.rows}.values()
        kept = [_item(table, row) for row in last if not row.removed]
        removed = [_key(table, row) for row in last if row.removed]
        return TableChanges(changes.ver, tuple(kept), tuple(removed))

    async def _async_rows(self, query: dict[str, str]) -> _Rows:
        requested_at_s = self._local_s()
        response = await self._async_read(PATH_ROWS_GET, query, self._timeout_s)
        _raise_for_status(response)
        rows = _decode(response, _Rows, PlatformUnavailableError)
        self._note_clock(rows.nowMs, requested_at_s)
        return rows

    def _note_clock(self, clock_ms: float | None, requested_at_s: float) -> None:
        if clock_ms is not None:
            self._clock.note(clock_ms, self._local_s(), requested_at_s)

    def _local_s(self) -> float:
        """Return the event loop's time plus that of suspensions, in seconds."""
        suspended_s = self._suspension.suspended_s() if self._suspension else 0.0
        return asyncio.get_running_loop().time() + suspended_s

    async def _async_read(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> HttpResponse:
        target = f"{path}?{urlencode(query)}"
        try:
            return await self._client.async_call(
                "GET", self._address, target, timeout_s=timeout_s
            )
        except (UpstreamNotSentError, UpstreamBrokenError) as error:
            raise PlatformUnavailableError(str(error)) from error


def _raise_for_status(response: HttpResponse) -> None:
    if response.status == STATUS_OK:
        return
    reason = f"the store answered with status {response.status}"
    if response.status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE):
        raise PlatformUnavailableError(reason)
    raise PlatformOutcomeUnknownError(reason)


def _decode(
    response: HttpResponse,
    response_type: type[ResponseT],
    error_type: type[PlatformUnavailableError] | type[PlatformOutcomeUnknownError],
) -> ResponseT:
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise error_type(f"response of the store can't be decoded: {error}") from error


def _transaction(writes: Sequence[Write]) -> dict[str, object]:
    rows = [(write, *_split_key(write.key)) for write in writes]
    return {
        "expectedRevision": [
            {**_row_name(table, row), "ver": write.expected_revision}
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


def _split_key(key: str) -> tuple[str, str]:
    table, _, row = key.partition("/")
    return table, row


def _key(table: str, row: _Row) -> str:
    return f"{table}/{row.key}"


def _item(table: str, row: _Row) -> Item:
    return Item(_key(table, row), row.ver, row.value)
