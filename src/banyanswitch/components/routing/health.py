"""Ejection of failing upstreams, with slow start on their return."""

import asyncio
import random

import structlog

from banyanswitch.components.metrics.const import Counter
from banyanswitch.components.metrics.recorder import MetricRecorder
from banyanswitch.components.routing.pools import UpstreamPools
from banyanswitch.core import Kernel, callback
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)
WEIGHT_UPDATE_INTERVAL_S = 0.5
FULL_WEIGHT = 1.0


class UpstreamHealth:
    """Apply the upstream weights that the ejector computes to the pool.

    Parameters
    ----------
    kernel : Kernel
        Clock and task lifetimes.
    pools : UpstreamPools
        Receives the weight of each upstream.
    generator : random.Random
        Source of the jitter.
    """

    def __init__(
        self, kernel: Kernel, pools: UpstreamPools, generator: random.Random
    ) -> None:
        self._kernel = kernel
        self._pools = pools
        self._metrics = kernel.require(MetricRecorder)
        self._ejector = Ejector(EjectionPolicy(), generator)
        self._reduced_upstreams: set[UpstreamId] = set()
        kernel.create_task(self._async_update_weights(), "return of ejected upstreams")

    @callback
    def note_failure(self, upstream: UpstreamId) -> None:
        """Record that an upstream failed or could not be reached."""
        self._metrics.count(Counter.UPSTREAM_FAILURES)
        self._ejector.on_failure(upstream, self._kernel.now_s)
        self._apply_weight(upstream)

    @callback
    def note_success(self, upstream: UpstreamId) -> None:
        """Record that an upstream responded successfully."""
        self._ejector.on_success(upstream, self._kernel.now_s)

    async def _async_update_weights(self) -> None:
        while True:
            await asyncio.sleep(WEIGHT_UPDATE_INTERVAL_S)
            for upstream in tuple(self._reduced_upstreams):
                self._apply_weight(upstream)

    def _apply_weight(self, upstream: UpstreamId) -> None:
        weight = self._ejector.weight(upstream, self._kernel.now_s)
        if weight < FULL_WEIGHT and not self._pools.can_reduce_weight(upstream):
            weight = FULL_WEIGHT
        if weight >= FULL_WEIGHT:
            self._reduced_upstreams.discard(upstream)
        elif upstream not in self._reduced_upstreams:
            self._reduced_upstreams.add(upstream)
            LOGGER.warning("upstream_ejected", upstream=upstream)
        self._pools.set_weight(upstream, weight)
