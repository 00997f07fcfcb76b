import statistics
from collections import Counter

import pytest

from banyanswitch.components.addresses.coordinator import AddressCoordinator
from banyanswitch.identifiers import FailureDomainId, InstanceId, WorkspaceId
from banyanswitch.interfaces import Peer


class FakeDirectory:
    def __init__(self, count: int, domains: int, leaving: frozenset[int]) -> None:
        self._peers = tuple(
            Peer(
                InstanceId(f"i{number:03d}"),
                FailureDomainId(f"d{number % domains}"),
                f"tcp://10.0.0.{number}:7000",
                f"http://10.0.0.{number}:8080",
                1,
                number in leaving,
            )
            for number in range(count)
        )

    def this_instance(self) -> Peer:
        return self._peers[0]

    def peers(self) -> tuple[Peer, ...]:
        return self._peers


def workspaces(count: int) -> list[WorkspaceId]:
    return [WorkspaceId(f"w{number}") for number in range(count)]


@pytest.mark.parametrize(("count", "domains"), [(8, 4), (64, 6)])
def test_addresses_spread_evenly_and_over_domains(count: int, domains: int) -> None:
    coordinator = AddressCoordinator(FakeDirectory(count, domains, frozenset()), 10.0)
    first: Counter[str] = Counter()
    for workspace in workspaces(count * 100):
        answer = coordinator.addresses(workspace)
        first[answer.addresses[0].instance] += 1
        chosen = {address.failure_domain for address in answer.addresses}
        assert len(chosen) == min(3, domains)
    assert max(first.values()) / statistics.mean(first.values()) < 1.5
    assert len(first) == count


def test_leaving_instances_are_removed_and_others_kept() -> None:
    before = AddressCoordinator(FakeDirectory(8, 4, frozenset()), 10.0)
    after = AddressCoordinator(FakeDirectory(8, 4, frozenset({2, 5})), 10.0)
    for workspace in workspaces(200):
        kept = {a.instance for a in before.addresses(workspace).addresses}
        kept -= {InstanceId("i002"), InstanceId("i005")}
        now = {a.instance for a in after.addresses(workspace).addresses}
        assert kept <= now
        assert not now & {InstanceId("i002"), InstanceId("i005")}


def test_leaving_instances_are_returned_if_all_are_leaving() -> None:
    coordinator = AddressCoordinator(FakeDirectory(2, 2, frozenset({0, 1})), 10.0)
    assert len(coordinator.addresses(WorkspaceId("w0")).addresses) == 2
