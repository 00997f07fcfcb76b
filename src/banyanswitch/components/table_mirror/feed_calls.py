"""Feed calls of one instance, which show together whether connections are silent."""

import asyncio
from collections.abc import Callable

from banyanswitch.components.table_mirror.const import FEED_WAIT_S
from banyanswitch.core import callback
from banyanswitch.decisions.feed_schedule import feed_wait_s


class FeedCalls:
    """Waits of the feed calls of all tables that an instance follows.

    Open connections may go silent together, without a reset, while new ones work. The
    first call that fails makes the others begin anew, on new connections.
    """

    def __init__(self) -> None:
        self._ends_at_s: dict[str, float] = {}
        self._confirmations: dict[str, Callable[[], None]] = {}

    @callback
    def add(self, table: str, confirm: Callable[[], None]) -> None:
        """Add a table; ``confirm`` makes its call begin anew, without a wait."""
        self._confirmations[table] = confirm

    @callback
    def begin(self, table: str) -> float:
        """Return how long the call of a table that begins now waits, in seconds."""
        now_s = asyncio.get_running_loop().time()
        others = [at_s for name, at_s in self._ends_at_s.items() if name != table]
        wait_s = feed_wait_s(others, now_s, max_wait_s=FEED_WAIT_S)
        self._ends_at_s[table] = now_s + wait_s
        return wait_s

    @callback
    def note_failure(self, table: str) -> None:
        """Confirm the other tables after the call of one has failed."""
        self._ends_at_s.pop(table, None)
        for name, confirm in self._confirmations.items():
            if name != table:
                confirm()
