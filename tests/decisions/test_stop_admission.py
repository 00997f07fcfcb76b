"""Requests that an instance accepts while it is stopping."""

import pytest

from banyanswitch.decisions.stop_admission import StopPolicy, accepts_request

POLICY = StopPolicy(accept_until_s=2.8, end_requests_at_s=7.2, exit_by_s=7.5)


@pytest.mark.parametrize(
    ("elapsed_s", "limit_s", "is_call_once", "is_accepted"),
    [
        (0.0, 60.0, False, True),
        (2.79, 60.0, False, True),
        (2.8, 0.1, False, False),
        (0.0, 7.2, True, True),
        (0.0, 7.3, True, False),
        (2.0, 5.1, True, True),
        (2.0, 5.3, True, False),
        (2.8, 0.1, True, False),
    ],
)
def test_calls_that_must_not_run_twice_are_accepted_only_if_they_end_in_time(
    elapsed_s: float, limit_s: float, is_call_once: bool, is_accepted: bool
) -> None:
    found = accepts_request(
        POLICY, elapsed_s=elapsed_s, limit_s=limit_s, is_call_once=is_call_once
    )
    assert found == is_accepted
