"""Client of the platform's metadata store: tables with a change feed."""

import asyncio
import math
from collections.abc import Sequence
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
from banyanswitch.helpers.store_version import era_of, make_version, number_of
from banyanswitch.helpers.suspension import SuspensionClock
from banyanswitch.interfaces import Item, TableChanges, Write, WriteClass
from banyanswitch.platform.const import (
    MILLISECONDS_PER_S,
    PATH_ROWS_FEED,
    PATH_ROWS_GET,
    PATH_ROWS_TRANSACT,
)
from banyanswitch.platform.eras import StoreEras
from banyanswitch.platform.rows import (
    Rows,
    TransactionResult,
    last_changes,
    row_item,
    split_key,
    transaction,
)
from banyanswitch.platform.store_responses import (
    STATUS_CONDITION_FAILED,
    STATUS_GONE,
    decode,
    raise_for_status,
)

PAGE_ROWS = 500
FEED_TIMEOUT_MARGIN_S = 0.6
"""Time beyond the requested wait after which a feed call times out; a response takes
4 ms, and up to a hundred times as long from a slow store."""


class PlatformTables:
    """Implements ``TableStore``, ``TableFeed`` and ``TableHistory`` over the store.

    A key ``table/rest`` is stored as the row ``rest`` of the table ``table``.

    The store may return from an older copy, and then gives out version numbers again.
    Revisions and versions therefore contain the era of the response, see
    `banyanswitch.helpers.store_version`.

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
        self._eras = StoreEras()

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        """Return the time of the store's monotonic clock in seconds, if known."""
        local_s = self._local_s()
        clock_ms = self._clock.read_ms(local_s)
        error_s = self._clock.error_ms(local_s) / MILLISECONDS_PER_S
        if clock_ms is None or error_s > max_error_s:
            return None
        return clock_ms / MILLISECONDS_PER_S

    def era(self) -> int:
        """Return the store's era, 0 if it is not known."""
        return self._eras.current

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        """Return the items that exist; each key is read by a call of its own."""
        items = []
        for key in keys:
            table, row = split_key(key)
            page, era = await self._async_rows(
                {"table": table, "part": "", "from": row, "to": row + "\0"}
            )
            items += [row_item(table, found, era) for found in page.rows]
        return tuple(items)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        """Return items whose key starts with ``prefix``, in the order of keys.

        One call reads at most ``PAGE_ROWS`` rows, also if ``limit`` is higher.
        """
        table, row = split_key(prefix)
        query = {
            "table": table,
            "part": "",
            "from": max(row, split_key(after)[1] + "\0") if after else row,
            "limit": str(min(limit, PAGE_ROWS)),
        }
        page, era = await self._async_rows(query)
        return tuple(
            row_item(table, found, era)
            for found in page.rows
            if found.key.startswith(row)
        )

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        """Apply all writes or none, and return the new revisions.

        A write that expects a revision of an earlier era is not sent, since that number
        may stand for another content by now.
        """
        expected_eras = {
            era_of(write.expected_revision)
            for write in writes
            if write.expected_revision
        }
        if any(era < self._eras.current for era in expected_eras):
            raise ConditionFailedError([write.key for write in writes])
        body = msgspec.json.encode(transaction(writes))
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
        era = self._eras.note(response)
        if response.status == STATUS_CONDITION_FAILED:
            raise ConditionFailedError([write.key for write in writes])
        raise_for_status(response)
        if era is None or expected_eras - {era}:
            raise PlatformOutcomeUnknownError(
                "the store wrote in another era than that of the conditions"
            )
        result = decode(response, TransactionResult, PlatformOutcomeUnknownError)
        self._note_clock(result.nowMs, requested_at_s)
        return tuple(make_version(era, result.ver) for _ in writes)

    async def async_read_table(self, table: str) -> TableChanges:
        """Return all rows of a table and the version to continue the feed from."""
        items: list[Item] = []
        version: int | None = None
        query = {"table": table, "part": ""}
        while True:
            page, era = await self._async_rows(query)
            # Keep the version of the first page, so that the feed delivers changes
            # made between the pages.
            if version is None:
                version = make_version(era, page.ver)
            if era != era_of(version):
                raise PlatformUnavailableError(
                    f"the store's era changed while table {table} was read"
                )
            items += [row_item(table, row, era) for row in page.rows]
            if not page.hasMore or not page.rows:
                break
            query = {"table": table, "part": "", "from": page.rows[-1].key + "\0"}
        return TableChanges(version, tuple(items), ())

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        """Return the changes after a version; wait up to ``wait_s`` for the first.

        A version of an earlier era has no changes, since its number may stand for
        another content by now.
        """
        changes = await self._async_feed(table, after, wait_s)
        return last_changes(table, changes, era_of(after))

    async def async_history(
        self, table: str, after: int, until: int
    ) -> tuple[Item, ...]:
        """Return all writes to a table after a version, up to another one or later."""
        era = era_of(after)
        written: list[Item] = []
        while after < until:
            changes = await self._async_feed(table, after, 0.0)
            written += [
                row_item(table, row, era) for row in changes.rows if not row.removed
            ]
            version = make_version(era, changes.ver)
            if version <= after:
                raise PlatformUnavailableError(
                    f"the feed of table {table} ends before version {until}"
                )
            after = version
        return tuple(written)

    async def _async_feed(self, table: str, after: int, wait_s: float) -> Rows:
        """Return the changes after a version, each as a row of its own.

        Raises
        ------
        HistoryGoneError
            If they are not available, also since the version is of an earlier era.
        """
        if era_of(after) < self._eras.current:
            raise HistoryGoneError(_other_era(table, after))
        query = {
            "table": table,
            "after": str(number_of(after)),
            "waitMs": str(int(wait_s * MILLISECONDS_PER_S)),
        }
        response = await self._async_read(
            PATH_ROWS_FEED, query, wait_s + FEED_TIMEOUT_MARGIN_S
        )
        era = self._note_era(response)
        if response.status == STATUS_GONE:
            raise HistoryGoneError(
                f"changes of table {table} after version {after} are not available"
            )
        raise_for_status(response)
        if era != era_of(after):
            raise HistoryGoneError(_other_era(table, after))
        return decode(response, Rows, PlatformUnavailableError)

    async def _async_rows(self, query: dict[str, str]) -> tuple[Rows, int]:
        """Return the rows of a query, and the era of the response."""
        requested_at_s = self._local_s()
        response = await self._async_read(PATH_ROWS_GET, query, self._timeout_s)
        era = self._note_era(response)
        raise_for_status(response)
        rows = decode(response, Rows, PlatformUnavailableError)
        self._note_clock(rows.nowMs, requested_at_s)
        return rows, era

    def _note_era(self, response: HttpResponse) -> int:
        """Return the era of a response to a read.

        Raises
        ------
        PlatformUnavailableError
            If the response is of another era than the current one.
        """
        era = self._eras.note(response)
        if era is None:
            raise PlatformUnavailableError(
                f"the store answered in another era than {self._eras.current}"
            )
        return era

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


def _other_era(table: str, after: int) -> str:
    return f"version {after} of table {table} is of another era than the store"
