"""Short soak: seeds that ever failed, and two more."""

from pathlib import Path

import pytest

from tests.soak.run import async_soak

pytestmark = pytest.mark.process
SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SEEDS)
async def test_promises_hold_under_faults(tmp_path: Path, seed: int) -> None:
    outcome = await async_soak(tmp_path, seed)
    assert outcome.violations == [], outcome.faults
    assert outcome.statuses["200"] > 0
