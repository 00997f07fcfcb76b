"""Refusal of calls to a service that keeps failing."""

import pytest

from banyanswitch.components.table_service.const import FAILURES_BEFORE_PAUSE, PAUSE_S
from banyanswitch.components.table_service.outage_gate import OutageGate
from banyanswitch.exceptions import PlatformUnavailableError


@pytest.fixture
def gate() -> OutageGate:
    gate = OutageGate("table")
    for _ in range(FAILURES_BEFORE_PAUSE):
        gate.check(0.0)
        gate.record_failure(0.0)
    return gate


def is_admitted(gate: OutageGate, now_s: float) -> bool:
    try:
        gate.check(now_s)
    except PlatformUnavailableError as error:
        assert error.retry_after_s is not None
        return False
    return True


def test_failing_service_gets_one_probe_a_pause(gate: OutageGate) -> None:
    step_s = PAUSE_S / 20
    probes = sum(is_admitted(gate, step * step_s) for step in range(200))
    assert 9 <= probes <= 10


def test_success_ends_the_refusals(gate: OutageGate) -> None:
    assert not is_admitted(gate, 0.0)
    gate.record_success()
    assert all(is_admitted(gate, 0.0) for _ in range(100))


def test_single_failures_do_not_stop_calls() -> None:
    gate = OutageGate("table")
    for step in range(100):
        assert is_admitted(gate, float(step))
        gate.record_failure(float(step))
        gate.record_success()
