"""Streams while entries are killed or paused and upstreams send wrong events."""

import asyncio
import signal

import pytest
from bench.callers import Caller, StreamBrokenError, StreamedResponse, completion_body
from bench.fleet import MODEL, Fleet
from bench.processes import ChildProcess

from tests.process.conftest import read_answer_with_retries

pytestmark = pytest.mark.process

TOKENS = 100
TOKENS_BEFORE_FAULT = 10
SHORT_ANSWER_TOKENS = 20
SILENCE_TIMEOUT_S = 1.0


async def read_tokens(
    caller: Caller, entry: ChildProcess, answer: StreamedResponse, count: int
) -> None:
    """Read until ``count`` tokens have arrived and abandon the rest of the stream."""
    stream = caller.async_follow(entry.url, answer)
    async for _token in stream:
        if len(answer.tokens) >= count:
            return


async def resume(caller: Caller, entry: ChildProcess, answer: StreamedResponse) -> None:
    async for _token in caller.async_follow(entry.url, answer):
        pass


async def test_stream_is_resumed_at_another_entry_after_kill(
    fleet: Fleet, caller: Caller
) -> None:
    answer = StreamedResponse(completion_body(MODEL, "history", TOKENS))
    first, second = fleet.entries
    with pytest.raises(StreamBrokenError):
        async for _token in caller.async_follow(first.url, answer):
            if len(answer.tokens) == TOKENS_BEFORE_FAULT:
                first.kill()
    await resume(caller, second, answer)
    answer.check(TOKENS)
    assert fleet.engine_counter("runs") == 1


async def test_stream_is_resumed_at_another_entry_after_freeze(
    fleet: Fleet, caller: Caller
) -> None:
    answer = StreamedResponse(completion_body(MODEL, "history", TOKENS))
    first, second = fleet.entries
    stream = caller.async_follow(first.url, answer)
    for _ in range(TOKENS_BEFORE_FAULT):
        await anext(stream)
    first.signal(signal.SIGSTOP)
    with pytest.raises(TimeoutError):
        while True:
            await asyncio.wait_for(anext(stream), SILENCE_TIMEOUT_S)
    await resume(caller, second, answer)
    answer.check(TOKENS)
    first.signal(signal.SIGCONT)
    fresh = await caller.async_stream(
        first.url, completion_body(MODEL, "after", TOKENS_BEFORE_FAULT)
    )
    fresh.check(TOKENS_BEFORE_FAULT)
    assert fleet.engine_counter("runs") == 2


@pytest.mark.parametrize("after_events", [0, 1, TOKENS_BEFORE_FAULT])
@pytest.mark.parametrize("kind", ["cross", "duplicate", "reorder", "cut"])
async def test_invalid_upstream_events_never_reach_a_caller(
    shared_fleet: Fleet, caller: Caller, kind: str, after_events: int
) -> None:
    for engine in shared_fleet.engines:
        engine.add_fault("/v1", kind, times=1, after_events=after_events)
    for entry in shared_fleet.entries:
        body = completion_body(
            MODEL, f"{kind} {after_events} {entry.name}", SHORT_ANSWER_TOKENS
        )
        (await read_answer_with_retries(caller, entry.url, body)).check(
            SHORT_ANSWER_TOKENS
        )


@pytest.mark.parametrize("kind", ["fail", "refuse", "lose_answer"])
async def test_run_that_fails_before_first_token_is_retried_at_another_upstream(
    shared_fleet: Fleet, caller: Caller, kind: str
) -> None:
    shared_fleet.engines[0].add_fault("/v1", kind)
    for number in range(8):
        entry = shared_fleet.entries[number % 2]
        body = completion_body(MODEL, f"{kind} {number}", 5)
        (await caller.async_stream(entry.url, body)).check(5)


async def test_delayed_answers_go_to_their_own_callers(
    shared_fleet: Fleet, caller: Caller, other_caller: Caller
) -> None:
    for engine in shared_fleet.engines:
        engine.add_fault("/v1", "delay", delay_s=0.5, every=2)
    bodies = [completion_body(MODEL, f"late {n}", 5) for n in range(12)]
    answers = await asyncio.gather(
        *(
            read_answer_with_retries(
                (caller, other_caller)[n % 2], shared_fleet.entries[n // 6].url, body
            )
            for n, body in enumerate(bodies)
        )
    )
    for answer in answers:
        answer.check(5)


async def test_stream_of_another_workspace_cannot_be_resumed(
    shared_fleet: Fleet, caller: Caller, other_caller: Caller
) -> None:
    fleet = shared_fleet
    answer = StreamedResponse(completion_body(MODEL, "history", TOKENS))
    await read_tokens(caller, fleet.entries[0], answer, TOKENS_BEFORE_FAULT)
    foreign_answer = StreamedResponse(answer.body, last_event_id=answer.last_event_id)
    with pytest.raises(Exception, match="invalid_resume_token"):
        await resume(other_caller, fleet.entries[1], foreign_answer)
