"""Circuit breaker for calls to a service that keeps failing."""

import pytest

from banyanswitch.components.table_service.circuit_breaker import CircuitBreaker
from banyanswitch.components.table_service.const import (
    FAILURES_BEFORE_OPEN,
    PROBE_INTERVAL_S,
)
from banyanswitch.exceptions import PlatformUnavailableError


@pytest.fixture
def breaker() -> CircuitBreaker:
    breaker = CircuitBreaker("table")
    for _ in range(FAILURES_BEFORE_OPEN):
        breaker.check(0.0)
        breaker.record_failure(0.0)
    return breaker


def is_admitted(breaker: CircuitBreaker, now_s: float) -> bool:
    try:
        breaker.check(now_s)
    except PlatformUnavailableError as error:
        assert error.retry_after_s is not None
        return False
    return True


def test_open_breaker_admits_one_probe_per_interval(breaker: CircuitBreaker) -> None:
    step_s = PROBE_INTERVAL_S / 20
    probes = sum(is_admitted(breaker, step * step_s) for step in range(200))
    assert 9 <= probes <= 10


def test_success_closes_the_breaker(breaker: CircuitBreaker) -> None:
    assert not is_admitted(breaker, 0.0)
    breaker.record_success()
    assert all(is_admitted(breaker, 0.0) for _ in range(100))


def test_single_failures_do_not_open_the_breaker() -> None:
    breaker = CircuitBreaker("table")
    for step in range(100):
        assert is_admitted(breaker, float(step))
        breaker.record_failure(float(step))
        breaker.record_success()
