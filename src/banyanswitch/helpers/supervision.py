"""Restart of tasks that end by an error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

import structlog

from banyanswitch.core import callback

LOGGER = structlog.get_logger(__name__)

MIN_BACKOFF_S: Final = 0.5
"""Time before the first restart of a task."""

MAX_BACKOFF_S: Final = 15.0
"""Longest time before a restart; the time doubles with each failure."""

SOUND_AFTER_S: Final = 60.0
"""Time without a failure after which the first backoff applies again."""

TaskFunction = Callable[[], Coroutine[Any, Any, None]]


@callback
def start_supervised(
    name: str, run: TaskFunction, on_failure: Callable[[str], None]
) -> asyncio.Task[None]:
    """Start a task that is restarted, with increasing pauses, when it fails.

    Parameters
    ----------
    name : str
        Name of the task in the log.
    run : callable
        Returns the coroutine to run; called again for each restart.
    on_failure : callable
        Called with the name after each failure.
    """
    loop = asyncio.get_running_loop()
    return loop.create_task(_async_supervise(name, run, on_failure), name=name)


async def _async_supervise(
    name: str, run: TaskFunction, on_failure: Callable[[str], None]
) -> None:
    loop = asyncio.get_running_loop()
    backoff_s = MIN_BACKOFF_S
    while True:
        began_at_s = loop.time()
        try:
            await run()
        except Exception:
            if loop.time() - began_at_s >= SOUND_AFTER_S:
                backoff_s = MIN_BACKOFF_S
            LOGGER.exception("task_failed", task=name, restart_in_s=backoff_s)
            on_failure(name)
        else:
            return
        await asyncio.sleep(backoff_s)
        backoff_s = min(MAX_BACKOFF_S, 2.0 * backoff_s)
