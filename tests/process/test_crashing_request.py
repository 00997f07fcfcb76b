"""Upstreams that one request without a prompt crashes, with real processes."""

import asyncio
import itertools
import random
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from banyanswitch_standins.users_platform.upstream import (
    CrashingRequest,
    PlatformUpstream,
)
from tests.process.platform_fleet import HOSTS, KEY, Platform

pytestmark = pytest.mark.process
UPSTREAMS = 3
DOWN_S = 1.0
STABLE_S = 3.0
"""The users' bound on the time from the third crash to the last request."""
MAX_LATE = 3
"""Requests that may reach upstreams later."""
NOTED_CRASHES = 3
PAUSE_S = 0.25
BODY = b"crashing"
ROUTES = ("/again/x", "/once/x")


class CrashingFleet(Platform):
    """Platform whose upstreams crash under one request, and are replaced."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._numbers = itertools.count(1)
        self._attempts = itertools.count(1)
        self.target = ""
        self.upstreams = {}
        self.crashed_at_s: list[float] = []
        for _ in range(UPSTREAMS):
            upstream = self._new_upstream()
            self.upstreams[upstream.name] = upstream

    def let_crash(self, target: str) -> None:
        """Let all upstreams crash under a request with a target and ``BODY``."""
        self.target = target
        for upstream in self.upstreams.values():
            upstream.crashing_request = CrashingRequest(target, "ws", BODY)

    def _new_upstream(self) -> PlatformUpstream:
        name = f"i-{next(self._numbers)}"
        upstream = PlatformUpstream(name)
        upstream.crashing_request = CrashingRequest(self.target, "ws", BODY)
        upstream.on_crash = lambda: self.end_upstream(name)
        return upstream

    def end_upstream(self, name: str) -> None:
        if name in self.upstreams:
            self.crashed_at_s.append(asyncio.get_running_loop().time())
            self.crash(name, self._new_upstream(), DOWN_S)

    def arrivals(self) -> int:
        """Return the number of times that the request reached upstreams."""
        return sum(
            seen.target == self.target and seen.body == BODY
            for upstream in self.all_upstreams()
            for seen in upstream.received
        )

    async def async_send(self, host: str, body: bytes = BODY) -> int:
        """Send a request and return its status, 0 for a broken response."""
        headers = {"Deadline-Ms": "3000", **KEY}
        attempt = f"a{next(self._attempts)}"
        try:
            status, _, _ = await self.async_call(
                self.target, attempt, host=host, headers=headers, body=body
            )
        except aiohttp.ClientError:
            return 0
        return status

    async def async_send_from_all(self, body: bytes = BODY) -> list[int]:
        return await asyncio.gather(*(self.async_send(host, body) for host in HOSTS))

    async def async_send_until_late(self) -> None:
        """Send the request until the bound after the third crash has passed."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + 20.0
        while loop.time() < ends_at_s:
            third_s = self.crashed_at_s[NOTED_CRASHES - 1 : NOTED_CRASHES]
            if third_s and loop.time() > third_s[0] + STABLE_S:
                return
            await self.async_send_from_all()
            await asyncio.sleep(PAUSE_S)


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[CrashingFleet]:
    fleet = CrashingFleet(tmp_path)
    try:
        await fleet.async_start()
        yield fleet
    finally:
        await fleet.async_stop()


# Guards against a request without a prompt that comes again at any instance and ends
# a whole service again and again, while requests with another body must be served.
@pytest.mark.parametrize("target", ROUTES)
async def test_request_that_crashes_upstreams_is_withheld(
    fleet: CrashingFleet, target: str
) -> None:
    fleet.let_crash(target)
    await fleet.async_send_until_late()
    arrivals = fleet.arrivals()
    statuses = []
    for number in range(24):
        await fleet.async_send_from_all()
        statuses += await fleet.async_send_from_all(b"sound %d" % (number % 2))
        await asyncio.sleep(PAUSE_S)
    assert fleet.arrivals() - arrivals <= MAX_LATE
    assert statuses.count(200) > len(statuses) / 2


# Guards against crashes that begin anew when all instances that know the request end.
async def test_request_stays_withheld_when_all_instances_restart(
    fleet: CrashingFleet,
) -> None:
    fleet.let_crash(ROUTES[0])
    await fleet.async_send_until_late()
    arrivals = fleet.arrivals()
    for host in HOSTS:
        fleet.processes[host].kill()
        await fleet.processes[host].wait()
    for host in HOSTS:
        await fleet.async_start_process(host)
    for host in HOSTS:
        await fleet.async_wait_until(lambda host=host: fleet.async_is_ready(host))
    for _ in range(20):
        await fleet.async_send_from_all()
        await asyncio.sleep(PAUSE_S)
    assert fleet.arrivals() - arrivals <= MAX_LATE


# Guards against a popular request that is withheld because upstreams end for reasons
# of their own while it is in flight there.
async def test_ordinary_crashes_withhold_no_popular_request(
    fleet: CrashingFleet,
) -> None:
    fleet.target = ROUTES[0]
    generator = random.Random(1)
    statuses = []
    for number in range(60):
        sends = asyncio.gather(*(fleet.async_send_from_all(b"") for _ in range(3)))
        if number % 6 == 5 and len(fleet.upstreams) > 1:
            await asyncio.sleep(0.0)
            fleet.end_upstream(generator.choice(sorted(fleet.upstreams)))
        for answered in await sends:
            statuses += answered
        await asyncio.sleep(0.1)
    assert len(fleet.crashed_at_s) >= NOTED_CRASHES
    assert statuses.count(503) <= len(statuses) / 10
    assert statuses[-60:].count(200) >= 50
