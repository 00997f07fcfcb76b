"""Fixtures that start real processes and end each of them by its process ID."""

import asyncio
import urllib.request
from collections.abc import AsyncIterator, Callable, Iterator

import aiohttp
import pytest
from bench.callers import (
    Caller,
    RefusedError,
    StreamBrokenError,
    StreamedResponse,
    completion_body,
)
from bench.fleet import KEYS, MODEL, PLAIN, Fleet, FleetPlan
from bench.processes import HTTP_TIMEOUT_S, ChildProcess, ProcessGroup, wait_until

StartFleet = Callable[[FleetPlan], Fleet]

MAX_ATTEMPTS = 40
RETRY_INTERVAL_S = 0.25
QUICK_ENGINE: dict[str, object] = {
    "prefill_tokens_per_s": 1_000_000.0,
    "decode_tokens_per_s": 100.0,
    "load_s": 0.5,
}
QUICK_ENTRY: dict[str, object] = {
    "address_ttl_s": 1.0,
    "lease_s": 3.0,
    "claim_s": 3.0,
    "platform_timeout_s": 1.0,
}


def quick_plan(**changes: object) -> FleetPlan:
    options = {"engine_options": QUICK_ENGINE, "entry_settings": QUICK_ENTRY}
    return FleetPlan(**(options | changes))  # type: ignore[arg-type]


@pytest.fixture
def start_fleet() -> Iterator[StartFleet]:
    with ProcessGroup() as group:

        def start(plan: FleetPlan) -> Fleet:
            fleet = Fleet(group, plan)
            fleet.apply()
            fleet.start_entries()
            return fleet

        yield start


@pytest.fixture
def fleet(start_fleet: StartFleet) -> Fleet:
    return start_fleet(quick_plan())


@pytest.fixture(scope="module")
def module_fleet() -> Iterator[Fleet]:
    with ProcessGroup() as group:
        fleet = Fleet(group, quick_plan())
        fleet.apply()
        fleet.start_entries()
        yield fleet


@pytest.fixture
def shared_fleet(module_fleet: Fleet) -> Iterator[Fleet]:
    """Fleet shared by tests that end no process; faults are cleared after each test."""
    wait_until(lambda: serves(module_fleet), "all entries serve")
    yield module_fleet
    for process in (module_fleet.table, *module_fleet.engines, *module_fleet.plain):
        process.clear_faults()


def serves(fleet: Fleet) -> bool:
    return all(serves_model(entry) and serves_plain(entry) for entry in fleet.entries)


def serves_model(entry: ChildProcess) -> bool:
    body = completion_body(MODEL, "hello", 1)
    return is_answered(entry, "/v1/chat/completions", body)


def serves_plain(entry: ChildProcess) -> bool:
    return is_answered(entry, f"/v1/services/{PLAIN}/hello", b"hello")


def is_answered(entry: ChildProcess, path: str, body: bytes) -> bool:
    request = urllib.request.Request(entry.url + path, data=body, method="POST")
    request.add_header("Authorization", f"Bearer {KEYS[0]}")
    try:
        with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S):
            return True
    except OSError:
        return False


async def read_answer_with_retries(
    caller: Caller, url: str, body: bytes
) -> StreamedResponse:
    """Return a complete answer; start over after a refusal or a broken stream."""
    for _ in range(MAX_ATTEMPTS):
        answer = StreamedResponse(body)
        try:
            async for _token in caller.async_follow(url, answer):
                pass
            return answer
        except (RefusedError, StreamBrokenError):
            await asyncio.sleep(RETRY_INTERVAL_S)
    raise AssertionError("no complete answer from the entry after all attempts")


@pytest.fixture
async def caller() -> AsyncIterator[Caller]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield Caller(session, KEYS[0])


@pytest.fixture
async def other_caller() -> AsyncIterator[Caller]:
    async with aiohttp.ClientSession() as session:
        yield Caller(session, KEYS[1])
