"""Base class of state machines that run coroutines in virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

import looptime
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine

T = TypeVar("T")

MODEL_SETTINGS = settings(
    max_examples=100,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)

MUTANT_SETTINGS = settings(
    MODEL_SETTINGS,
    max_examples=500,
    phases=[Phase.generate],
    report_multiple_bugs=False,
)
"""Settings of mutants, which must fail; the failing example is not minimized."""


class LoopMachine(RuleBasedStateMachine):
    """State machine with its own event loop."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=1)

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        return self.loop.run_until_complete(coroutine)

    def teardown(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.run(self.async_gather(tasks))
        self.loop.close()

    async def async_gather(self, tasks: set[asyncio.Task[Any]]) -> None:
        await asyncio.gather(*tasks, return_exceptions=True)
