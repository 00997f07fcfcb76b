"""Model test of the lease protocol; mutants show that the model finds faults."""

import pytest
from hypothesis.stateful import run_state_machine_as_test

from banyanswitch.components.lease.duty import Duty
from banyanswitch.components.lease.models import Observation
from banyanswitch.interfaces import Item, Lease, Write
from tests.components.lease.conftest import LEASE_S
from tests.models.lease_machine import LeaseMachine
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

    def _write(self, fencing_token: int, renewal: int, revision: int) -> Write:
        write = super()._write(fencing_token, renewal, revision)
        return Write(write.key, write.value, None)


class KeepsToken(Duty):
    """Acquires a lease with the fencing token of the previous holder."""

    def _write(self, fencing_token: int, renewal: int, revision: int) -> Write:
        is_acquisition = renewal == 0 and revision > 0
        token = fencing_token - 1 if is_acquisition else fencing_token
        return super()._write(token, renewal, revision)


class CountsFromFirstSight(Duty):
    """Counts the wait for expiry from the first read, not from the last change seen."""

    def observe(self, item: Item | None, now_s: float) -> None:
        previous = self._seen
        super().observe(item, now_s)
        if previous is None or self._seen is None:
            return
        self._seen = Observation(
            self._seen.revision, self._seen.record, previous.seen_at_s
        )


class GivesBackLate(Duty):
    """Continues to hold a lease that it has released."""

    def release_write(self) -> Write | None:
        lease = self._lease
        write = super().release_write()
        self._lease = lease
        return write


VIOLATIONS = "two holders|token shared|token went down"
MUTANTS = [
    CountsTooLong,
    TakesAtOnce,
    IgnoresRevisions,
    KeepsToken,
    CountsFromFirstSight,
    GivesBackLate,
]


def machine_of(duty: type[Duty]) -> type[LeaseMachine]:
    return type("Machine", (LeaseMachine,), {"duty_type": duty})


def test_lease_protocol() -> None:
    run_state_machine_as_test(machine_of(Duty), settings=MODEL_SETTINGS)


@pytest.mark.parametrize("duty", MUTANTS)
def test_mutant_is_detected(duty: type[Duty]) -> None:
    with pytest.raises(AssertionError, match=VIOLATIONS):
        run_state_machine_as_test(machine_of(duty), settings=MUTANT_SETTINGS)
