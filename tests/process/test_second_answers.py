"""Real processes in front of upstreams that answer twice, late and cut."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from banyanswitch_standins.users_platform.second_answers import SecondAnswers
from tests.process.platform_fleet import HOSTS, PROMPT, Platform

pytestmark = pytest.mark.process
WORKERS = 6
CALLS_PER_WORKER = 60
EVENTS = 6
BROKEN = "broken"
MAX_ATTEMPTS = 2
TOGGLE_INTERVAL_S = 0.02


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    platform = Platform(tmp_path)
    try:
        await platform.async_start()
        yield platform
    finally:
        await platform.async_stop()


def let_answer_twice(platform: Platform, seed: int) -> list[SecondAnswers]:
    found = []
    for name, upstream in platform.upstreams.items():
        upstream.second_answers = SecondAnswers(f"{name} {seed}")
        upstream.events = EVENTS
        upstream.echoes_body = True
        found.append(upstream.second_answers)
    return found


class Callers:
    """Callers of one route, each of which sends one request after the other."""

    def __init__(self, platform: Platform, kind: str, seed: int) -> None:
        self._platform = platform
        self.kind = kind
        self._random = random.Random(seed)
        self._sent = 0
        self.results: dict[str, str] = {}
        """Status of each attempt, or ``BROKEN``."""
        self.mixed: list[str] = []
        """Successes with another body than that of their request."""

    async def async_run(self) -> None:
        await asyncio.gather(*(self._async_work() for _ in range(WORKERS)))

    async def _async_work(self) -> None:
        for _ in range(CALLS_PER_WORKER):
            self._sent += 1
            await self._async_call(f"{self.kind}-{self._sent}")

    async def _async_call(self, attempt: str) -> None:
        text = f"body {self._random.randbytes(8).hex()} of {attempt}"
        try:
            status, body, headers = await self._platform.async_call(
                f"/{self.kind}/",
                attempt,
                host=self._random.choice(HOSTS),
                headers=PROMPT if self.kind == "stream" else None,
                body=text.encode(),
            )
        except aiohttp.ClientError:
            self.results[attempt] = BROKEN
            return
        self.results[attempt] = str(status)
        name = headers.get("Server-Stamp", "").removeprefix("stamp-")
        expected = f"answer of {name} to {text}"
        if self.kind == "stream":
            expected = "".join(
                f"id: {number}\ndata: event {number} to {text}\n\n"
                for number in range(1, EVENTS + 1)
            )
        if status == 200 and body != expected.encode():
            self.mixed.append(f"{attempt}: {body!r}")


def skipped_count(platform: Platform) -> int:
    lines = [
        json.loads(line)
        for host in HOSTS
        for line in (platform.folder / f"{host}.log").read_text().splitlines()
    ]
    return sum(line["event"] == "foreign_answer" for line in lines)


def check(
    platform: Platform, callers: Callers, second_answers: list[SecondAnswers]
) -> None:
    """Check the answers that all callers got."""
    assert callers.mixed == []
    assert sum(answers.sent for answers in second_answers) > 0
    obscured = set().union(*(answers.obscured for answers in second_answers))
    runs = Counter(
        seen.attempt
        for upstream in platform.upstreams.values()
        for seen in upstream.received
    )
    assert max(runs.values()) <= (1 if callers.kind == "once" else MAX_ATTEMPTS)
    for attempt, status in callers.results.items():
        assert status in ("200", "502", "503", BROKEN), attempt
        if status == "503":
            assert runs[attempt] == 0, attempt
        if runs[attempt] and attempt not in obscured:
            assert status == "200", attempt


# Guards against answers that are mixed, lost or refused as not run because an upstream
# answers a request twice, the second time late, whole or cut.
@pytest.mark.parametrize(
    ("kind", "is_unframed"),
    [("once", False), ("again", False), ("stream", False), ("stream", True)],
)
@pytest.mark.parametrize("seed", [1, 2])
async def test_each_request_gets_its_own_answer(
    platform: Platform, kind: str, is_unframed: bool, seed: int
) -> None:
    second_answers = let_answer_twice(platform, seed)
    for upstream in platform.upstreams.values():
        upstream.is_unframed = is_unframed
    callers = Callers(platform, kind, seed)
    await callers.async_run()
    check(platform, callers, second_answers)
    assert skipped_count(platform) > 0 or is_unframed


# Guards against a late "not run" that is taken for that of a request which has run.
@pytest.mark.parametrize("kind", ["once", "again"])
async def test_refusal_that_is_sent_twice(platform: Platform, kind: str) -> None:
    second_answers = let_answer_twice(platform, 1)
    callers = Callers(platform, kind, 1)
    toggling = asyncio.create_task(async_toggle_refusal(platform))
    await callers.async_run()
    toggling.cancel()
    check(platform, callers, second_answers)


async def async_toggle_refusal(platform: Platform) -> None:
    while True:
        for upstream in platform.upstreams.values():
            upstream.refuses = not upstream.refuses
            await asyncio.sleep(TOGGLE_INTERVAL_S)
