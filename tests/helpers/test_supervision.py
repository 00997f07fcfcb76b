"""Tasks that end by an error are restarted; the clock is paused."""

import asyncio
import random

import pytest

from banyanswitch.components.peers.paced_broadcaster import PacedBroadcaster
from banyanswitch.helpers.supervision import (
    MAX_BACKOFF_S,
    SOUND_AFTER_S,
    start_supervised,
)

pytestmark = pytest.mark.looptime


class Failing:
    """Task that fails after a time, a number of times."""

    def __init__(self, failures: int, runs_s: float = 0.0) -> None:
        self._failures = failures
        self._runs_s = runs_s
        self.started_at_s: list[float] = []
        self.counted: list[str] = []

    async def async_run(self) -> None:
        self.started_at_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._runs_s)
        if len(self.started_at_s) <= self._failures:
            raise OverflowError("the number does not fit")
        await asyncio.Event().wait()

    def pauses_s(self) -> list[float]:
        times_s = self.started_at_s
        return [
            round(after_s - before_s - self._runs_s, 3)
            for before_s, after_s in zip(times_s, times_s[1:], strict=False)
        ]


# Guards against a duty that ends with one error while its process seems to be sound.
@pytest.mark.parametrize(
    ("runs_s", "pauses_s"),
    [
        (0.0, [0.5, 1.0, 2.0, 4.0, 8.0, MAX_BACKOFF_S, MAX_BACKOFF_S]),
        (SOUND_AFTER_S, [0.5] * 7),
    ],
)
async def test_task_is_restarted(runs_s: float, pauses_s: list[float]) -> None:
    failing = Failing(len(pauses_s), runs_s)
    task = start_supervised("duty", failing.async_run, failing.counted.append)
    await asyncio.sleep(1000.0)
    assert failing.pauses_s() == pauses_s
    assert failing.counted == ["duty"] * len(pauses_s)
    assert not task.done()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert task.cancelled()


class SilentTransport:
    """Implements the part of ``DatagramPeerTransport`` that a broadcast uses."""

    def __init__(self) -> None:
        self.sent = 0

    def content_bytes(self, _message: object) -> int:
        return 60_000

    def send(self, _address: str, _message: object) -> None:
        self.sent += 1


# Guards against a restarted task whose reports wait for a broadcast that was stopped.
async def test_broadcaster_is_free_after_a_stop() -> None:
    transport = SilentTransport()
    broadcaster = PacedBroadcaster(
        transport,  # type: ignore[arg-type]
        1000.0,
        random.Random(1),
        lambda: None,
    )
    broadcaster.send("report", [str(number) for number in range(9)])
    assert broadcaster.is_busy
    await asyncio.sleep(0.0)
    broadcaster.stop()
    assert not broadcaster.is_busy
