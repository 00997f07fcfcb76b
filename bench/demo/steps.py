"""Steps of the demo; each returns the details for its table row."""

import asyncio
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Final

from bench.callers import Caller, StreamedResponse, completion_body
from bench.demo.load import LoadReport, async_keep_calling
from bench.demo.report import require
from bench.fleet import (
    FIRST_VERSION,
    MODEL,
    PLAIN,
    SECOND_VERSION,
    Fleet,
)
from bench.processes import wait_until

RESPONSE_TOKENS: Final = 12
LONG_PROMPT_BYTES: Final = 160_000
PROMPT_TOKENS: Final = LONG_PROMPT_BYTES // 4
LONG_RESPONSE_TOKENS: Final = 400
STEP_TIMEOUT_S: Final = 15.0
CALLERS: Final = 8
MANIFEST_DELAY_S: Final = 1.0
"""Wait after the first stored block until the manifest is written, in seconds."""

CACHE_EVENT_DELAY_S: Final = 2.0
"""Wait until the entries have received the eviction events, in seconds."""

Step = Callable[["DemoState"], Awaitable[str]]


class DemoState:
    """State shared by the steps."""

    def __init__(self, fleet: Fleet, caller: Caller) -> None:
        self.fleet = fleet
        self.caller = caller
        self.url = fleet.entries[0].url
        self.first_token_s = 0.0
        prompt = "seller history " * (LONG_PROMPT_BYTES // 15)
        self.long_body = completion_body(MODEL, prompt, RESPONSE_TOKENS)


async def async_configuration(state: DemoState) -> str:
    """Check that a configuration revision is active at every entry."""
    revisions = [state.fleet.revision_of(entry) for entry in state.fleet.entries]
    require(min(revisions) >= 1, f"revisions in force: {revisions}")
    return f"revision {revisions[0]} at {len(revisions)} entries"


async def async_address(state: DemoState) -> str:
    """Ask an entry which address to use."""
    addresses = await state.caller.async_addresses(state.url)
    known = {entry.url for entry in state.fleet.entries}
    urls = addresses.urls
    require(bool(urls) and set(urls) <= known, f"addresses: {urls}")
    state.url = urls[0]
    return f"{len(urls)} addresses for {addresses.ttl_s:g} s, first {urls[0]}"


async def async_long_prompt(state: DemoState) -> str:
    """Send a long prompt for the first time."""
    response, recomputed_tokens = await _async_send_long_prompt(state)
    state.first_token_s = response.first_token_s
    return (
        f"first token {response.first_token_s:.3f} s, "
        f"{recomputed_tokens} of {PROMPT_TOKENS} prompt tokens computed"
    )


async def async_evicted_prompt(state: DemoState) -> str:
    """Send the prompt again after the engines have evicted its prefix.

    Check that fewer than half of its tokens are computed again.
    """
    await async_wait(lambda: _stored_bytes(state.fleet) > 0, "the prefix is stored")
    await asyncio.sleep(MANIFEST_DELAY_S)
    stored_bytes = _stored_bytes(state.fleet)
    await asyncio.to_thread(_evict_all, state.fleet)
    await asyncio.sleep(CACHE_EVENT_DELAY_S)
    response, recomputed_tokens = await _async_send_long_prompt(state)
    require(
        recomputed_tokens < PROMPT_TOKENS / 2,
        f"{recomputed_tokens} of {PROMPT_TOKENS} prompt tokens computed again",
    )
    return (
        f"first token {response.first_token_s:.3f} s "
        f"(was {state.first_token_s:.3f} s), "
        f"{recomputed_tokens} tokens computed again, {stored_bytes} B stored"
    )


async def async_purchase(state: DemoState) -> str:
    """Send a purchase to every entry with the same idempotency key.

    Check that it is executed once and that all responses are equal.
    """
    body = b'{"purchase": "two day passes"}'
    path = f"{PLAIN}/purchases"
    responses = [
        await state.caller.async_call(entry.url, path, body, "purchase-1")
        for entry in state.fleet.entries
    ]
    executions = sum(state.fleet.executions().values())
    require(executions == 1, f"executed {executions} times")
    require(all(a == responses[0] for a in responses), f"answers differ: {responses}")
    return f"{len(responses)} calls at {len(responses)} entries, {executions} execution"


async def async_swap(state: DemoState) -> str:
    """Change the weight version while a stream is running.

    Check that the stream keeps its version, that new requests get the new one, and
    that no engine uses cache entries of other weights.
    """
    loop = asyncio.get_running_loop()
    body = completion_body(MODEL, "grade this ring", LONG_RESPONSE_TOKENS)
    response = StreamedResponse(body)
    stream = state.caller.async_follow(state.url, response)
    await anext(stream)
    started_at_s = loop.time()
    configuration = state.fleet.with_version(SECOND_VERSION)
    await asyncio.to_thread(state.fleet.apply, configuration)
    reading = asyncio.create_task(_async_drain(stream))
    await async_wait(
        lambda: _engine_versions(state.fleet) == {SECOND_VERSION}, "engines have loaded"
    )
    swapped_s = loop.time() - started_at_s
    is_overlapping = not reading.done()
    await reading
    response.check(LONG_RESPONSE_TOKENS)
    require(response.weight_version == FIRST_VERSION, "the stream changed its version")
    require(is_overlapping, "the stream ended before the swap")
    fresh = await _async_require_version(state, SECOND_VERSION)
    foreign = state.fleet.engine_counter("foreign_hits")
    require(foreign == 0, f"{foreign} uses of cache from other weights")
    return (
        f"engines on {fresh.weight_version} after {swapped_s:.1f} s, stream kept "
        f"{response.weight_version} for {len(response.tokens)} tokens"
    )


async def async_graceful_stop(state: DemoState) -> str:
    """Stop one entry with SIGTERM while callers use both entries.

    Check that no request fails and that the entry exits with status 0.
    """
    report = LoadReport()
    stop = asyncio.Event()
    entry = state.fleet.entries[0]
    callers = [
        asyncio.create_task(
            async_keep_calling(
                state.caller, state.fleet.entries[i % 2].url, i, stop, report
            )
        )
        for i in range(CALLERS)
    ]
    await async_wait(lambda: report.answered >= 2 * CALLERS, "load is running")
    entry.signal(signal.SIGTERM)
    status = await asyncio.to_thread(entry.wait_ended)
    after_stop = report.answered
    await async_wait(lambda: report.answered > after_stop + CALLERS, "load goes on")
    stop.set()
    await asyncio.gather(*callers)
    require(not report.failures, f"cut or wrong: {report.failures[:3]}")
    require(status == 0, f"exit status {status}")
    return (
        f"{report.answered} requests answered, {report.refused.total()} refused, "
        f"0 cut, exit status {status}"
    )


async def async_wait(condition: Callable[[], bool], description: str) -> None:
    """Wait in a thread for a condition that makes blocking requests.

    Raises
    ------
    ProcessError
        If it is not met within ``STEP_TIMEOUT_S``.
    """
    await asyncio.to_thread(wait_until, condition, description, STEP_TIMEOUT_S)


async def _async_send_long_prompt(state: DemoState) -> tuple[StreamedResponse, int]:
    before = await asyncio.to_thread(state.fleet.engine_counter, "recomputed_tokens")
    response = await state.caller.async_stream(state.url, state.long_body)
    response.check(RESPONSE_TOKENS)
    after = await asyncio.to_thread(state.fleet.engine_counter, "recomputed_tokens")
    return response, after - before


async def _async_drain(stream: AsyncIterator[str]) -> None:
    async for _token in stream:
        pass


async def _async_require_version(state: DemoState, version: str) -> StreamedResponse:
    body = completion_body(MODEL, "a new request", RESPONSE_TOKENS)
    response = await state.caller.async_stream(state.url, body)
    response.check(RESPONSE_TOKENS)
    require(
        response.weight_version == version, f"answered by {response.weight_version}"
    )
    return response


def _stored_bytes(fleet: Fleet) -> int:
    return int(fleet.store.get("/status")["memory_used_bytes"])


def _evict_all(fleet: Fleet) -> None:
    for engine in fleet.engines:
        keys = engine.get("/engine/cache")["keys"]
        engine.post("/engine/cache/drop", {"keys": keys})


def _engine_versions(fleet: Fleet) -> set[str]:
    loads = [engine.get("/engine/load") for engine in fleet.engines]
    return {str(load["weight_version"]) for load in loads}


STEPS: Final[tuple[tuple[str, Step], ...]] = (
    ("configuration in force", async_configuration),
    ("address to use", async_address),
    ("long prompt", async_long_prompt),
    ("again after eviction", async_evicted_prompt),
    ("purchase twice under one key", async_purchase),
    ("weights swapped under a stream", async_swap),
    ("graceful stop under load", async_graceful_stop),
)
