"""Membership after the loss of a failure domain and in a network partition.

Run ``python -m bench.capacity.loss_cost``.
"""

import asyncio
import sys
from dataclasses import dataclass

from bench.capacity.membership_cost import (
    FAILURE_DOMAINS,
    SETTLE_S,
    Instances,
    async_wait_until,
    make_member,
)
from bench.capacity.simulation import run_in_virtual_time
from bench.capacity.slopes import fit_fields, save

SEED = 1
INSTANCES = (16, 32, 64, 128, 330)
PARTITION_S = 180.0
REGIONS = 2


@dataclass(frozen=True, slots=True)
class LossPoint:
    """Convergence times and peak traffic of all instances.

    Times are limited to about `bench.capacity.membership_cost.TIMEOUT_S`.

    Parameters
    ----------
    domain_known_s : float
        Time until all remaining instances have detected the loss of a failure domain, a
        sixth of the instances, in seconds.
    domain_bytes_per_s : float
        Bytes per second of the busiest instance during ``domain_known_s``.
    cut_known_s : float
        Time until each side of a network partition between two regions lists only its
        own instances as live, in seconds.
    heal_s : float
        Time from the end of the partition until every instance lists all, in seconds.
    heal_bytes_per_s : float
        Bytes per second of the busiest instance during ``heal_s``.
    """

    instances: int
    domain_known_s: float
    domain_bytes_per_s: float
    cut_known_s: float
    heal_s: float
    heal_bytes_per_s: float


async def async_measure(count: int) -> LossPoint:
    """Measure a lost failure domain and a partition with ``count`` instances."""
    instances = Instances(count)
    network = instances.network
    for number in range(count):
        instances.start(number)
    await asyncio.sleep(SETTLE_S)

    network.reset_counts()
    lost = [number for number in range(count) if number % FAILURE_DOMAINS == 1]
    for number in lost:
        await instances.async_kill(number)
    domain_known_s = await async_wait_until(
        lambda: instances.has_converged(count - len(lost))
    )
    domain_bytes = max(network.total_bytes()) / domain_known_s
    for number in lost:
        instances.start(number, incarnation=2)
    await asyncio.sleep(SETTLE_S)

    for number in range(count):
        network.partition_of[make_member(number).peer_address] = number % REGIONS
    cut_known_s = await async_wait_until(
        lambda: instances.has_converged(count // REGIONS)
    )
    await asyncio.sleep(PARTITION_S - cut_known_s)
    network.reset_counts()
    network.partition_of.clear()
    heal_s = await async_wait_until(lambda: instances.has_converged(count))
    heal_bytes = max(network.total_bytes()) / heal_s
    await instances.async_close()
    return LossPoint(
        instances=count,
        domain_known_s=domain_known_s,
        domain_bytes_per_s=domain_bytes,
        cut_known_s=cut_known_s,
        heal_s=heal_s,
        heal_bytes_per_s=heal_bytes,
    )


def main() -> None:
    """Measure all points and write the result file."""
    counts = [int(argument) for argument in sys.argv[1:]] or INSTANCES
    points = [run_in_virtual_time(async_measure(count)) for count in counts]
    for point in points:
        print(point)
    save(
        "loss",
        command="python -m bench.capacity.loss_cost",
        seed=SEED,
        series={"points": points},
        fits=fit_fields(
            points,
            "instances",
            ("domain_known_s", "domain_bytes_per_s", "heal_s", "heal_bytes_per_s"),
        ),
    )


if __name__ == "__main__":
    main()
