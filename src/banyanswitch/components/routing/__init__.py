"""Routing: runs and calls at the upstreams that can answer them."""

import random

from banyanswitch.components.routing.const import DOMAIN
from banyanswitch.components.routing.failures import UpstreamFailures
from banyanswitch.components.routing.model_runs import ModelRuns
from banyanswitch.components.routing.placement import Placements
from banyanswitch.components.routing.plain_calls import PlainCalls
from banyanswitch.components.routing.pools import UpstreamPools
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.run_identity import RunIdentityCodec
from banyanswitch.interfaces import ConfigurationView, IdempotencyStore


async def async_setup(kernel: Kernel) -> None:
    """Provide `ModelRuns` and `PlainCalls`."""
    pools = UpstreamPools(kernel)
    failures = UpstreamFailures(kernel, pools)
    client = UpstreamClient()
    placements = Placements(
        kernel.require(ConfigurationView),
        pools,
        kernel.require(RunIdentityCodec),
        kernel.require(random.Random),
    )
    kernel.on_stop(DOMAIN, client.async_close)
    kernel.provide(UpstreamPools, pools)
    kernel.provide(Placements, placements)
    kernel.provide(
        ModelRuns, ModelRuns(placements, client, failures.note, kernel.bus.publish)
    )
    kernel.provide(
        PlainCalls,
        PlainCalls(placements, client, kernel.require(IdempotencyStore), failures.note),
    )


REGISTRY.register(
    DOMAIN,
    async_setup,
    depends_on=("configuration", "upstream_load", "idempotency"),
)
