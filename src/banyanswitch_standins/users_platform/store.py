"""Metadata store with conditional writes and a change feed."""

import asyncio
import base64
from dataclasses import dataclass, field
from enum import Enum

from aiohttp import web

OPERATOR_TABLE = "op"
HEADER_ERA = "Store-Era"
RowName = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class Row:
    """Row of a table; ``value`` is ``None`` after the removal of the row."""

    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """State of the store at one moment."""

    rows: dict[RowName, Row]
    history: list[tuple[int, RowName, Row]]
    version: int
    oldest_version: int


class EraFault(Enum):
    """Simulated fault of the ``Store-Era`` header.

    Attributes
    ----------
    MISSING
        The response has no header.
    NOT_A_NUMBER
        The value is not a number.
    LOWER
        The value is one lower than the era.
    """

    MISSING = "missing"
    NOT_A_NUMBER = "not_a_number"
    LOWER = "lower"


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
    era : EraFault or None
        Fault of the ``Store-Era`` header.
    era_times : int or None
        Number of responses that ``era`` still applies to; ``None`` means no limit.
    """

    is_down: bool = False
    drops_responses: bool = False
    is_history_gone: bool = False
    era: EraFault | None = None
    era_times: int | None = None

    def take_era_fault(self) -> EraFault | None:
        """Return the fault of the next response's header, and count the response."""
        if self.era is None or self.era_times == 0:
            return None
        if self.era_times is not None:
            self.era_times -= 1
        return self.era


@dataclass
class PlatformStore:
    """Metadata store that keeps its rows in memory.

    It can return from an older copy. Versions then go back and are given out again,
    and conditions and feed calls compare only their numbers: a version of an earlier
    era is accepted if the store has given out that number again.

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
    era : int
        Number of returns from a copy, plus one.
    outside_writes : list of tuple
        Names and values that ``async_put`` has written, in order. A return from a
        copy doesn't shorten it.
    faults : StoreFaults
        Faults to simulate.
    call_counts : dict of str to int
        Number of calls by kind, and of responses to feed calls as ``feed_answer``.
    """

    rows: dict[RowName, Row] = field(default_factory=dict)
    history: list[tuple[int, RowName, Row]] = field(default_factory=list)
    version: int = 0
    oldest_version: int = 0
    era: int = 1
    outside_writes: list[tuple[RowName, bytes | None]] = field(default_factory=list)
    faults: StoreFaults = field(default_factory=StoreFaults)
    call_counts: dict[str, int] = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _copy: StoreCopy | None = None
    _interruptions: int = 0

    def make_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.on_response_prepare.append(self._async_add_era)
        app.router.add_post("/-/rows-tx", self._async_transact)
        app.router.add_get("/-/rows-get", self._async_get)
        app.router.add_get("/-/rows-feed", self._async_feed)
        return app

    async def async_put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row without a condition and return its version.

        ``None`` removes the row. Tests call this method in place of an operator or an
        upstream; the system under test writes by transactions.
        """
        name = (table, "", key)
        self.outside_writes.append((name, value))
        self._write(name, value)
        return self.version

    def discard_history(self) -> None:
        """Make the feed respond with 410 to readers behind the current version."""
        self.oldest_version = self.version + 1

    def take_copy(self) -> None:
        """Keep the present state for ``async_return_from_copy``."""
        self._copy = StoreCopy(
            dict(self.rows), list(self.history), self.version, self.oldest_version
        )

    def go_away(self) -> None:
        """Become unavailable; connections of waiting feed calls are aborted."""
        self.faults.is_down = True
        self._interrupt_feed_calls()

    async def async_return_from_copy(self) -> None:
        """Become available with the state of the copy, in the next era.

        Raises
        ------
        RuntimeError
            If no copy was taken.
        """
        if self._copy is None:
            raise RuntimeError("the store has no copy to return from")
        self.rows = dict(self._copy.rows)
        self.history = list(self._copy.history)
        self.version = self._copy.version
        self.oldest_version = self._copy.oldest_version
        self.era += 1
        self.faults.is_down = False
        self._interrupt_feed_calls()

    def _interrupt_feed_calls(self) -> None:
        self._interruptions += 1
        self._wake_feed_calls()

    def _wake_feed_calls(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(self, name: RowName, value: bytes | None) -> None:
        self.version += 1
        self.rows[name] = Row(value, self.version)
        self.history.append((self.version, name, self.rows[name]))
        self._wake_feed_calls()

    async def _async_add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if request.transport is None or request.transport.is_closing():
            return
        match self.faults.take_era_fault():
            case EraFault.MISSING:
                return
            case EraFault.NOT_A_NUMBER:
                response.headers[HEADER_ERA] = "new"
            case EraFault.LOWER:
                response.headers[HEADER_ERA] = str(self.era - 1)
            case None:
                response.headers[HEADER_ERA] = str(self.era)

    async def _async_transact(self, request: web.Request) -> web.Response:
        self._record_call("transact")
        document = await request.json()
        # The store may have gone away while the body was received.
        self._raise_if_down()
        failed = [
            condition
            for condition in document.get("expectedRevision", [])
            if self._version_of(_row_name(condition)) != condition["ver"]
        ]
        if failed:
            return web.json_response({"rows": []}, status=412)
        for entry in document.get("put", []):
            self._write(_row_name(entry), base64.b64decode(entry["value"]))
        for entry in document.get("remove", []):
            self._write(_row_name(entry), None)
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
        if not self.oldest_version - 1 <= after <= self.version:
            return web.json_response({}, status=410)
        wait_s = int(request.query.get("waitMs", "0")) / 1000.0
        table = request.query["table"]
        interruptions = self._interruptions
        try:
            async with asyncio.timeout(wait_s):
                while interruptions == self._interruptions and not self._changes(
                    table, after
                ):
                    await self._changed.wait()
        except TimeoutError:
            pass
        if interruptions != self._interruptions:
            # Aborted like the connections of a store that goes away; an answer would
            # have the era in its header.
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable
        self._record_call("feed_answer")
        return web.json_response(
            {
                "rows": self._changes(table, after),
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
        self._raise_if_down()

    def _raise_if_down(self) -> None:
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
