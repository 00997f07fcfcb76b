"""Upstream views are kept up to date at a bounded cost."""

import asyncio
import random
from dataclasses import dataclass, field
from typing import cast

import pytest

from banyanswitch.components.metrics.recorder import MetricRecorder
from banyanswitch.components.routing.health import UpstreamHealth
from banyanswitch.components.routing.pools import (
    REFRESH_INTERVAL_S,
    UPSTREAMS_PER_REFRESH,
    UpstreamPools,
)
from banyanswitch.components.upstream_load.models import UpstreamLoadChanged
from banyanswitch.config.models import Service, ServiceKind, Upstream
from banyanswitch.core import Kernel
from banyanswitch.identifiers import (
    FailureDomainId,
    ServiceName,
    UpstreamId,
    WeightVersion,
)
from banyanswitch.interfaces import (
    ConfigurationView,
    UpstreamDirectory,
    UpstreamLoad,
)

VERSION = WeightVersion("v1")
SERVICE = Service(name=ServiceName("m"), kind=ServiceKind.MODEL, weight_version=VERSION)


@dataclass
class _FakeConfiguration:
    count: int

    def service(self, _name: ServiceName) -> Service:
        return SERVICE

    def upstream(self, name: UpstreamId) -> Upstream:
        return Upstream(
            name=name,
            service=SERVICE.name,
            url="http://127.0.0.1:1",
            failure_domain=FailureDomainId("a"),
        )

    def upstreams(self, _service: ServiceName) -> tuple[Upstream, ...]:
        return tuple(self.upstream(UpstreamId(f"u{i}")) for i in range(self.count))


@dataclass
class _FakeDirectory:
    running_requests: int = 0
    leaving: set[UpstreamId] = field(default_factory=set)
    reads: int = 0

    def is_accepting(self, upstream: UpstreamId) -> bool:
        return upstream not in self.leaving

    def load(self, upstream: UpstreamId) -> UpstreamLoad:
        self.reads += 1
        return UpstreamLoad(
            upstream=upstream,
            running_requests=self.running_requests,
            queued_requests=0,
            queued_prefill_tokens=0,
            weight_version=VERSION,
            is_leaving=upstream in self.leaving,
            is_loading=False,
            received_at_s=0.0,
        )


def _pools(count: int) -> tuple[Kernel, _FakeDirectory, UpstreamPools]:
    kernel = Kernel(settings=None)
    directory = _FakeDirectory()
    kernel.provide(
        ConfigurationView, cast(ConfigurationView, _FakeConfiguration(count))
    )
    kernel.provide(UpstreamDirectory, cast(UpstreamDirectory, directory))
    pools = UpstreamPools(kernel)
    pools.track_service(SERVICE, 0.0)
    return kernel, directory, pools


@pytest.mark.looptime
@pytest.mark.parametrize("count", [9, 780])
async def test_reads_per_second_do_not_grow_with_the_upstreams(count: int) -> None:
    kernel, directory, _pool = _pools(count)
    directory.reads = 0
    await asyncio.sleep(10.0)
    assert directory.reads <= UPSTREAMS_PER_REFRESH * 10.0 / REFRESH_INTERVAL_S
    await kernel.async_stop()


@pytest.mark.looptime
@pytest.mark.parametrize("count", [9, 780])
async def test_each_view_is_refreshed(count: int) -> None:
    kernel, directory, pools = _pools(count)
    directory.running_requests = 5
    await asyncio.sleep(2 * REFRESH_INTERVAL_S * (count // UPSTREAMS_PER_REFRESH + 2))
    views = [pools.pool.get(UpstreamId(f"u{i}")) for i in range(count)]
    assert all(view is not None and view.running_requests == 5 for view in views)
    await kernel.async_stop()


@pytest.mark.looptime
async def test_leaving_upstream_stops_accepting_immediately() -> None:
    kernel, directory, pools = _pools(780)
    upstream = UpstreamId("u7")
    assert upstream in pools.pool.accepting(SERVICE.name, VERSION)
    directory.leaving.add(upstream)
    kernel.bus.publish(UpstreamLoadChanged(upstream))
    assert upstream not in pools.pool.accepting(SERVICE.name, VERSION)
    await kernel.async_stop()


@pytest.mark.looptime
@pytest.mark.parametrize(("count", "max_ejected"), [(1, 0), (2, 1), (9, 4)])
async def test_failures_never_leave_a_service_without_upstreams(
    count: int, max_ejected: int
) -> None:
    kernel, _directory, pools = _pools(count)
    kernel.provide(MetricRecorder, MetricRecorder(None))
    health = UpstreamHealth(kernel, pools, random.Random(1))
    for _ in range(5):
        for index in range(count):
            health.note_failure(UpstreamId(f"u{index}"))
    accepting = len(pools.pool.accepting(SERVICE.name, VERSION))
    assert accepting == count - max_ejected
    await kernel.async_stop()
