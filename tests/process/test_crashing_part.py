"""Upstreams that a part of a prompt crashes, with real processes."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from banyanswitch_standins.users_platform.upstream import PlatformUpstream
from tests.process.platform_fleet import HOSTS, KEY, Platform

pytestmark = pytest.mark.process
UPSTREAMS = 6
PART = "bad1"
DOWN_S = 1.0
STABLE_S = 3.0
"""The users' bound on the time from the fifth crash to the last request."""
MAX_LATE = 3
"""Requests that may reach upstreams later."""
NOTED_CRASHES = 5
PAUSE_S = 0.25


class CrashingFleet(Platform):
    """Platform whose upstreams crash under one part, and are replaced."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._numbers = itertools.count(1)
        self.upstreams = {}
        self.crashed_at_s: list[float] = []
        self.sent_at_s: list[float] = []
        for _ in range(UPSTREAMS):
            upstream = self._new_upstream()
            self.upstreams[upstream.name] = upstream

    def _new_upstream(self) -> PlatformUpstream:
        name = f"i-{next(self._numbers)}"
        upstream = PlatformUpstream(name, crashing_part=PART)
        upstream.on_crash = lambda: self._on_crash(name)
        return upstream

    def _on_crash(self, name: str) -> None:
        if name in self.upstreams:
            self.crashed_at_s.append(asyncio.get_running_loop().time())
            self.crash(name, self._new_upstream(), DOWN_S)

    def arrivals(self) -> int:
        """Return the number of requests with the part that reached upstreams."""
        return self.arrivals_of(PART)

    async def async_send(self, attempt: str, parts: str, host: str) -> int:
        """Send a stream request and return its status, 0 for a broken response."""
        headers = {
            "Model": "m",
            "Token-Usage": "900,30",
            "Prompt-Prefix": f"{parts},{attempt}:40",
            "Deadline-Ms": "3000",
            **KEY,
        }
        try:
            status, _, _ = await self.async_call(
                "/stream/", attempt, host=host, headers=headers
            )
        except aiohttp.ClientError:
            return 0
        return status


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[CrashingFleet]:
    fleet = CrashingFleet(tmp_path)
    try:
        await fleet.async_start()
        yield fleet
    finally:
        await fleet.async_stop()


async def async_crash_until_withheld(
    fleet: CrashingFleet, numbers: "itertools.count[int]"
) -> None:
    """Send requests with the part until the bound after the fifth crash has passed."""
    ends_at_s = asyncio.get_running_loop().time() + 20.0
    while asyncio.get_running_loop().time() < ends_at_s:
        crashed_at_s = fleet.crashed_at_s
        now_s = asyncio.get_running_loop().time()
        if (
            crashed_at_s
            and now_s > crashed_at_s[min(4, len(crashed_at_s) - 1)] + STABLE_S
        ):
            return
        number = next(numbers)
        await fleet.async_send(f"b{number}", f"aa:300,{PART}:500", HOSTS[number % 2])
        await asyncio.sleep(PAUSE_S)


# Guards against requests with one part that crash upstream after upstream, at any
# instance, while requests that share its first part must be served.
async def test_part_that_crashes_upstreams_is_withheld(fleet: CrashingFleet) -> None:
    numbers = itertools.count(1)
    await async_crash_until_withheld(fleet, numbers)
    arrivals = fleet.arrivals()
    statuses = []
    for _ in range(24):
        number = next(numbers)
        host = HOSTS[number // 2 % 2]
        if number % 2:
            await fleet.async_send(f"b{number}", f"aa:300,{PART}:500", host)
        else:
            statuses.append(await fleet.async_send(f"s{number}", "aa:300,cc:500", host))
        await asyncio.sleep(PAUSE_S)
    assert fleet.arrivals() - arrivals <= MAX_LATE
    assert statuses.count(200) > len(statuses) / 2


# Guards against crashes that begin anew when all instances that know the part end.
async def test_part_stays_withheld_when_all_instances_restart(
    fleet: CrashingFleet,
) -> None:
    numbers = itertools.count(1)
    await async_crash_until_withheld(fleet, numbers)
    arrivals = fleet.arrivals()
    for host in HOSTS:
        fleet.processes[host].kill()
        await fleet.processes[host].wait()
    for host in HOSTS:
        await fleet.async_start_process(host)
    for host in HOSTS:
        await fleet.async_wait_until(lambda host=host: fleet.async_is_ready(host))
    for _ in range(20):
        number = next(numbers)
        await fleet.async_send(f"b{number}", f"aa:300,{PART}:500", HOSTS[number % 2])
        await asyncio.sleep(PAUSE_S)
    assert fleet.arrivals() - arrivals <= MAX_LATE


# Guards against parts withheld because upstreams end for reasons of their own.
async def test_ordinary_crashes_withhold_no_part(fleet: CrashingFleet) -> None:
    generator = random.Random(1)
    statuses = []
    for number in range(60):
        if number % 6 == 5 and len(fleet.upstreams) > UPSTREAMS // 2:
            fleet._on_crash(generator.choice(sorted(fleet.upstreams)))
        parts = f"aa:300,p{number % 3}:500"
        sends = (
            fleet.async_send(f"s{number}-{h}", parts, host)
            for h, host in enumerate(HOSTS)
        )
        statuses += await asyncio.gather(*sends)
        await asyncio.sleep(0.1)
    assert statuses.count(503) <= len(statuses) / 10
    assert statuses[-10:].count(200) >= 8
