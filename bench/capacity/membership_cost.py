"""Cost of the membership by number of instances.

Run ``python -m bench.capacity.membership_cost``.
"""

import asyncio
import random
import sys
import tracemalloc
from dataclasses import dataclass
from statistics import mean

from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.member_table import MemberTable
from banyanswitch.components.membership.models import Member, MemberState
from bench.capacity.simulation import (
    FramedNetwork,
    FramedTransport,
    ProcessorClock,
    run_in_virtual_time,
)
from bench.capacity.slopes import fit_fields, save

SEED = 1
INSTANCES = (8, 16, 32, 64, 128, 330)
TABLE_SIZES = (64, 128, 256, 512, 1024)
SETTLE_S = 60.0
MEASURE_S = 30.0
TIMEOUT_S = 60.0
CHECK_INTERVAL_S = 0.05
FAILURE_DOMAINS = 6
SERVICES = 24


@dataclass(frozen=True, slots=True)
class MembershipPoint:
    """Cost of one instance among ``instances``.

    Messages are those sent, bytes those sent and received. Times are limited to about
    `TIMEOUT_S`.

    Parameters
    ----------
    max_bytes_per_s : float
        Bytes per second of the busiest instance.
    cold_start_s : float
        Time until all instances, started together, list each other, in seconds.
    cold_start_bytes_per_s : float
        Bytes per second of one instance during ``cold_start_s``, mean over instances.
    leaving_s : float
        Time until all instances know that one is leaving, in seconds.
    death_s : float
        Time until all instances have detected that one failed, in seconds.
    churn_bytes_per_s : float
        Bytes per second of one instance while one instance per second restarts.
    processor_share : float
        Share of a core per instance, including the fake network and the event loop.
    """

    instances: int
    messages_per_s: float
    bytes_per_s: float
    max_bytes_per_s: float
    processor_share: float
    cold_start_s: float
    cold_start_bytes_per_s: float
    leaving_s: float
    death_s: float
    churn_bytes_per_s: float


@dataclass(frozen=True, slots=True)
class MemoryPoint:
    """Memory of the member table of one instance."""

    members: int
    size_bytes: float


class Instances:
    """The simulated instances of one run."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.network = FramedNetwork()
        self.nodes: dict[int, MembershipCoordinator] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}

    def start(self, number: int, incarnation: int = 1) -> None:
        """Start one instance."""
        member = make_member(number, incarnation)
        node = MembershipCoordinator(
            transport=FramedTransport(
                self.network, member.instance, member.peer_address, incarnation
            ),
            this_member=member,
            seeds=(make_member(0).peer_address, make_member(1).peer_address),
            heartbeat_s=1.0,
            generator=random.Random(SEED * 100_000 + number * 100 + incarnation),
            on_change=lambda: None,
            on_new_incarnation=lambda _: None,
        )
        self.nodes[number] = node
        self.tasks[number] = asyncio.get_running_loop().create_task(node.async_run())

    async def async_kill(self, number: int) -> None:
        """Stop one instance without announcing its departure."""
        del self.nodes[number]
        del self.network.transports[make_member(number).peer_address]
        task = self.tasks.pop(number)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def async_close(self) -> None:
        """Stop all instances."""
        for number in tuple(self.nodes):
            await self.async_kill(number)

    def has_converged(self, count: int) -> bool:
        """Return whether every instance lists exactly ``count`` live instances."""
        return all(len(node.peers()) == count for node in self.nodes.values())

    def has_converged_on_leaving(self, number: int) -> bool:
        """Return whether every instance lists this one as leaving."""
        name = make_member(number).instance
        return all(
            any(peer.is_leaving for peer in node.peers() if peer.instance == name)
            for node in self.nodes.values()
        )


def make_member(number: int, incarnation: int = 1) -> Member:
    """Return a member record with addresses and numbers as in production."""
    host = f"10.{number // 250}.4.{number % 250}"
    return Member(
        instance=f"entry-{number:04d}",
        failure_domain=f"domain-{number % FAILURE_DOMAINS}",
        peer_address=f"tcp://{host}:7080",
        http_url=f"http://{host}:8080",
        incarnation=1_780_000_000_000 + incarnation,
        revision=3,
        state=MemberState.ALIVE,
        is_leaving=False,
        service_mask=(1 << SERVICES) - 1,
    )


async def async_wait_until(condition: object) -> float:
    """Return the time until the condition is true, at most about ``TIMEOUT_S``."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while loop.time() - start_s < TIMEOUT_S:
        if condition():  # type: ignore[operator]
            break
        await asyncio.sleep(CHECK_INTERVAL_S)
    return loop.time() - start_s


async def async_measure(count: int) -> MembershipPoint:
    """Measure the membership of ``count`` instances."""
    instances = Instances(count)
    network = instances.network
    for number in range(count):
        instances.start(number)
    cold_start_s = await async_wait_until(lambda: instances.has_converged(count))
    cold_start_bytes = mean(network.total_bytes())
    await asyncio.sleep(SETTLE_S)

    network.reset_counts()
    clock = ProcessorClock()
    await asyncio.sleep(MEASURE_S)
    processor_s = clock.elapsed_s()
    messages = sum(network.messages.values())
    total_bytes = network.total_bytes()

    instances.nodes[2].begin_leaving()
    leaving_s = await async_wait_until(lambda: instances.has_converged_on_leaving(2))
    await asyncio.sleep(SETTLE_S)
    await instances.async_kill(3)
    death_s = await async_wait_until(lambda: instances.has_converged(count - 1))
    instances.start(3, incarnation=2)
    await asyncio.sleep(SETTLE_S)

    network.reset_counts()
    for second in range(int(MEASURE_S)):
        number = 4 + second % (count - 4)
        await instances.async_kill(number)
        instances.start(number, incarnation=3 + second)
        await asyncio.sleep(1.0)
    churn_bytes = mean(network.total_bytes())
    await instances.async_close()
    return MembershipPoint(
        instances=count,
        messages_per_s=messages / MEASURE_S / count,
        bytes_per_s=mean(total_bytes) / MEASURE_S,
        max_bytes_per_s=max(total_bytes) / MEASURE_S,
        processor_share=processor_s / MEASURE_S / count,
        cold_start_s=cold_start_s,
        cold_start_bytes_per_s=cold_start_bytes / cold_start_s,
        leaving_s=leaving_s,
        death_s=death_s,
        churn_bytes_per_s=churn_bytes / MEASURE_S,
    )


def measure_memory(count: int) -> MemoryPoint:
    """Measure the memory of a member table with ``count`` members."""
    tracemalloc.start()
    table = MemberTable()
    for number in range(count):
        table.put(make_member(number), 0.0)
    peers = tuple(member.as_peer() for member in table.live())
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if len(peers) != count:
        raise RuntimeError(f"member table lists {len(peers)} of {count} live members")
    return MemoryPoint(count, size_bytes)


def main() -> None:
    """Measure all points and write the result file."""
    counts = [int(argument) for argument in sys.argv[1:]] or INSTANCES
    points = [run_in_virtual_time(async_measure(count)) for count in counts]
    memory = [measure_memory(count) for count in TABLE_SIZES]
    for point in points:
        print(point)
    save(
        "membership",
        command="python -m bench.capacity.membership_cost",
        seed=SEED,
        series={"instances": points, "memory": memory},
        fits=[
            *fit_fields(
                points,
                "instances",
                (
                    "messages_per_s",
                    "bytes_per_s",
                    "max_bytes_per_s",
                    "processor_share",
                    "cold_start_bytes_per_s",
                    "churn_bytes_per_s",
                ),
            ),
            *fit_fields(memory, "members", ("size_bytes",)),
        ],
    )


if __name__ == "__main__":
    main()
