"""Limits on the use of superseded weights."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.weight_age import WeightAgePolicy

POLICY = WeightAgePolicy(deadline_s=12.0)
times_s = st.floats(min_value=-1e6, max_value=1e6)
deadlines_s = st.floats(min_value=0.1, max_value=1e4)


# Guards against a withdrawal that reaches the upstream after the deadline.
@given(superseded_at_s=times_s, deadline_s=deadlines_s)
def test_withdrawal_leaves_time_before_the_deadline(
    superseded_at_s: float, deadline_s: float
) -> None:
    policy = WeightAgePolicy(deadline_s=deadline_s)
    margin_s = superseded_at_s + deadline_s - policy.start_by_s(superseded_at_s)
    assert margin_s >= 0.3 - 1e-9
    assert margin_s >= 0.05 * deadline_s - 1e-9


@given(superseded_for_s=times_s, deadline_s=deadlines_s)
def test_nothing_is_sent_that_would_be_withdrawn_at_once(
    superseded_for_s: float, deadline_s: float
) -> None:
    policy = WeightAgePolicy(deadline_s=deadline_s)
    if policy.may_send(superseded_for_s):
        assert policy.start_by_s(0.0) > superseded_for_s


def test_superseded_weights_are_used_until_the_share_of_the_deadline() -> None:
    assert POLICY.may_send(10.19)
    assert not POLICY.may_send(10.21)


# Guards against sending to an upstream without room that has too little time to start.
@pytest.mark.parametrize(
    ("age_s", "time_left_s", "expected"),
    [
        (9.495, 3.339, True),
        (9.495, 4.0, False),
        (7.0, 7.5, True),
        (9.0, 7.5, False),
        (11.5, 0.1, False),
    ],
)
def test_upstream_without_room_must_have_half_of_the_remaining_time(
    age_s: float, time_left_s: float, expected: bool
) -> None:
    now_s = 100.0
    superseded_at_s = now_s - age_s
    ends_at_s = now_s + time_left_s
    assert POLICY.may_queue_at_upstream(superseded_at_s, ends_at_s, now_s) == expected
    assert POLICY.may_queue_at_upstream(None, ends_at_s, now_s)
