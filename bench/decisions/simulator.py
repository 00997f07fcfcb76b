"""Discrete-event simulator with a virtual clock."""

import heapq
from collections.abc import Callable
from itertools import count


class Simulator:
    """Runs calls in order of time, and calls for the same time in scheduling order."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, at_s: float, function: Callable[[], None]) -> None:
        """Schedule a call at a time; a time in the past means now."""
        item = (max(at_s, self.now_s), next(self._numbers), function)
        heapq.heappush(self._calls, item)

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now_s + delay_s, function)

    def run(self, until_s: float) -> None:
        """Run all calls that are due up to a time, and advance the clock to it."""
        while self._calls and self._calls[0][0] <= until_s:
            self.now_s, _, function = heapq.heappop(self._calls)
            function()
        self.now_s = until_s
