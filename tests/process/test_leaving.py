"""Leaving upstreams and graceful shutdown of entries under load."""

import asyncio
import signal

import aiohttp
import pytest
from bench.callers import DONE_DATA, Caller, completion_body
from bench.demo.load import LoadReport, async_keep_calling
from bench.fleet import MODEL, Fleet
from bench.processes import ChildProcess, wait_until

pytestmark = pytest.mark.process

CALLERS = 6
LEAVING_SETTLE_S = 3.0
FAR_FUTURE_UNIX_S = 1e12
HIGH_TOKEN = 1_000_000
STOPPED_WITHIN_S = 8.0
"""Time to live of the addresses, three heartbeats, and the requests in progress."""


def set_leaving(engine: ChildProcess) -> None:
    """Order an engine to leave, with a higher fencing token than other orders."""
    order = {
        "kind": "set_leaving",
        "is_leaving": True,
        "fencing_token": HIGH_TOKEN,
        "expires_at_unix_s": FAR_FUTURE_UNIX_S,
    }
    engine.post("/engine/orders", order)


class BackgroundLoad:
    """Callers that send requests to all entries until they are stopped."""

    def __init__(self, fleet: Fleet, caller: Caller) -> None:
        self.report = LoadReport()
        self._stop = asyncio.Event()
        self._tasks = [
            asyncio.create_task(
                async_keep_calling(
                    caller,
                    fleet.entries[index % len(fleet.entries)].url,
                    index,
                    self._stop,
                    self.report,
                )
            )
            for index in range(CALLERS)
        ]

    async def async_wait_answered(self, count: int) -> None:
        """Wait for ``count`` more answers, or for the first failure."""
        target_count = self.report.answered + count
        await asyncio.to_thread(
            wait_until,
            lambda: self.report.answered >= target_count or bool(self.report.failures),
            f"{count} more answers",
        )

    async def async_stop(self) -> None:
        self._stop.set()
        await asyncio.gather(*self._tasks)


async def test_leaving_upstream_gets_no_new_requests(
    fleet: Fleet, caller: Caller
) -> None:
    load = BackgroundLoad(fleet, caller)
    await load.async_wait_answered(3 * CALLERS)
    leaving, staying = fleet.engines
    set_leaving(leaving)
    await asyncio.sleep(LEAVING_SETTLE_S)
    route = "requests POST /v1/chat/completions"
    before = leaving.counter(route)
    others_before = staying.counter(route)
    await load.async_wait_answered(5 * CALLERS)
    await load.async_stop()
    assert load.report.failures == []
    assert load.report.refused == {}
    assert leaving.counter(route) == before
    assert staying.counter(route) > others_before


@pytest.mark.parametrize("list_lag_s", [0.0, 30.0])
async def test_graceful_shutdown_aborts_no_request(
    fleet: Fleet, caller: Caller, list_lag_s: float
) -> None:
    """Without a lag, the instance list shows the leaving entry before the signal.

    With a lag, the test does not update the list.
    """
    load = BackgroundLoad(fleet, caller)
    await load.async_wait_answered(3 * CALLERS)
    leaving = fleet.entries[0]
    if list_lag_s == 0.0:
        fleet.register_instance(leaving, "leaving")
    leaving.signal(signal.SIGTERM)
    status = await asyncio.to_thread(leaving.wait_ended)
    await load.async_wait_answered(3 * CALLERS)
    await load.async_stop()
    assert status == 0
    assert load.report.failures == []
    assert load.report.refused == {}


async def test_leaving_entry_is_removed_from_the_addresses(
    fleet: Fleet, caller: Caller
) -> None:
    leaving, staying = fleet.entries
    leaving.signal(signal.SIGTERM)
    for _ in range(100):
        urls = (await caller.async_addresses(staying.url)).urls
        if leaving.url not in urls:
            break
        await asyncio.sleep(0.05)
    assert urls == (staying.url,)


# Guards against a planned stop that takes requests until its end, since callers keep
# using their open connections, and against requests that it then cuts.
async def test_open_connections_do_not_delay_a_graceful_shutdown(
    fleet: Fleet, caller: Caller
) -> None:
    leaving = fleet.entries[0]
    responses: list[tuple[int, str]] = []
    ended = asyncio.Event()

    async def async_keep_using() -> None:
        body = completion_body(MODEL, "text", 8)
        while not ended.is_set():
            try:
                async with caller.session.post(
                    f"{leaving.url}/v1/chat/completions",
                    data=body,
                    headers=caller.headers,
                ) as response:
                    text = await response.text()
                    responses.append((response.status, text))
            except aiohttp.ClientConnectorError:
                ended.set()
            await asyncio.sleep(0.01)

    callers = [asyncio.create_task(async_keep_using()) for _ in range(CALLERS)]
    await asyncio.sleep(0.5)
    leaving.signal(signal.SIGTERM)
    assert await asyncio.to_thread(leaving.wait_ended, STOPPED_WITHIN_S) == 0
    ended.set()
    await asyncio.gather(*callers)
    refused = [text for status, text in responses if status != 200]
    assert all('"leaving"' in text and '"not_run"' in text for text in refused)
    assert all(DONE_DATA in text for status, text in responses if status == 200)
    assert len(responses) > CALLERS
