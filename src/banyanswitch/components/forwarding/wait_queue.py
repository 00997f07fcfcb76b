"""First-come, first-served queue of requests with a large prefill."""

import asyncio
from collections import OrderedDict

from banyanswitch.core import callback


class WaitQueue:
    """Queue of the requests that wait until an upstream has capacity.

    A change wakes all of them, but only the first request of each service is sent to an
    upstream with capacity, so that later ones do not overtake it. A request that has
    reached its maximum wait is sent or refused regardless of its position.
    """

    def __init__(self) -> None:
        self._queues: dict[str, OrderedDict[int, None]] = {}
        self._changed = asyncio.Event()
        self._next_number = 0

    @callback
    def allocate_number(self) -> int:
        """Return a new queue number for a request."""
        self._next_number += 1
        return self._next_number

    @callback
    def is_first(self, service: str, number: int) -> bool:
        """Return whether no earlier request of the service is queued."""
        queue = self._queues.get(service)
        return not queue or next(iter(queue)) == number

    @callback
    def enqueue(self, service: str, number: int) -> None:
        """Add a request to the end of its service's queue unless it is queued."""
        self._queues.setdefault(service, OrderedDict())[number] = None

    @callback
    def remove(self, service: str, number: int) -> None:
        """Remove a request from the queue if it is queued."""
        queue = self._queues.get(service)
        if queue is not None and number in queue:
            del queue[number]
            self.notify()

    @callback
    def notify(self) -> None:
        """Wake the waiting requests."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait_for_change(self, timeout_s: float) -> None:
        """Return after the next notification, or after a timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
