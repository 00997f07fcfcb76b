"""Estimates of the upstreams' clock from readings delayed by their transit time.

Several readers relay their readings up to 0.3 s after they were taken.
"""

import random

from banyanswitch.components.kv_tier.remote_clock import WINDOW_S, RemoteClock

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
