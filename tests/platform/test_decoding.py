"""Fuzz tests: input from platform, upstreams and instances is decoded or rejected.

The input is valid documents with values replaced, removed or truncated, and arbitrary
bytes.
"""

import asyncio
import copy
import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.components.forwarding.protocols import EngineReport, PartEvents
from banyanswitch.components.http1.client import HttpResponse
from banyanswitch.components.http1.models import Header
from banyanswitch.components.peers.const import SIGNATURE_PURPOSE
from banyanswitch.components.peers.signed_frames import SignedFrames
from banyanswitch.components.state_exchange.models import InstanceReport
from banyanswitch.decisions.fetch_floor import FetchFloor
from banyanswitch.decisions.load_shares import Load
from banyanswitch.exceptions import (
    ConditionFailedError,
    HistoryGoneError,
    IdentityMismatchError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    UpstreamBrokenError,
)
from banyanswitch.helpers.signing import SIGNATURE_BYTES, SigningKeys
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import Item, TableChanges, Write, WriteClass
from banyanswitch.platform.engines import PlatformEngines
from banyanswitch.platform.tables import PlatformTables

REPORT: dict[str, Any] = {
    "sequence": 3,
    "busy": True,
    "models": [{"name": "m", "version": 4}],
}
EVENTS: dict[str, Any] = {
    "bootEpoch": 2,
    "next": 9,
    "lost": False,
    "clock_ms": 12.5,
    "events": [[8, "+", "salt", "part", 16, "m"]],
}
PART_LIST: dict[str, Any] = {
    "bootEpoch": 2,
    "next": 9,
    "clock_ms": 12.5,
    "held": [["salt", "part", 16, "m"]],
}
ROWS: dict[str, Any] = {
    "rows": [
        {"key": "k", "table": "t", "value": "AA==", "ver": 7},
        {"key": "gone", "table": "t", "ver": 8, "removed": True},
    ],
    "hasMore": False,
    "ver": 9,
    "nowMs": 1234.5,
}
TRANSACTION_RESULT: dict[str, Any] = {"ver": 4}
ADDRESS = "10.0.0.1:1"
KEYS = SigningKeys(b"a-key-of-32-bytes-for-the-tests!")
STATUSES = st.sampled_from([200] * 6 + [202, 204, 410, 412, 429, 500, 503])
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text("ab1:+", max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text("kmv", max_size=4), inner)
    ),
    max_leaves=6,
)


class FixedClient:
    """HTTP client that returns the same response to every call."""

    def __init__(self, status: int, body: bytes) -> None:
        self.response = HttpResponse(status, (), body)

    async def async_call(
        self,
        method: str,
        address: str,
        target: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Iterable[Header] = (),
        send_by_s: Callable[[], float] | None = None,
        uses_own_connection: bool = False,
        is_own: Callable[[HttpResponse], bool] | None = None,
    ) -> HttpResponse:
        if is_own is not None and not is_own(self.response):
            raise IdentityMismatchError
        return self.response


def paths(document: Any) -> list[tuple[Any, ...]]:
    """Return the path to each value in a document."""
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    else:
        return []
    return [(key, *rest) for key, value in items for rest in [(), *paths(value)]]


@st.composite
def bodies(draw: st.DrawFn, document: dict[str, Any]) -> bytes:
    """Draw a response body that differs little from a valid one."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=64))
    changed = copy.deepcopy(document)
    for path in draw(st.lists(st.sampled_from(paths(document)), max_size=3)):
        _replace(changed, path, draw(VALUES), draw(st.booleans()))
    content = json.dumps(changed).encode()
    if draw(st.integers(0, 9)) == 0:
        return content[: draw(st.integers(0, len(content)))]
    return content


def _replace(
    document: Any, path: tuple[Any, ...], value: Any, is_replaced: bool
) -> None:
    for key in path[:-1]:
        try:
            document = document[key]
        except (KeyError, IndexError, TypeError):
            return
    if not isinstance(document, dict | list):
        return
    try:
        if is_replaced:
            document[path[-1]] = value
        else:
            del document[path[-1]]
    except (KeyError, IndexError, TypeError):
        return


def outcome(call: Awaitable[Any], *errors: type[Exception]) -> Any:
    """Return the result of a call, or ``None`` after one of its documented errors."""

    async def run() -> Any:
        try:
            return await call
        except errors:
            return None

    return asyncio.run(run())


@given(status=STATUSES, body=bodies(REPORT))
def test_upstream_report(status: int, body: bytes) -> None:
    engines = PlatformEngines(FixedClient(status, body))
    report = outcome(engines.async_report(ADDRESS), UpstreamBrokenError)
    assert report is None or isinstance(report, EngineReport)


@pytest.mark.parametrize(
    ("document", "call"),
    [
        (EVENTS, lambda engines: engines.async_events(ADDRESS, 2, 0, 1.0)),
        (PART_LIST, lambda engines: engines.async_list(ADDRESS)),
    ],
    ids=["events", "held"],
)
@given(data=st.data(), status=STATUSES)
def test_kv_store_events(
    document: dict[str, Any],
    call: Callable[[PlatformEngines], Awaitable[PartEvents]],
    data: st.DataObject,
    status: int,
) -> None:
    engines = PlatformEngines(FixedClient(status, data.draw(bodies(document))))
    events = outcome(call(engines), UpstreamBrokenError)
    assert events is None or isinstance(events, PartEvents)


@given(status=STATUSES, body=bodies(ROWS))
def test_table_changes(status: int, body: bytes) -> None:
    tables = PlatformTables(FixedClient(status, body), ADDRESS, 1.0)
    changes = outcome(
        tables.async_changes("t", 5, 1.0),
        HistoryGoneError,
        PlatformOutcomeUnknownError,
        PlatformUnavailableError,
    )
    assert changes is None or isinstance(changes, TableChanges)


@given(status=STATUSES, body=bodies(ROWS))
def test_table_rows(status: int, body: bytes) -> None:
    tables = PlatformTables(FixedClient(status, body), ADDRESS, 1.0)
    items = outcome(
        tables.async_get(["t/k"]), PlatformOutcomeUnknownError, PlatformUnavailableError
    )
    assert items is None or all(isinstance(item, Item) for item in items)
    clock_s = outcome(_async_clock(tables))
    assert clock_s is None or isinstance(clock_s, float)


async def _async_clock(tables: PlatformTables) -> float | None:
    return tables.clock_s()


@given(status=STATUSES, body=bodies(TRANSACTION_RESULT))
def test_write_revision(status: int, body: bytes) -> None:
    tables = PlatformTables(FixedClient(status, body), ADDRESS, 1.0)
    revisions = outcome(
        tables.async_transact([Write("t/k", b"1", 0)], WriteClass.LEASE),
        HistoryGoneError,
        PlatformOutcomeUnknownError,
        PlatformUnavailableError,
        ConditionFailedError,
    )
    assert revisions is None or all(isinstance(item, int) for item in revisions)


class _Frames(SignedFrames):
    """Signed frames of an instance at a fixed address."""

    @property
    def address(self) -> str:
        return ADDRESS


def _frames(name: str) -> _Frames:
    frames = _Frames(instance=InstanceId(name), incarnation=1, keys=KEYS)
    frames.subscribe(InstanceReport, lambda report: None)
    return frames


def _report() -> InstanceReport:
    floor = FetchFloor(version=2, target=4, retired_share=0.25)
    return InstanceReport(
        instance="a",
        peer_address=ADDRESS,
        table_versions={"t": 4},
        loads={"u": Load()},
        fetches={"x": 2},
        loading={"u": 3},
        weights={"u": ("m", 3)},
        fetch_floors={"m": floor},
        replaced=["u"],
        target_ages_s={"m": {3: 0.5}},
    )


@given(data=st.data(), is_signed=st.booleans())
def test_frames_between_instances(data: st.DataObject, is_signed: bool) -> None:
    sender, receiver = _frames("a"), _frames("b")
    received: list[InstanceReport] = []
    receiver.subscribe(InstanceReport, received.append)
    frame = bytearray(sender.frame(ADDRESS, _report()))
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(SIGNATURE_BYTES, len(frame) - 1))
        frame[position] = data.draw(st.integers(0, 255))
    content = bytes(frame[SIGNATURE_BYTES:])
    signature = bytes(frame[:SIGNATURE_BYTES])
    if is_signed:
        signature = KEYS.sign(SIGNATURE_PURPOSE, content)
    receiver.deliver(signature + content)
    assert all(isinstance(report, InstanceReport) for report in received)
    if not is_signed and content != sender.frame(ADDRESS, _report())[SIGNATURE_BYTES:]:
        assert receiver.dropped_frames + len(received) == 1


@given(frame=st.binary(max_size=256))
def test_arbitrary_datagram(frame: bytes) -> None:
    receiver = _frames("b")
    receiver.deliver(frame)
    assert receiver.dropped_frames == 1
