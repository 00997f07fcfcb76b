"""Time limit of fetches under one load: short prompts behind large transfers.

A burst of long prompts fetches 4 GB each over the link from which short prompts fetch
100 MB. The transfers run one after another, and the instances don't see the queue.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.fetch_limit import (
    NEWEST_FETCH_TIMEOUT_S,
    objective_limit_s,
)

OBJECTIVE_S = 0.323
LONG_TRANSFER_S = 0.061
SHORT_TRANSFER_S = 0.002
SHORT_PREFILL_S = 0.02
BURST = 8
"""Long prompts that arrive at once."""
BURST_INTERVAL_S = 0.6
SHORT_INTERVAL_S = 0.01
DURATION_S = 12.0


def in_time_share(limit_s: float) -> float:
    """Return the share of short prompts whose first event is in time."""
    link_free_at_s = 0.0
    next_burst_s = 0.0
    in_time = count = 0
    now_s = 0.0
    while now_s < DURATION_S:
        if now_s >= next_burst_s:
            link_free_at_s = max(link_free_at_s, now_s) + BURST * LONG_TRANSFER_S
            next_burst_s += BURST_INTERVAL_S
        fetched_at_s = max(link_free_at_s, now_s) + SHORT_TRANSFER_S
        wait_s = fetched_at_s - now_s
        if wait_s <= limit_s:
            link_free_at_s = fetched_at_s
            first_event_s = wait_s
        else:
            first_event_s = limit_s + SHORT_PREFILL_S
        in_time += first_event_s <= OBJECTIVE_S
        count += 1
        now_s += SHORT_INTERVAL_S
    return in_time / count


# Guards against short prompts that wait for a fetch longer than their prefill takes.
# All of them could be in time: their prefills take a fraction of an upstream's time.
def test_short_prompts_are_in_time_behind_the_transfers_of_long_ones() -> None:
    limit_s = objective_limit_s(
        NEWEST_FETCH_TIMEOUT_S, OBJECTIVE_S, is_small=True, reports_speed=True
    )
    assert in_time_share(limit_s) >= 0.85
    assert in_time_share(NEWEST_FETCH_TIMEOUT_S) < 0.85


# Guards against prefills of long prompts that a transfer would have saved, and against
# parts that are read again where no upstream reports its speed.
@pytest.mark.parametrize(
    ("left_s", "is_small", "reports_speed"),
    [(0.5, False, True), (0.0, True, True), (-1.0, True, True), (0.5, True, False)],
)
def test_other_prompts_wait_for_their_fetches(
    left_s: float, is_small: bool, reports_speed: bool
) -> None:
    limit_s = objective_limit_s(
        0.8, left_s, is_small=is_small, reports_speed=reports_speed
    )
    assert limit_s == 0.8


# Guards against a fetch that lasts beyond the time at which its part may be freed.
@given(
    limit_s=st.floats(min_value=0.0, max_value=2.0),
    left_s=st.floats(min_value=-10.0, max_value=10.0),
    is_small=st.booleans(),
)
def test_the_objective_never_prolongs_a_fetch(
    limit_s: float, left_s: float, is_small: bool
) -> None:
    shorter_s = objective_limit_s(
        limit_s, left_s, is_small=is_small, reports_speed=True
    )
    assert shorter_s <= limit_s
