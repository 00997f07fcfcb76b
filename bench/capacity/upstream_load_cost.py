"""Cost of the load reports by instances, upstreams and services used.

Run ``python -m bench.capacity.upstream_load_cost``. This bench only counts polls;
``bench.capacity.poll_cost`` measures the cost of a poll.
"""

import asyncio
import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from statistics import mean

from banyanswitch.components.upstream_load.coordinator import UpstreamLoadCoordinator
from banyanswitch.config.models import Service, ServiceKind, Upstream
from banyanswitch.identifiers import (
    FailureDomainId,
    InstanceId,
    ServiceName,
    UpstreamId,
    WeightVersion,
)
from banyanswitch.interfaces import Peer, UpstreamLoad
from bench.capacity.simulation import (
    FramedNetwork,
    FramedTransport,
    ProcessorClock,
    run_in_virtual_time,
)
from bench.capacity.slopes import fit_fields, save

SEED = 2
TARGET_INSTANCES = 330
TARGET_UPSTREAMS = 780
TARGET_SERVICES = 24
MAX_PROCESSES = 3
BY_INSTANCES = (330, 128, 64, 32, 16)
BY_UPSTREAMS = (780, 390, 192, 96, 48)
BY_SERVICES_USED = (1, 3, 6, 12, 24)
# Number of instances in the series by upstreams and by services used.
SMALL_INSTANCES = 48
START_S = 4.0
SETTLE_S = 12.0
MEASURE_S = 12.0
TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.01
POLL_INTERVAL_S = 0.5
POLL_ROUND_TRIP_S = 0.003


@dataclass(frozen=True, slots=True)
class LoadPoint:
    """Cost per instance.

    Parameters
    ----------
    services_used : int
        Number of the ``services`` that each instance uses.
    processor_share : float
        Share of a core, including the event loop, excluding the HTTP of the polls.
    leaving_s : float
        Time from when an upstream begins to leave until no instance that uses its
        service accepts it for new requests, in seconds; at most about `TIMEOUT_S`.
    """

    instances: int
    upstreams: int
    services: int
    services_used: int
    polls_per_s: float
    max_polls_per_s: float
    messages_per_s: float
    bytes_per_s: float
    max_bytes_per_s: float
    processor_share: float
    leaving_s: float


class Configuration:
    """Configuration view with upstreams distributed evenly over the services."""

    revision = 1

    def __init__(self, upstreams: int, services: int) -> None:
        names = [ServiceName(f"model-{number:02d}") for number in range(services)]
        self._services = tuple(Service(name=n, kind=ServiceKind.MODEL) for n in names)
        self._upstreams: dict[ServiceName, tuple[Upstream, ...]] = {
            name: tuple(
                Upstream(
                    name=UpstreamId(f"runner-{name}-{number:03d}"),
                    service=name,
                    url="http://10.1.0.1:8000",
                    failure_domain=FailureDomainId("domain-0"),
                )
                for number in range(index, upstreams, services)
            )
            for index, name in enumerate(names)
        }

    def services(self) -> tuple[Service, ...]:
        """Return all services."""
        return self._services

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service."""
        return self._upstreams[service]


class Poller:
    """Poller whose upstreams report a random load on each poll."""

    def __init__(self) -> None:
        self._random = random.Random(SEED)
        self.leaving: set[str] = set()
        self.polls: dict[InstanceId, int] = {}

    def for_instance(self, instance: InstanceId) -> "InstancePoller":
        """Return the poller of one instance."""
        self.polls[instance] = 0
        return InstancePoller(self, instance)

    async def async_poll(self, upstream: Upstream, now_s: float) -> UpstreamLoad:
        """Return a random load after a simulated round trip."""
        await asyncio.sleep(POLL_ROUND_TRIP_S)
        return UpstreamLoad(
            upstream=upstream.name,
            running_requests=self._random.randrange(64),
            queued_requests=self._random.randrange(300),
            queued_prefill_tokens=self._random.randrange(400_000),
            weight_version=WeightVersion("2026-12-03"),
            is_leaving=upstream.name in self.leaving,
            is_loading=False,
            received_at_s=now_s,
        )


@dataclass(frozen=True, slots=True)
class InstancePoller:
    """Poller of one instance that counts its polls."""

    poller: Poller
    instance: InstanceId

    async def async_poll(self, upstream: Upstream, now_s: float) -> UpstreamLoad:
        """Return a load and count the poll."""
        self.poller.polls[self.instance] += 1
        return await self.poller.async_poll(upstream, now_s)


class Directory:
    """Fixed live instances and the services that they use."""

    def __init__(self, peers: tuple[Peer, ...], this: Peer, services_used: int) -> None:
        self._peers = peers
        self._this = this
        self._serving: dict[ServiceName, tuple[Peer, ...]] = {}
        self._services_used = services_used

    def this_instance(self) -> Peer:
        """Return this instance."""
        return self._this

    def peers(self) -> tuple[Peer, ...]:
        """Return all instances."""
        return self._peers

    def declare_services(self, services: Iterable[ServiceName]) -> None:
        """Ignore the declaration; the services used are fixed."""

    def serving(self, service: ServiceName) -> tuple[Peer, ...]:
        """Return the instances that use a service."""
        if service not in self._serving:
            index = int(service.rsplit("-", 1)[1])
            self._serving[service] = tuple(
                peer
                for number, peer in enumerate(self._peers)
                if index in used_services(number, self._services_used)
            )
        return self._serving[service]


def used_services(instance: int, count: int) -> set[int]:
    """Return the services that one instance uses."""
    return {(instance + step) % TARGET_SERVICES for step in range(count)}


def make_peer(number: int) -> Peer:
    """Return a peer with addresses as in production."""
    host = f"10.{number // 250}.4.{number % 250}"
    return Peer(
        InstanceId(f"entry-{number:04d}"),
        FailureDomainId(f"domain-{number % 6}"),
        f"tcp://{host}:7080",
        f"http://{host}:8080",
        1_780_000_000_000,
    )


async def async_measure(
    instances: int, upstreams: int, services_used: int = TARGET_SERVICES
) -> LoadPoint:
    """Measure one combination of instances, upstreams and services used."""
    network = FramedNetwork()
    poller = Poller()
    configuration = Configuration(upstreams, TARGET_SERVICES)
    peers = tuple(make_peer(number) for number in range(instances))
    nodes: list[UpstreamLoadCoordinator] = []
    for peer in peers:
        directory = Directory(peers, peer, services_used)
        nodes.append(
            UpstreamLoadCoordinator(
                transport=FramedTransport(network, peer.instance, peer.peer_address),
                directory=directory,
                interest=directory,
                configuration=configuration,  # type: ignore[arg-type]
                poller=poller.for_instance(peer.instance),
                poll_interval_s=POLL_INTERVAL_S,
                on_change=lambda _: None,
            )
        )
    tasks = []
    for node in nodes:
        tasks.append(asyncio.create_task(node.async_run()))
        await asyncio.sleep(START_S / instances)
    await asyncio.sleep(SETTLE_S)
    network.reset_counts()
    polls_before = dict(poller.polls)
    clock = ProcessorClock()
    await asyncio.sleep(MEASURE_S)
    processor_s = clock.elapsed_s()
    polls = [poller.polls[i] - before for i, before in polls_before.items()]
    total_bytes = network.total_bytes()
    messages = sum(network.messages.values())
    leaving = configuration.upstreams(ServiceName("model-00"))[0].name
    using_nodes = [
        n for i, n in enumerate(nodes) if 0 in used_services(i, services_used)
    ]
    leaving_s = await async_measure_leaving(leaving, poller, using_nodes)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return LoadPoint(
        instances=instances,
        upstreams=upstreams,
        services=TARGET_SERVICES,
        services_used=services_used,
        polls_per_s=mean(polls) / MEASURE_S,
        max_polls_per_s=max(polls) / MEASURE_S,
        messages_per_s=messages / MEASURE_S / instances,
        bytes_per_s=mean(total_bytes) / MEASURE_S,
        max_bytes_per_s=max(total_bytes) / MEASURE_S,
        processor_share=processor_s / MEASURE_S / instances,
        leaving_s=leaving_s,
    )


async def async_measure_leaving(
    upstream: UpstreamId, poller: Poller, nodes: list[UpstreamLoadCoordinator]
) -> float:
    """Return the time until no node accepts a leaving upstream for new requests."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    poller.leaving.add(upstream)
    while loop.time() - start_s < TIMEOUT_S:
        if not any(node.is_accepting(upstream) for node in nodes):
            break
        await asyncio.sleep(CHECK_INTERVAL_S)
    return loop.time() - start_s


def measure(
    instances: int,
    upstreams: int = TARGET_UPSTREAMS,
    services_used: int = TARGET_SERVICES,
) -> LoadPoint:
    """Measure one combination in a new event loop."""
    return run_in_virtual_time(async_measure(instances, upstreams, services_used))


def main() -> None:
    """Measure all points and write the result file."""
    with ProcessPoolExecutor(MAX_PROCESSES) as pool:
        by_instances = list(pool.map(measure, BY_INSTANCES))
        sizes = len(BY_UPSTREAMS)
        instances = [SMALL_INSTANCES] * sizes
        by_upstreams = list(pool.map(measure, instances, BY_UPSTREAMS))
        used = len(BY_SERVICES_USED)
        instances = [SMALL_INSTANCES] * used
        upstreams = [TARGET_UPSTREAMS] * used
        by_services = list(pool.map(measure, instances, upstreams, BY_SERVICES_USED))
    for point in (*by_instances, *by_upstreams, *by_services):
        print(point)
    quantities = (
        "polls_per_s",
        "messages_per_s",
        "bytes_per_s",
        "max_bytes_per_s",
        "processor_share",
    )
    save(
        "upstream_load",
        command="python -m bench.capacity.upstream_load_cost",
        seed=SEED,
        series={
            "by_instances": by_instances,
            "by_upstreams": by_upstreams,
            "by_services_used": by_services,
        },
        fits=[
            *fit_fields(by_instances, "instances", quantities),
            *fit_fields(by_upstreams, "upstreams", quantities),
            *fit_fields(by_services, "services_used", quantities),
        ],
    )


if __name__ == "__main__":
    main()
