"""The platform's services are down while entries serve or start."""

import asyncio
import signal

import pytest
from bench.callers import Caller, RefusedError, completion_body
from bench.fleet import MODEL, PLAIN, Fleet
from bench.processes import is_ready, wait_until

pytestmark = pytest.mark.process

TOKENS = 5
MAX_TRIES = 60
RETRY_S = 0.25
RETRY_CODES = {"call_pending", "claim_not_recorded"}


async def serve_once(caller: Caller, url: str, prompt: str) -> None:
    body = completion_body(MODEL, prompt, TOKENS)
    (await caller.async_stream(url, body)).check(TOKENS)


@pytest.mark.parametrize("stop", [signal.SIGKILL, signal.SIGSTOP])
async def test_configured_entries_serve_without_the_table(
    fleet: Fleet, caller: Caller, stop: signal.Signals
) -> None:
    fleet.table.signal(stop)
    for number in range(10):
        for entry in fleet.entries:
            await serve_once(caller, entry.url, f"prompt {number}")
            assert entry.get("/health/live")["configuration_revision"] == 1


@pytest.mark.parametrize("stop", [signal.SIGKILL, signal.SIGSTOP])
async def test_call_that_can_not_be_recorded_is_truthfully_not_run(
    fleet: Fleet, caller: Caller, stop: signal.Signals
) -> None:
    fleet.table.signal(stop)
    for entry in fleet.entries:
        with pytest.raises(RefusedError) as caught:
            await caller.async_call(entry.url, f"{PLAIN}/purchases", b"1", "key-1")
        assert caught.value.refusal.run == "not_run"
        assert caught.value.refusal.status == 503
    assert fleet.executions() == {}


async def test_calls_go_on_after_the_outage(fleet: Fleet, caller: Caller) -> None:
    first, second = fleet.entries
    path = f"{PLAIN}/purchases"
    fleet.table.signal(signal.SIGSTOP)
    with pytest.raises(RefusedError):
        await caller.async_call(first.url, path, b"1", "key-1")
    fleet.table.signal(signal.SIGCONT)
    answer = None
    for _ in range(MAX_TRIES):
        try:
            answer = await caller.async_call(second.url, path, b"1", "key-1")
            break
        except RefusedError as error:
            assert error.refusal.code in RETRY_CODES
            await asyncio.sleep(RETRY_S)
    assert answer is not None
    assert list(fleet.executions().values()) == [1]


async def test_entry_that_starts_in_an_outage_asks_its_peers(
    fleet: Fleet, caller: Caller
) -> None:
    fleet.table.signal(signal.SIGSTOP)
    late = fleet.start_entry()
    wait_until(lambda: is_ready(late), "the late entry is ready")
    assert fleet.revision_of(late) == 1
    await serve_once(caller, late.url, "prompt")


async def test_silent_list_of_instances_stops_nothing(
    fleet: Fleet, caller: Caller
) -> None:
    fleet.instances.signal(signal.SIGSTOP)
    for entry in fleet.entries:
        addresses = await caller.async_addresses(entry.url)
        assert set(addresses.urls) == {one.url for one in fleet.entries}
        await serve_once(caller, entry.url, "prompt")
