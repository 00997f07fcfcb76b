"""Metadata store with conditional writes and a change feed."""

import asyncio
import base64
from dataclasses import dataclass, field

from aiohttp import web

OPERATOR_TABLE = "op"
RowName = tuple[str, str, str]


@dataclass(slots=True)
class Row:
    """Row of a table; ``value`` is ``None`` after the removal of the row."""

    value: bytes | None
    version: int


@dataclass(slots=True)
class StoreFaults:
    """Simulated faults of the store.

    Parameters
    ----------
    is_down : bool
        Whether calls get 503.
    drops_responses : bool
        Whether the connection is aborted after a transaction is applied.
    is_history_gone : bool
        Has no effect; ``PlatformStore.discard_history`` makes the feed respond with
        410.
    """

    is_down: bool = False
    drops_responses: bool = False
    is_history_gone: bool = False


@dataclass
class PlatformStore:
    """Metadata store that keeps its rows in memory.

    Parameters
    ----------
    rows : dict of RowName to Row
        Rows by table, part and key.
    history : list of tuple
        Changes in order, each with its version, the row's name and the row.
    version : int
        Version of the latest change.
    oldest_version : int
        First version whose change is still in the feed.
    faults : StoreFaults
        Faults to simulate.
    call_counts : dict of str to int
        Number of calls by kind, and of responses to feed calls as ``feed_answer``.
    """

    rows: dict[RowName, Row] = field(default_factory=dict)
    history: list[tuple[int, RowName, Row]] = field(default_factory=list)
    version: int = 0
    oldest_version: int = 0
    faults: StoreFaults = field(default_factory=StoreFaults)
    call_counts: dict[str, int] = field(default_factory=dict)
    _changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/-/rows-tx", self._async_transact)
        app.router.add_get("/-/rows-get", self._async_get)
        app.router.add_get("/-/rows-feed", self._async_feed)
        return app

    async def async_put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row without a condition and return its version.

        ``None`` removes the row. Transactions use this method, and tests call it in
        place of an operator or an upstream.
        """
        self.version += 1
        name = (table, "", key)
        self.rows[name] = Row(value, self.version)
        self.history.append((self.version, name, self.rows[name]))
        async with self._changed:
            self._changed.notify_all()
        return self.version

    def discard_history(self) -> None:
        """Make the feed respond with 410 to readers behind the current version."""
        self.oldest_version = self.version + 1

    async def _async_transact(self, request: web.Request) -> web.Response:
        self._record_call("transact")
        document = await request.json()
        failed = [
            condition
            for condition in document.get("expectedRevision", [])
            if self._version_of(_row_name(condition)) != condition["ver"]
        ]
        if failed:
            return web.json_response({"rows": []}, status=412)
        for entry in document.get("put", []):
            value = base64.b64decode(entry["value"])
            await self.async_put(entry["table"], entry["key"], value)
        for entry in document.get("remove", []):
            await self.async_put(entry["table"], entry["key"], None)
        if self.faults.drops_responses and request.transport is not None:
            request.transport.abort()
        return web.json_response({"ver": self.version, "nowMs": self._now_ms()})

    async def _async_get(self, request: web.Request) -> web.Response:
        self._record_call("get")
        first = request.query.get("from", "")
        end = request.query.get("to")
        rows = [
            self._document(name, row)
            for name, row in sorted(self.rows.items())
            if name[0] == request.query["table"]
            and name[2] >= first
            and (end is None or name[2] < end)
            and row.value is not None
        ]
        return web.json_response(
            {
                "rows": rows,
                "hasMore": False,
                "ver": self.version,
                "nowMs": self._now_ms(),
            }
        )

    async def _async_feed(self, request: web.Request) -> web.Response:
        self._record_call("feed")
        after = int(request.query["after"])
        if after < self.oldest_version - 1:
            return web.json_response({}, status=410)
        wait_s = int(request.query.get("waitMs", "0")) / 1000.0
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._changes(request.query["table"], after)
                )
        except TimeoutError:
            pass
        self._record_call("feed_answer")
        return web.json_response(
            {
                "rows": self._changes(request.query["table"], after),
                "ver": self.version,
                "nowMs": self._now_ms(),
            }
        )

    def _changes(self, table: str, after: int) -> list[dict[str, object]]:
        """Return the changes after a version in order; a row may occur repeatedly."""
        return [
            self._document(name, row)
            for version, name, row in self.history
            if name[0] == table and version > after
        ]

    def _record_call(self, call: str) -> None:
        """Count a call.

        Raises
        ------
        web.HTTPServiceUnavailable
            If the store is simulated as down.
        """
        self.call_counts[call] = self.call_counts.get(call, 0) + 1
        if self.faults.is_down:
            raise web.HTTPServiceUnavailable

    def _version_of(self, name: RowName) -> int:
        row = self.rows.get(name)
        return row.version if row is not None and row.value is not None else 0

    def _document(self, name: RowName, row: Row) -> dict[str, object]:
        document: dict[str, object] = {
            "table": name[0],
            "part": name[1],
            "key": name[2],
            "ver": row.version,
        }
        if row.value is None:
            document["removed"] = True
        else:
            document["value"] = base64.b64encode(row.value).decode()
        return document

    @staticmethod
    def _now_ms() -> int:
        return int(asyncio.get_running_loop().time() * 1000.0)


def _row_name(document: dict[str, str]) -> RowName:
    return document["table"], document.get("part", ""), document["key"]
