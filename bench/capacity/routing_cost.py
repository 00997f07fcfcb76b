"""Cost of refreshing the upstream views that placement uses.

Run ``python -m bench.capacity.routing_cost``.
"""

import asyncio
from dataclasses import dataclass

from banyanswitch.components.routing.pools import REFRESH_INTERVAL_S, UpstreamPools
from banyanswitch.components.upstream_load.load_table import LoadTable
from banyanswitch.config.models import Service, Upstream
from banyanswitch.core import Kernel
from banyanswitch.identifiers import ServiceName, UpstreamId, WeightVersion
from banyanswitch.interfaces import (
    ConfigurationView,
    UpstreamDirectory,
    UpstreamLoad,
)
from bench.capacity.simulation import ProcessorClock, run_in_virtual_time
from bench.capacity.slopes import fit_fields, save
from bench.capacity.upstream_load_cost import TARGET_SERVICES, Configuration

SEED = 0
UPSTREAMS = (24, 48, 96, 192, 390, 780)
MEASURE_S = 20.0


@dataclass(frozen=True, slots=True)
class RoutingPoint:
    """Cost of one instance that uses all services."""

    upstreams: int
    processor_share: float


class RoutedConfiguration(Configuration):
    """Configuration view that also looks up services and upstreams by name."""

    def service(self, name: ServiceName) -> Service | None:
        """Return the service with this name, or ``None``."""
        return next((s for s in self.services() if s.name == name), None)

    def upstream(self, name: UpstreamId) -> Upstream | None:
        """Return the upstream with this name, or ``None``."""
        service = ServiceName(name.removeprefix("runner-").rsplit("-", 1)[0])
        return next((u for u in self.upstreams(service) if u.name == name), None)


class Directory:
    """Upstream directory with a load report of every upstream."""

    def __init__(self, configuration: RoutedConfiguration) -> None:
        self._table = LoadTable(lambda _: None)
        for service in configuration.services():
            for upstream in configuration.upstreams(service.name):
                self._table.put(make_load(upstream))

    def load(self, upstream: UpstreamId) -> UpstreamLoad | None:
        """Return the last load report."""
        return self._table.get(upstream)

    def is_accepting(self, upstream: UpstreamId) -> bool:
        """Return whether new requests may be sent to this upstream."""
        return self._table.is_accepting(upstream, 0.0)

    def record_load(self, load: UpstreamLoad) -> None:
        """Record a load that an upstream reported with a response."""
        self._table.put(load)


def make_load(upstream: Upstream) -> UpstreamLoad:
    """Return a load report for an upstream."""
    return UpstreamLoad(
        upstream.name, 3, 2, 900, WeightVersion("v1"), False, False, 0.0
    )


async def async_measure(count: int) -> RoutingPoint:
    """Measure an instance that uses all services, with ``count`` upstreams."""
    configuration = RoutedConfiguration(count, TARGET_SERVICES)
    kernel = Kernel(None)
    kernel.provide(ConfigurationView, configuration)  # type: ignore[arg-type]
    kernel.provide(UpstreamDirectory, Directory(configuration))
    pools = UpstreamPools(kernel)
    for service in configuration.services():
        pools.track_service(service, 0.0)
    clock = ProcessorClock()
    await asyncio.sleep(MEASURE_S)
    processor_s = clock.elapsed_s()
    await kernel.async_stop()
    return RoutingPoint(count, processor_s / MEASURE_S)


def main() -> None:
    """Measure all points and write the result file."""
    points = [run_in_virtual_time(async_measure(count)) for count in UPSTREAMS]
    print(f"views are refreshed every {REFRESH_INTERVAL_S} s")
    for point in points:
        print(point)
    save(
        "routing",
        command="python -m bench.capacity.routing_cost",
        seed=SEED,
        series={"points": points},
        fits=fit_fields(points, "upstreams", ("processor_share",)),
    )


if __name__ == "__main__":
    main()
