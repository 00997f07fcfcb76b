"""Upstreams that leave, and planned stops of entries under load."""

import asyncio
import signal

import pytest
from bench.callers import Caller
from bench.demo.load import LoadReport, async_keep_calling
from bench.fleet import Fleet
from bench.processes import ChildProcess, wait_until

pytestmark = pytest.mark.process

CALLERS = 6
LEAVING_BOUND_S = 3.0
NEVER_UNIX_S = 1e12
HIGH_TOKEN = 1_000_000


def set_leaving(engine: ChildProcess) -> None:
    order = {
        "kind": "set_leaving",
        "is_leaving": True,
        "fencing_token": HIGH_TOKEN,
        "expires_at_unix_s": NEVER_UNIX_S,
    }
    engine.post("/engine/orders", order)


class Load:
    """Callers that use all entries until they are stopped."""

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

    async def async_answered(self, count: int) -> None:
        """Wait for this many further answers."""
        wanted = self.report.answered + count
        await asyncio.to_thread(
            wait_until,
            lambda: self.report.answered >= wanted or bool(self.report.failures),
            f"{count} more answers",
        )

    async def async_stop(self) -> None:
        self._stop.set()
        await asyncio.gather(*self._tasks)


async def test_leaving_upstream_gets_no_new_work(fleet: Fleet, caller: Caller) -> None:
    load = Load(fleet, caller)
    await load.async_answered(3 * CALLERS)
    leaving, staying = fleet.engines
    set_leaving(leaving)
    await asyncio.sleep(LEAVING_BOUND_S)
    route = "requests POST /v1/chat/completions"
    before = leaving.counter(route)
    others_before = staying.counter(route)
    await load.async_answered(5 * CALLERS)
    await load.async_stop()
    assert load.report.failures == []
    assert load.report.refused == {}
    assert leaving.counter(route) == before
    assert staying.counter(route) > others_before


@pytest.mark.parametrize("lag_s", [0.0, 30.0])
async def test_planned_stop_cuts_no_request(
    fleet: Fleet, caller: Caller, lag_s: float
) -> None:
    load = Load(fleet, caller)
    await load.async_answered(3 * CALLERS)
    leaving = fleet.entries[0]
    if lag_s == 0.0:
        fleet.register_instance(leaving, "leaving")
    leaving.signal(signal.SIGTERM)
    status = await asyncio.to_thread(leaving.wait_ended)
    await load.async_answered(3 * CALLERS)
    await load.async_stop()
    assert status == 0
    assert load.report.failures == []
    assert load.report.refused == {}


async def test_leaving_entry_vanishes_from_the_addresses(
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
