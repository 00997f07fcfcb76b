"""Fixtures: claim stores of several processes on one table."""

from collections.abc import Callable

import pytest

from banyanswitch.components.idempotency import TableClaimStore
from banyanswitch.config.models import Retention
from tests.fakes.clocks import LoopWallClock
from tests.fakes.table import FakeTable

RETENTION = Retention(idempotency_s=3_600.0)
CLAIM_S = 60.0

StoreFactory = Callable[..., TableClaimStore]


@pytest.fixture
def table() -> FakeTable:
    return FakeTable()


@pytest.fixture
def make_store(table: FakeTable) -> StoreFactory:
    def make(process: str, skew_s: float = 0.0) -> TableClaimStore:
        return TableClaimStore(
            table=table,
            objects=table,
            wall_clock=LoopWallClock(skew_s=skew_s),
            attempt_prefix=process,
            claim_s=CLAIM_S,
            retention=lambda: RETENTION,
        )

    return make
