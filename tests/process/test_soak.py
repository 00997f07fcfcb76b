"""Short soak test: seeds that have failed before, and three more."""

from pathlib import Path

import pytest

from tests.soak.run import async_soak

pytestmark = pytest.mark.process
ADDITIONAL_SEEDS = (1, 2, 4, 8)
"""With seed 4, some upstreams answer requests twice; with 8, a request crashes them."""
REGRESSION_SEEDS = {
    230: "SIGHUP during the startup of a process ended it (62a1981)",
    204: "the test counted a connection that was never accepted as a lost request",
    103: "the test's upstreams loaded weights without a new registry entry",
    100: "failed like 103, passes since the test updates entries; cause not traced",
    117: "failed like 103, passes since the test updates entries; cause not traced",
    119: "failed like 103, passes since the test updates entries; cause not traced",
    3: "streams that broke off were completed, or went on at another software version",
    108: "the test restarted a process twice after two consecutive signals",
}
"""Seeds that have failed, with the cause of the failure."""


@pytest.mark.parametrize("seed", [*ADDITIONAL_SEEDS, *REGRESSION_SEEDS])
async def test_guarantees_hold_under_faults(tmp_path: Path, seed: int) -> None:
    outcome = await async_soak(tmp_path, seed)
    assert outcome.violations == [], outcome.faults
    assert outcome.statuses["200"] > 0
