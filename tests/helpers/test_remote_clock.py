"""Estimates of the upstreams' clock from readings delayed by their transit time.

Several readers relay their readings up to 0.3 s after they were taken.
"""

import math
import random

import pytest

from banyanswitch.helpers.remote_clock import ROUNDING_MS, WINDOW_S, RemoteClock

AHEAD_MS = 70_000


def true_ms(now_s: float) -> float:
    return now_s * 1000.0 + AHEAD_MS


def test_delayed_readings_do_not_set_the_clock_back() -> None:
    clock = RemoteClock()
    generator = random.Random(1)
    clock.note(int(true_ms(0.0)), 0.004)
    for step in range(1, 400):
        now_s = 0.1 * step
        late_s = generator.uniform(0.004, 0.3)
        clock.note(int(true_ms(now_s - late_s)), now_s)
        found = clock.read_ms(now_s)
        assert found is not None
        assert true_ms(now_s) - 60.0 <= found <= true_ms(now_s)


def test_estimate_follows_a_clock_that_was_set_back() -> None:
    clock = RemoteClock()
    clock.note(int(true_ms(0.0)), 0.0)
    for step in range(1, 40):
        now_s = WINDOW_S * step / 10.0
        clock.note(int(true_ms(now_s) - 5_000), now_s)
    now_s = 4.0 * WINDOW_S
    assert clock.read_ms(now_s) == int(true_ms(now_s) - 5_000)


def test_clock_is_unknown_before_the_first_reading() -> None:
    assert RemoteClock().read_ms(1.0) is None


def test_error_is_limited_by_the_fastest_reading() -> None:
    clock = RemoteClock()
    for requested_at_s, arrived_at_s in ((0.0, 0.4), (1.0, 1.02), (2.0, 2.3)):
        taken_at_s = (requested_at_s + arrived_at_s) / 2.0
        clock.note(true_ms(taken_at_s), arrived_at_s, requested_at_s)
    late_ms = true_ms(2.3) - (clock.read_ms(2.3) or 0)
    assert late_ms <= clock.error_ms(2.3) <= 20.0 + ROUNDING_MS


def test_error_is_unknown_without_request_times_and_for_old_readings() -> None:
    clock = RemoteClock()
    assert clock.error_ms(0.0) == math.inf
    clock.note(true_ms(0.0), 0.0)
    assert clock.error_ms(0.0) == math.inf
    clock.note(true_ms(1.0), 1.0, 1.0)
    assert clock.error_ms(1.0) <= ROUNDING_MS
    assert clock.error_ms(1.0 + 2.0 * WINDOW_S) == math.inf


@pytest.mark.parametrize("set_by_ms", [-5_000, 5_000])
def test_reading_of_a_clock_that_was_set_replaces_the_earlier_ones(
    set_by_ms: int,
) -> None:
    clock = RemoteClock()
    clock.note(true_ms(0.0), 0.01, 0.0)
    clock.note(true_ms(1.0) + set_by_ms, 1.01, 1.0)
    assert clock.read_ms(1.01) == int(true_ms(1.0) + set_by_ms)
    assert clock.error_ms(1.01) <= 10.0 + ROUNDING_MS


def test_reading_from_before_a_long_pause_is_discarded() -> None:
    """The clocks' rates differ, so an offset is not valid for long."""
    clock = RemoteClock()
    clock.note(true_ms(0.0) + 200.0, 0.0)
    now_s = 100.0 * WINDOW_S
    clock.note(true_ms(now_s), now_s)
    assert clock.read_ms(now_s) == int(true_ms(now_s))
