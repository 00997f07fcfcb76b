"""Cost and balance of the address selection by number of instances.

Run ``python -m bench.capacity.address_cost``.
"""

import tracemalloc
from collections import Counter
from dataclasses import dataclass
from statistics import mean

from banyanswitch.components.addresses.coordinator import AddressCoordinator
from banyanswitch.identifiers import FailureDomainId, InstanceId, WorkspaceId
from banyanswitch.interfaces import Peer
from bench.capacity.simulation import ProcessorClock
from bench.capacity.slopes import fit_fields, save

SEED = 0
INSTANCES = (8, 16, 32, 64, 128, 330)
FAILURE_DOMAINS = 6
WORKSPACES = 35_000
TIMED_ANSWERS = 2000


@dataclass(frozen=True, slots=True)
class AddressPoint:
    """Cost and balance of the address answers of one instance among ``instances``.

    Parameters
    ----------
    answer_s : float
        CPU time of the first answer for a workspace, in seconds.
    repeated_answer_s : float
        CPU time of a repeated answer for a workspace, in seconds.
    busiest_ratio : float
        Number of workspaces that prefer the most preferred entry, divided by the mean
        over all entries.
    busiest_ratio_after_loss : float
        Same ratio among the remaining entries when a failure domain is lost.
    moved_share : float
        Share of workspaces whose preferred entry changes when a failure domain is
        lost.
    size_bytes : float
        Memory that `TIMED_ANSWERS` answers for different workspaces add, in bytes.
    """

    instances: int
    answer_s: float
    repeated_answer_s: float
    busiest_ratio: float
    busiest_ratio_after_loss: float
    moved_share: float
    size_bytes: float


class Directory:
    """Peer directory with a fixed list of live instances."""

    def __init__(self, peers: tuple[Peer, ...]) -> None:
        self._peers = peers

    def this_instance(self) -> Peer:
        """Return the first instance."""
        return self._peers[0]

    def peers(self) -> tuple[Peer, ...]:
        """Return all instances."""
        return self._peers


def make_peer(number: int) -> Peer:
    """Return the peer with this number."""
    return Peer(
        InstanceId(f"entry-{number:04d}"),
        FailureDomainId(f"domain-{number % FAILURE_DOMAINS}"),
        f"tcp://10.0.0.{number}:7080",
        f"http://10.0.0.{number}:8080",
        1,
    )


def preferred_entries(peers: tuple[Peer, ...], count: int) -> list[InstanceId]:
    """Return the preferred entry of each of ``count`` workspaces."""
    coordinator = AddressCoordinator(Directory(peers), 10.0)
    return [
        coordinator.addresses(WorkspaceId(f"workspace-{number}")).addresses[0].instance
        for number in range(count)
    ]


def busiest_ratio(chosen: list[InstanceId], instances: int) -> float:
    """Return the workspace count of the most preferred entry, divided by the mean."""
    return max(Counter(chosen).values()) / (len(chosen) / instances)


def measure(count: int) -> AddressPoint:
    """Measure the address selection among ``count`` instances."""
    peers = tuple(make_peer(number) for number in range(count))
    workspaces = WORKSPACES * count // max(INSTANCES)
    remaining = tuple(peer for peer in peers if peer.failure_domain != "domain-0")
    before = preferred_entries(peers, workspaces)
    after = preferred_entries(remaining, workspaces)
    moved = mean(a != b for a, b in zip(before, after, strict=True))

    tracemalloc.start()
    coordinator = AddressCoordinator(Directory(peers), 10.0)
    names = [WorkspaceId(f"workspace-{number}") for number in range(TIMED_ANSWERS)]
    start_bytes, _ = tracemalloc.get_traced_memory()
    for name in names:
        coordinator.addresses(name)
    size_bytes = tracemalloc.get_traced_memory()[0] - start_bytes
    tracemalloc.stop()
    return AddressPoint(
        instances=count,
        answer_s=measure_answer_s(AddressCoordinator(Directory(peers), 10.0), names),
        repeated_answer_s=measure_answer_s(coordinator, names[-200:] * 10),
        busiest_ratio=busiest_ratio(before, count),
        busiest_ratio_after_loss=busiest_ratio(after, len(remaining)),
        moved_share=moved,
        size_bytes=size_bytes,
    )


def measure_answer_s(
    coordinator: AddressCoordinator, names: list[WorkspaceId]
) -> float:
    """Return the mean CPU time of an answer, in seconds."""
    clock = ProcessorClock()
    for name in names:
        coordinator.addresses(name)
    return clock.elapsed_s() / len(names)


def main() -> None:
    """Measure all points and write the result file."""
    points = [measure(count) for count in INSTANCES]
    for point in points:
        print(point)
    save(
        "addresses",
        command="python -m bench.capacity.address_cost",
        seed=SEED,
        series={"points": points},
        fits=fit_fields(points, "instances", ("answer_s", "repeated_answer_s")),
    )


if __name__ == "__main__":
    main()
