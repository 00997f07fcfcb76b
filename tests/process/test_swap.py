"""Changes of the weights while streams run and entries are killed or paused."""

import asyncio
import signal

import pytest
from bench.callers import Caller, StreamedResponse, completion_body
from bench.fleet import FIRST_VERSION, MODEL, SECOND_VERSION, Fleet
from bench.processes import wait_until

from tests.process.conftest import StartFleet, quick_plan, read_answer_with_retries

pytestmark = pytest.mark.process

TOKENS = 300
SWAP_TIMEOUT_S = 60.0
NO_FAULT = None


def versions(fleet: Fleet) -> list[str]:
    return [engine.get("/engine/load")["weight_version"] for engine in fleet.engines]


def has_swap_started(fleet: Fleet) -> bool:
    loads = [engine.get("/engine/load") for engine in fleet.engines]
    return any(
        load["is_loading"] or load["weight_version"] == SECOND_VERSION for load in loads
    )


async def read_with_failover(
    caller: Caller, urls: list[str], answer: StreamedResponse
) -> StreamedResponse:
    """Read a stream; resume it at the next entry after an error or 2 s without a token.

    If all attempts fail, return the incomplete answer for the caller to check.
    """
    for url in urls * 5:
        stream = caller.async_follow(url, answer)
        try:
            while True:
                await asyncio.wait_for(anext(stream), 2.0)
        except StopAsyncIteration:
            return answer
        except Exception:
            continue
    return answer


@pytest.mark.parametrize(
    ("fault", "faulty_entry"),
    [
        (NO_FAULT, 0),
        (signal.SIGKILL, 0),
        (signal.SIGKILL, 1),
        (signal.SIGSTOP, 0),
        (signal.SIGSTOP, 1),
    ],
)
async def test_swap_completes_and_running_streams_keep_their_version(
    start_fleet: StartFleet,
    caller: Caller,
    fault: signal.Signals | None,
    faulty_entry: int,
) -> None:
    fleet = start_fleet(quick_plan())
    urls = [entry.url for entry in fleet.entries]
    answers = [
        StreamedResponse(completion_body(MODEL, f"history {n}", TOKENS))
        for n in range(6)
    ]
    reads = [
        asyncio.create_task(
            read_with_failover(caller, urls[n % 2 :] + urls[: n % 2], answer)
        )
        for n, answer in enumerate(answers)
    ]
    await asyncio.to_thread(
        wait_until, lambda: all(a.tokens for a in answers), "all streams have started"
    )
    await asyncio.to_thread(fleet.apply, fleet.with_version(SECOND_VERSION))
    await asyncio.to_thread(
        wait_until,
        lambda: has_swap_started(fleet),
        "the swap has started",
        SWAP_TIMEOUT_S,
    )
    if fault is not None:
        fleet.entries[faulty_entry].signal(fault)
    await asyncio.to_thread(
        wait_until,
        lambda: set(versions(fleet)) == {SECOND_VERSION},
        "all engines have loaded the new weights",
        SWAP_TIMEOUT_S,
    )
    fleet.entries[faulty_entry].signal(signal.SIGCONT)
    for answer in await asyncio.gather(*reads):
        answer.check(TOKENS)
        assert answer.weight_version == FIRST_VERSION
    healthy = fleet.entries[1 - faulty_entry]
    body = completion_body(MODEL, "fresh", 5)
    fresh = await read_answer_with_retries(caller, healthy.url, body)
    fresh.check(5)
    assert fresh.weight_version == SECOND_VERSION
    assert fleet.engine_counter("foreign_hits") == 0
