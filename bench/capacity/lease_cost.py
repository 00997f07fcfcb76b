"""Table reads and writes of the leases by number of duties and instances.

Run ``python -m bench.capacity.lease_cost``.
"""

import asyncio
import random
from dataclasses import dataclass

import structlog
from tests.fakes.table import FakeTable

from banyanswitch.components.lease.coordinator import LeaseCoordinator
from banyanswitch.interfaces import Peer
from bench.capacity.address_cost import Directory, make_peer
from bench.capacity.simulation import ProcessorClock, run_in_virtual_time
from bench.capacity.slopes import fit_fields, save

SEED = 4
DUTIES = (4, 8, 16, 32, 64)
INSTANCES = (8, 16, 32, 64, 128, 330)
TARGET_DUTIES = 26
LEASE_S = 10.0
SETTLE_S = 20.0
MEASURE_S = 30.0


@dataclass(frozen=True, slots=True)
class LeasePoint:
    """Cost of all instances together.

    Parameters
    ----------
    held : int
        Number of leases that instances hold at the end of the measurement.
    processor_share : float
        Share of a core per instance, mean over the instances.
    """

    instances: int
    duties: int
    reads_per_s: float
    writes_per_s: float
    held: int
    processor_share: float


class LocalDirectory(Directory):
    """Peer directory of one of the instances."""

    def __init__(self, count: int, number: int) -> None:
        super().__init__(tuple(make_peer(index) for index in range(count)))
        self._number = number

    def this_instance(self) -> Peer:
        """Return this instance."""
        return self.peers()[self._number]


async def async_measure(instances: int, duties: int) -> LeasePoint:
    """Measure ``instances`` instances that compete for ``duties`` duties."""
    table = FakeTable()
    names = [f"weights/model-{number:02d}" for number in range(duties)]
    managers: list[LeaseCoordinator] = []
    for number in range(instances):
        manager = LeaseCoordinator(
            table=table,
            peers=LocalDirectory(instances, number),
            holder=f"entry-{number:04d}",
            lease_s=LEASE_S,
            generator=random.Random(SEED + number),
        )
        for name in names:
            manager.campaign(name)
        managers.append(manager)
    tasks = [asyncio.create_task(manager.async_run()) for manager in managers]
    await asyncio.sleep(SETTLE_S)
    before = (table.counts.read_calls, table.counts.written_items)
    clock = ProcessorClock()
    await asyncio.sleep(MEASURE_S)
    processor_s = clock.elapsed_s()
    held = sum(m.held(name) is not None for m in managers for name in names)
    point = LeasePoint(
        instances=instances,
        duties=duties,
        reads_per_s=(table.counts.read_calls - before[0]) / MEASURE_S,
        writes_per_s=(table.counts.written_items - before[1]) / MEASURE_S,
        held=held,
        processor_share=processor_s / MEASURE_S / instances,
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return point


def main() -> None:
    """Measure all points and write the result file."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(40))
    by_duties = [run_in_virtual_time(async_measure(64, count)) for count in DUTIES]
    by_instances = [
        run_in_virtual_time(async_measure(count, TARGET_DUTIES)) for count in INSTANCES
    ]
    for point in (*by_duties, *by_instances):
        print(point)
    quantities = ("reads_per_s", "writes_per_s", "processor_share")
    save(
        "lease",
        command="python -m bench.capacity.lease_cost",
        seed=SEED,
        series={"by_duties": by_duties, "by_instances": by_instances},
        fits=[
            *fit_fields(by_duties, "duties", quantities),
            *fit_fields(by_instances, "instances", quantities),
        ],
    )


if __name__ == "__main__":
    main()
