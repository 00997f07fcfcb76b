"""Model test of the claim protocol; mutants show that the model finds faults."""

import dataclasses

import pytest
from hypothesis.stateful import run_state_machine_as_test

from banyanswitch.components.idempotency import TableClaimStore
from banyanswitch.components.idempotency.models import (
    OpenClaim,
    Settlement,
)
from banyanswitch.components.idempotency.settler import ClaimSettler
from banyanswitch.exceptions import PlatformOutcomeUnknownError
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import ClaimResult, ClaimState, Item
from tests.models.claim_machine import ClaimMachine
from tests.models.machine import MODEL_SETTINGS, MUTANT_SETTINGS


class TrustsUnknownOutcome(TableClaimStore):
    """Treats a claim as acquired when the outcome of its write is unknown."""

    async def _async_claim_new_key(self, claim: OpenClaim) -> ClaimResult:
        try:
            return await super()._async_claim_new_key(claim)
        except PlatformOutcomeUnknownError:
            return self._register_claim(claim, 1)


class WritesUnconditionally(TableClaimStore):
    """Claims a key without a condition on its record."""

    async def _async_write_claim(
        self, claim: OpenClaim, expected_revision: int | None
    ) -> ClaimResult:
        return await super()._async_write_claim(claim, expected_revision=None)


class TakesOverSilentClaims(TableClaimStore):
    """Claims a key again when the outcome of its call is unknown."""

    async def _async_claim_known_key(self, claim: OpenClaim, item: Item) -> ClaimResult:
        result = await super()._async_claim_known_key(claim, item)
        if result.state is ClaimState.OUTCOME_UNKNOWN:
            return await self._async_take_over(claim, item.revision)
        return result


class ForgetsExpiredKeys(TableClaimStore):
    """Claims an expired key for a new call."""

    async def _async_claim_known_key(self, claim: OpenClaim, item: Item) -> ClaimResult:
        result = await super()._async_claim_known_key(claim, item)
        if result.state is ClaimState.EXPIRED:
            return await self._async_take_over(claim, item.revision)
        return result


class GivesUpBeforeReadingBack(TableClaimStore):
    """Starts to release a claim of unknown outcome, yet uses it if a read finds it."""

    async def _async_write_claim(
        self, claim: OpenClaim, expected_revision: int
    ) -> ClaimResult:
        try:
            return await super()._async_write_claim(claim, expected_revision)
        except PlatformOutcomeUnknownError:
            released_claim = dataclasses.replace(claim)
            self._settler.start(
                released_claim, self._release_settlement(released_claim)
            )
            raise


class LeavesLateWrites(TableClaimStore):
    """Assumes that the write of a claim is never applied if its record is absent."""

    def __init__(self, **parameters: object) -> None:
        super().__init__(**parameters)
        self._settler = _SettlerWithoutLateWriteCheck(
            self._table, self._objects, self._batcher
        )


class _SettlerWithoutLateWriteCheck(ClaimSettler):
    async def _async_read_revision(
        self, claim: OpenClaim, settlement: Settlement
    ) -> int | None:
        items = await self._table.async_get([claim.record_key])
        if not items:
            return None
        return await super()._async_read_revision(claim, settlement)


class AbandonDeletes(TableClaimStore):
    """Releases the key of a call that was sent."""

    async def async_abandon(
        self, workspace: WorkspaceId, key: str, attempt: str
    ) -> None:
        await self.async_release(workspace, key, attempt)


class SettlesForeignRecords(TableClaimStore):
    """Replaces a record without comparing its attempt."""

    def __init__(self, **parameters: object) -> None:
        super().__init__(**parameters)
        self._settler = _SettlerWithoutAttemptCheck(
            self._table, self._objects, self._batcher
        )


class _SettlerWithoutAttemptCheck(ClaimSettler):
    async def _async_read_revision(
        self, claim: OpenClaim, settlement: Settlement
    ) -> int | None:
        items = await self._table.async_get([claim.record_key])
        return items[0].revision if items else None


VIOLATIONS = (
    "claimed again|two attempts hold|executed twice|another answer|without a cause"
)
MUTANTS = [
    TrustsUnknownOutcome,
    WritesUnconditionally,
    TakesOverSilentClaims,
    ForgetsExpiredKeys,
    GivesUpBeforeReadingBack,
    LeavesLateWrites,
    AbandonDeletes,
    SettlesForeignRecords,
]


def machine_of(store: type[TableClaimStore]) -> type[ClaimMachine]:
    return type("Machine", (ClaimMachine,), {"store_type": store})


def test_claim_protocol() -> None:
    run_state_machine_as_test(machine_of(TableClaimStore), settings=MODEL_SETTINGS)


@pytest.mark.parametrize("store", MUTANTS)
def test_mutant_is_detected(store: type[TableClaimStore]) -> None:
    with pytest.raises(AssertionError, match=VIOLATIONS):
        run_state_machine_as_test(machine_of(store), settings=MUTANT_SETTINGS)
