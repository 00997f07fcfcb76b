"""Ends of the waits of feed calls, for any times at which changes end them."""

import random

import pytest

from banyanswitch.decisions.feed_schedule import MIN_WAIT_S, feed_wait_s

MAX_WAIT_S = 3.0
LENGTH_S = 1000.0


class Calls:
    """Feed calls of some tables, each begun anew at its end or with a change."""

    def __init__(self, tables: int) -> None:
        self.ends_at_s = [0.0] * tables
        self.count = 0

    def begin(self, table: int, now_s: float) -> None:
        others = [at_s for other, at_s in enumerate(self.ends_at_s) if other != table]
        wait_s = feed_wait_s(others, now_s, max_wait_s=MAX_WAIT_S)
        assert 0.0 < wait_s <= MAX_WAIT_S
        self.ends_at_s[table] = now_s + wait_s
        self.count += 1


# Guards against connections that are silent for longer than half of a wait before a
# call ends, and against more calls than without the schedule.
@pytest.mark.parametrize("tables", [1, 2])
@pytest.mark.parametrize("changes_per_s", [0.0, 0.1, 1.0, 10.0])
def test_some_call_ends_soon(tables: int, changes_per_s: float) -> None:
    generator = random.Random(1)
    calls = Calls(tables)

    def next_change_s() -> float:
        return generator.expovariate(changes_per_s) if changes_per_s else float("inf")

    now_s = 0.0
    changes_at_s = [next_change_s() for _ in range(tables)]
    for table in range(tables):
        calls.begin(table, now_s)
    while now_s < LENGTH_S:
        now_s, table = min(
            (min(calls.ends_at_s[table], changes_at_s[table]), table)
            for table in range(tables)
        )
        if changes_at_s[table] <= now_s:
            changes_at_s[table] += next_change_s()
        calls.begin(table, now_s)
        assert min(calls.ends_at_s) - now_s <= MAX_WAIT_S / tables + MIN_WAIT_S
    expected = tables * LENGTH_S * (changes_per_s + 1.0 / MAX_WAIT_S)
    assert calls.count <= 1.1 * expected + 2 * tables
