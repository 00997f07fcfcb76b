"""Model test of the lease protocol; mutants show that the model finds faults."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from banyanswitch.components.lease.const import CLOCK_MARGIN_S
from banyanswitch.components.lease.duty import Duty
from banyanswitch.components.lease.models import LeaseRecord, Observation
from banyanswitch.interfaces import Item, Lease, Write
from tests.components.lease.conftest import LEASE_S
from tests.models.lease_machine import LeaseMachine, OrderMachine
from tests.models.machine import MODEL_SETTINGS, MUTANT_SETTINGS


class CountsTooLong(Duty):
    """Adds half the lease duration, as if counted from a late answer to the write."""

    def on_written(self, write: Write, revision: int, sent_at_s: float) -> None:
        super().on_written(write, revision, sent_at_s)
        assert self._lease is not None
        excess_s = LEASE_S / 2
        self._lease = Lease(
            self.name, self._lease.fencing_token, self._lease.expires_at_s + excess_s
        )


class TakesAtOnce(Duty):
    """Acquires a lease without waiting for its expiry."""

    def _is_free(self, seen: Observation, now_s: float) -> bool:
        return True


class IgnoresRevisions(Duty):
    """Writes the record without a condition on its revision."""

    def _write(
        self, fencing_token: int, renewal: int, revision: int, clock_s: float | None
    ) -> Write:
        write = super()._write(fencing_token, renewal, revision, clock_s)
        return Write(write.key, write.value, None)


class KeepsToken(Duty):
    """Acquires a lease with the fencing token of the previous holder."""

    def _write(
        self, fencing_token: int, renewal: int, revision: int, clock_s: float | None
    ) -> Write:
        is_acquisition = renewal == 0 and revision > 0
        token = fencing_token - 1 if is_acquisition else fencing_token
        return super()._write(token, renewal, revision, clock_s)


class CountsFromFirstSight(Duty):
    """Counts the wait for expiry from the first read, not from the last change seen."""

    def observe(
        self, item: Item | None, now_s: float, clock_s: float | None = None
    ) -> None:
        previous = self._seen
        super().observe(item, now_s, clock_s)
        if previous is None or self._seen is None:
            return
        self._seen = Observation(
            self._seen.revision, self._seen.record, previous.renewed_by_s
        )


class GivesBackLate(Duty):
    """Continues to hold a lease that it has released."""

    def release_write(self) -> Write | None:
        lease = self._lease
        write = super().release_write()
        self._lease = lease
        return write


class DropsClockMargin(Duty):
    """Treats the time in a record as exact."""

    def _renewed_by_s(
        self, record: LeaseRecord, now_s: float, clock_s: float | None
    ) -> float:
        return super()._renewed_by_s(record, now_s, clock_s) - CLOCK_MARGIN_S


VIOLATIONS = "two holders|token shared|token went down|acquired early"
ORDER_VIOLATIONS = f"{VIOLATIONS}|orders too close"
MUTANTS = [
    CountsTooLong,
    TakesAtOnce,
    IgnoresRevisions,
    KeepsToken,
    CountsFromFirstSight,
    GivesBackLate,
    DropsClockMargin,
]


def machine_of(
    duty: type[Duty], base: type[LeaseMachine] = LeaseMachine, **attributes: object
) -> type[LeaseMachine]:
    return type("Machine", (base,), {"duty_type": duty, **attributes})


def test_lease_protocol() -> None:
    run_state_machine_as_test(machine_of(Duty), settings=MODEL_SETTINGS)


def test_order_protocol() -> None:
    run_state_machine_as_test(machine_of(Duty, OrderMachine), settings=MODEL_SETTINGS)


@pytest.mark.parametrize("duty", MUTANTS)
def test_mutant_is_detected(duty: type[Duty]) -> None:
    with pytest.raises(AssertionError, match=VIOLATIONS):
        run_state_machine_as_test(machine_of(duty), settings=MUTANT_SETTINGS)


@pytest.mark.parametrize("machine", [LeaseMachine, OrderMachine])
def test_clock_with_an_understated_error_is_detected(
    machine: type[LeaseMachine],
) -> None:
    mutant = machine_of(Duty, machine, stated_error_s=0.0)
    with pytest.raises(AssertionError, match=ORDER_VIOLATIONS):
        run_state_machine_as_test(mutant, settings=MUTANT_SETTINGS)


class SeparateOrders(OrderMachine):
    """Checks only the orders, not the leases."""

    def check_acquisition(self, owner: str, lease: Lease) -> None:
        return


def test_handover_without_clock_margin_is_detected() -> None:
    mutant = machine_of(DropsClockMargin, SeparateOrders)
    with pytest.raises(AssertionError, match="orders too close"):
        run_state_machine_as_test(mutant, settings=MUTANT_SETTINGS)
