"""Limits on the use of superseded weights."""

from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.weight_age import WeightAgePolicy, may_queue_at_upstream

POLICY = WeightAgePolicy(deadline_s=12.0)
times_s = st.floats(min_value=-1e6, max_value=1e6)


@given(superseded_at_s=times_s, deadline_s=st.floats(min_value=0.1, max_value=1e4))
def test_sending_ends_before_the_start_limit_and_both_before_the_deadline(
    superseded_at_s: float, deadline_s: float
) -> None:
    policy = WeightAgePolicy(deadline_s=deadline_s)
    start_by_s = policy.start_by_s(superseded_at_s)
    assert not policy.may_send(deadline_s)
    assert not policy.may_send(start_by_s - superseded_at_s)
    assert start_by_s < superseded_at_s + deadline_s


def test_superseded_weights_are_used_until_the_share_of_the_deadline() -> None:
    assert POLICY.may_send(10.19)
    assert not POLICY.may_send(10.21)


# Guards against a request that an upstream without room begins after the start limit.
@given(start_by_s=times_s, ends_at_s=times_s)
def test_a_request_is_queued_at_the_upstream_only_if_it_ends_by_the_limit(
    start_by_s: float, ends_at_s: float
) -> None:
    assert may_queue_at_upstream(start_by_s, ends_at_s) == (ends_at_s <= start_by_s)
    assert may_queue_at_upstream(None, ends_at_s)
