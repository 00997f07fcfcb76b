"""Queue of requests with a large prefill."""

import asyncio
from collections import OrderedDict

from banyanswitch.core import callback


class WaitQueue:
    """Queue of the requests that wait until an upstream has capacity.

    A change wakes all of them, but only the first request of each service is sent to an
    upstream with capacity. Requests that can still reach their latency objective come
    first, in the order of arrival, then the others in the same order. Under overload,
    all requests would be late if the oldest one were always sent first.
    """

    def __init__(self) -> None:
        self._queues: dict[str, OrderedDict[int, float]] = {}
        self._changed = asyncio.Event()
        self._next_number = 0

    @callback
    def allocate_number(self) -> int:
        """Return a new queue number for a request."""
        self._next_number += 1
        return self._next_number

    @callback
    def is_first(self, service: str, number: int, now_s: float) -> bool:
        """Return whether no other queued request of the service goes first."""
        queue = self._queues.get(service)
        if not queue:
            return True
        first = next((n for n, due_at_s in queue.items() if now_s < due_at_s), None)
        return number == (next(iter(queue)) if first is None else first)

    @callback
    def has_others_in_time(self, service: str, number: int, now_s: float) -> bool:
        """Return whether other queued requests can still reach their objective."""
        queue = self._queues.get(service) or OrderedDict[int, float]()
        return any(n != number and now_s < due_at_s for n, due_at_s in queue.items())

    @callback
    def enqueue(self, service: str, number: int, due_at_s: float) -> None:
        """Add a request to its service's queue unless it is queued.

        Parameters
        ----------
        due_at_s : float
            Loop time until which it can be sent to reach its latency objective.
        """
        self._queues.setdefault(service, OrderedDict()).setdefault(number, due_at_s)

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
