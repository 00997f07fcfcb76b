"""Table use of claims by concurrency, and of leases by number of duties.

Run ``python -m bench.capacity.state_cost``.
"""

import asyncio
import json
import random
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

import structlog
from tests.fakes.clocks import LoopWallClock
from tests.fakes.table import FakeTable, TableCounts

from banyanswitch.components.idempotency import TableClaimStore
from banyanswitch.components.lease import LeaseCoordinator
from banyanswitch.config.models import Retention
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import ClaimState, StoredAnswer
from bench.capacity.lease_cost import LEASE_S, LocalDirectory
from bench.capacity.simulation import ProcessorClock, run_in_virtual_time
from bench.capacity.slopes import fit_fields

SEED: Final = 5
COMMAND: Final = "python -m bench.capacity.state_cost"
PATH: Final = Path(__file__).parents[2] / "docs" / "data" / "state_cost.json"

CONCURRENCY: Final = (1, 4, 16, 64)
CALLS: Final = 1_024
TABLE_LATENCY_S: Final = 0.005
CALL_S: Final = 0.02
ANSWER: Final = StoredAnswer(200, "application/json", b"x" * 500)

DUTIES: Final = (4, 16, 64, 128)
LEASE_INSTANCES: Final = 24
SETTLE_S: Final = 60.0
MEASURE_S: Final = 120.0


@dataclass(frozen=True, slots=True)
class ClaimPoint:
    """Cost of one call with an idempotency key, on one instance."""

    concurrency: int
    transactions_per_call: float
    written_items_per_call: float
    read_items_per_call: float
    read_items_per_repeated_call: float
    processor_us_per_call: float


@dataclass(frozen=True, slots=True)
class LeasePoint:
    """Table use of the leases of all instances together."""

    duties: int
    transactions_per_s: float
    written_items_per_s: float
    read_calls_per_s: float
    read_items_per_s: float


async def async_call(store: TableClaimStore, number: int) -> None:
    """Claim, run and complete one call."""
    workspace = WorkspaceId(f"w{number % 10}")
    claim = await store.async_claim(workspace, f"k{number}", "digest")
    assert claim.state is ClaimState.CLAIMED
    await asyncio.sleep(CALL_S)
    await store.async_complete(workspace, f"k{number}", claim.attempt, ANSWER)


async def async_repeat(store: TableClaimStore, number: int) -> None:
    """Repeat a completed call and check that its stored answer is returned."""
    workspace = WorkspaceId(f"w{number % 10}")
    claim = await store.async_claim(workspace, f"k{number}", "digest")
    assert claim.answer == ANSWER


async def async_measure_claims(concurrency: int) -> ClaimPoint:
    """Measure ``CALLS`` calls, ``concurrency`` at a time."""
    table = FakeTable(latency_s=TABLE_LATENCY_S)
    store = TableClaimStore(
        table=table,
        objects=table,
        wall_clock=LoopWallClock(),
        attempt_prefix="i1/1",
        claim_s=60.0,
        retention=Retention,
    )

    async def async_caller(first: int) -> None:
        for number in range(first, CALLS, concurrency):
            await async_call(store, number)

    clock = ProcessorClock()
    await asyncio.gather(*(async_caller(first) for first in range(concurrency)))
    processor_s = clock.elapsed_s()
    counts = table.counts
    table.counts = TableCounts()
    for number in range(CALLS // 8):
        await async_repeat(store, number)
    return ClaimPoint(
        concurrency=concurrency,
        transactions_per_call=counts.transactions / CALLS,
        written_items_per_call=counts.written_items / CALLS,
        read_items_per_call=counts.read_items / CALLS,
        read_items_per_repeated_call=table.counts.read_items / (CALLS // 8),
        processor_us_per_call=1e6 * processor_s / CALLS,
    )


async def async_measure_leases(duties: int) -> LeasePoint:
    """Measure instances that all compete for all duties."""
    table = FakeTable(latency_s=TABLE_LATENCY_S)
    managers: list[LeaseCoordinator] = []
    for number in range(LEASE_INSTANCES):
        manager = LeaseCoordinator(
            table=table,
            peers=LocalDirectory(LEASE_INSTANCES, number),
            holder=f"entry-{number:04d}",
            lease_s=LEASE_S,
            generator=random.Random(SEED + number),
        )
        for duty in range(duties):
            manager.campaign(f"weights/model-{duty:03d}")
        managers.append(manager)
    tasks = [asyncio.create_task(manager.async_run()) for manager in managers]
    await asyncio.sleep(SETTLE_S)
    table.counts = TableCounts()
    await asyncio.sleep(MEASURE_S)
    counts = table.counts
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return LeasePoint(
        duties=duties,
        transactions_per_s=counts.transactions / MEASURE_S,
        written_items_per_s=counts.written_items / MEASURE_S,
        read_calls_per_s=counts.read_calls / MEASURE_S,
        read_items_per_s=counts.read_items / MEASURE_S,
    )


def main() -> None:
    """Measure all points and write the result file."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    claims = [run_in_virtual_time(async_measure_claims(count)) for count in CONCURRENCY]
    leases = [run_in_virtual_time(async_measure_leases(count)) for count in DUTIES]
    quantities = ("written_items_per_s", "read_items_per_s", "read_calls_per_s")
    fits = fit_fields(leases, "duties", quantities)
    document = {
        "command": COMMAND,
        "seed": SEED,
        "table_latency_s": TABLE_LATENCY_S,
        "lease_instances": LEASE_INSTANCES,
        "claims_by_concurrency": [asdict(point) for point in claims],
        "leases_by_duties": [asdict(point) for point in leases],
        "fits": [asdict(line) for line in fits],
    }
    PATH.write_text(json.dumps(document, indent=1) + "\n")
    for point in (*claims, *leases, *fits):
        print(point)


if __name__ == "__main__":
    main()
