"""Routing of model runs and plain calls to upstreams."""

import random

from banyanswitch.components.routing.const import DOMAIN
from banyanswitch.components.routing.health import UpstreamHealth
from banyanswitch.components.routing.model_runs import ModelRuns
from banyanswitch.components.routing.placement import AttemptPlacer
from banyanswitch.components.routing.plain_calls import PlainCalls
from banyanswitch.components.routing.pools import UpstreamPools
from banyanswitch.components.routing.retries import ServiceRetriers
from banyanswitch.components.routing.upstream_client import UpstreamClient
from banyanswitch.components.routing.watchdog import StreamWatchdog
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.run_identity import RunIdentityCodec
from banyanswitch.interfaces import ConfigurationView, IdempotencyStore


async def async_setup(kernel: Kernel) -> None:
    """Provide `ModelRuns`, `PlainCalls` and the objects they share."""
    pools = UpstreamPools(kernel)
    generator = kernel.require(random.Random)
    health = UpstreamHealth(kernel, pools, generator)
    retries = ServiceRetriers(generator)
    client = UpstreamClient()
    placer = AttemptPlacer(
        kernel.require(ConfigurationView),
        pools,
        kernel.require(RunIdentityCodec),
        generator,
    )
    watchdog = StreamWatchdog(kernel)
    kernel.provide(StreamWatchdog, watchdog)
    kernel.on_stop(DOMAIN, client.async_close)
    kernel.provide(UpstreamPools, pools)
    kernel.provide(AttemptPlacer, placer)
    kernel.provide(
        ModelRuns,
        ModelRuns(
            kernel,
            placer,
            client,
            health=health,
            retries=retries,
            watchdog=watchdog,
        ),
    )
    kernel.provide(
        PlainCalls,
        PlainCalls(
            placer, client, kernel.require(IdempotencyStore), health.note_failure
        ),
    )


REGISTRY.register(
    DOMAIN,
    async_setup,
    depends_on=("configuration", "upstream_load", "idempotency", "metrics"),
)
