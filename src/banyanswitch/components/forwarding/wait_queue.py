"""Turns of heavy requests: who was first here is placed first."""

import asyncio
from collections import OrderedDict

from banyanswitch.core import callback


class WaitQueue:
    """Line of the requests that wait until an upstream has room.

    Only the first of each service is placed again when something changes, so that
    later ones do not overtake it.
    """

    def __init__(self) -> None:
        self._queues: dict[str, OrderedDict[int, None]] = {}
        self._changed = asyncio.Event()
        self._next_number = 0

    @callback
    def allocate_number(self) -> int:
        """Return a number for one request."""
        self._next_number += 1
        return self._next_number

    @callback
    def is_first(self, service: str, number: int) -> bool:
        """Return whether no earlier request of the service waits."""
        queue = self._queues.get(service)
        return not queue or next(iter(queue)) == number

    @callback
    def enqueue(self, service: str, number: int) -> None:
        """Let a request wait in line."""
        self._queues.setdefault(service, OrderedDict())[number] = None

    @callback
    def remove(self, service: str, number: int) -> None:
        """Take a request out of the line."""
        queue = self._queues.get(service)
        if queue is not None and number in queue:
            del queue[number]
            self.notify()

    @callback
    def notify(self) -> None:
        """Let the first of each line look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait_for_change(self, timeout_s: float) -> None:
        """Return after a change, or after a time without one."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
