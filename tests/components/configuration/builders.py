"""Configurations and instances for the tests of the configuration component."""

import hashlib
import random
from dataclasses import dataclass, field, replace

from banyanswitch.components.configuration.acceptance import (
    Acceptance,
    Author,
    ConfigurationAcceptor,
)
from banyanswitch.components.configuration.content_updater import ContentUpdater
from banyanswitch.components.configuration.coordinator import ConfigurationCoordinator
from banyanswitch.components.configuration.repository import ConfigurationRepository
from banyanswitch.components.configuration.store_watcher import StoreWatcher
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.config import Configuration, Limits, Workspace
from banyanswitch.core import Kernel
from tests.config.test_validation import VALID
from tests.fakes.peers import FakeNetwork, FakeNode
from tests.fakes.table import FakeTable


def make_workspaces(count: int) -> tuple[Workspace, ...]:
    return tuple(
        Workspace(
            name=f"workspace-{number:05d}",
            key_digests=(hashlib.sha256(str(number).encode()).hexdigest(),),
        )
        for number in range(count)
    )


def make_configuration(workspaces: int) -> Configuration:
    return replace(VALID, workspaces=make_workspaces(workspaces))


def with_limit(configuration: Configuration, index: int, limit: int) -> Configuration:
    workspaces = list(configuration.workspaces)
    limits = Limits(concurrent_requests=limit)
    workspaces[index] = replace(workspaces[index], limits=limits)
    return replace(configuration, workspaces=tuple(workspaces))


async def apply(
    table: FakeTable,
    configuration: Configuration,
    operator: str = "lan",
    attempt: str | None = None,
    expected_revision: int | None = None,
) -> Acceptance:
    author = Author(operator, attempt or f"attempt-{random.random()}", 1000.0)
    acceptor = ConfigurationAcceptor(table, table)
    return await acceptor.async_apply(configuration, author, expected_revision)


@dataclass
class CountingTable(FakeTable):
    """Fake table that also counts object reads."""

    object_reads: int = 0

    async def async_get_object(self, name: str) -> bytes | None:
        self.object_reads += 1
        return await super().async_get_object(name)


@dataclass
class ClusterNode:
    node: FakeNode
    active: ActiveConfiguration
    coordinator: ConfigurationCoordinator
    kernel: Kernel


@dataclass
class Cluster:
    """Instances of the component that share a fake network and a fake table."""

    table: CountingTable = field(default_factory=lambda: CountingTable(latency_s=0.005))
    network: FakeNetwork = field(default_factory=FakeNetwork)
    nodes: list[ClusterNode] = field(default_factory=list)

    def start(self, count: int) -> None:
        for _ in range(count):
            self.start_one()

    def start_one(self, table: FakeTable | None = None) -> ClusterNode:
        number = len(self.nodes)
        node = self.network.add(number)
        kernel = Kernel(settings=None)
        active = ActiveConfiguration()
        generator = random.Random(number)
        updater = ContentUpdater(active, kernel.bus)
        coordinator = ConfigurationCoordinator(updater, node, node, generator)
        store = table or self.table
        repository = ConfigurationRepository(store, store)
        watcher = StoreWatcher(
            repository, updater, coordinator, directory=node, generator=generator
        )
        kernel.create_task(coordinator.async_run_messages(), "messages")
        kernel.create_task(coordinator.async_run_announcements(), "announcements")
        kernel.create_task(watcher.async_run(), "watcher")
        cluster_node = ClusterNode(node, active, coordinator, kernel)
        self.nodes.append(cluster_node)
        return cluster_node

    def revisions(self) -> set[int]:
        return {node.active.revision for node in self.nodes}

    async def async_stop(self) -> None:
        for node in self.nodes:
            await node.kernel.async_stop()
