"""Outages of the platform's services while entries serve or start."""

import asyncio
import signal

import pytest
from bench.callers import Caller, RefusedError, completion_body
from bench.fleet import MODEL, PLAIN, Fleet
from bench.processes import is_ready, wait_until

pytestmark = pytest.mark.process

TOKENS = 5
MAX_ATTEMPTS = 60
RETRY_INTERVAL_S = 0.25
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
async def test_call_that_cannot_be_recorded_is_refused_as_not_run(
    fleet: Fleet, caller: Caller, stop: signal.Signals
) -> None:
    fleet.table.signal(stop)
    for entry in fleet.entries:
        with pytest.raises(RefusedError) as caught:
            await caller.async_call(entry.url, f"{PLAIN}/purchases", b"1", "key-1")
        assert caught.value.refusal.run == "not_run"
        assert caught.value.refusal.status == 503
    assert fleet.executions() == {}


async def test_call_succeeds_after_the_outage(fleet: Fleet, caller: Caller) -> None:
    first, second = fleet.entries
    path = f"{PLAIN}/purchases"
    fleet.table.signal(signal.SIGSTOP)
    with pytest.raises(RefusedError):
        await caller.async_call(first.url, path, b"1", "key-1")
    fleet.table.signal(signal.SIGCONT)
    answer = None
    for _ in range(MAX_ATTEMPTS):
        try:
            answer = await caller.async_call(second.url, path, b"1", "key-1")
            break
        except RefusedError as error:
            assert error.refusal.code in RETRY_CODES
            await asyncio.sleep(RETRY_INTERVAL_S)
    assert answer is not None
    assert list(fleet.executions().values()) == [1]


async def test_entry_started_in_outage_gets_configuration_from_peers(
    fleet: Fleet, caller: Caller
) -> None:
    fleet.table.signal(signal.SIGSTOP)
    new_entry = fleet.start_entry()
    wait_until(lambda: is_ready(new_entry), "the new entry is ready")
    assert fleet.revision_of(new_entry) == 1
    await serve_once(caller, new_entry.url, "prompt")


async def test_entries_serve_when_instance_list_does_not_answer(
    fleet: Fleet, caller: Caller
) -> None:
    fleet.instances.signal(signal.SIGSTOP)
    for entry in fleet.entries:
        addresses = await caller.async_addresses(entry.url)
        assert set(addresses.urls) == {one.url for one in fleet.entries}
        await serve_once(caller, entry.url, "prompt")
