"""Ejection of upstreams that fail, and their gradual return."""

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
RETURN_STEP_S = 0.5
FULL_WEIGHT = 1.0


class UpstreamHealth:
    """Apply the weights that the ejection decision gives to upstreams.

    Parameters
    ----------
    kernel : Kernel
        Clock and task lifetimes.
    pools : UpstreamPools
        Told of the weight of each upstream.
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
        self._reduced: set[UpstreamId] = set()
        kernel.create_task(self._async_return(), "return of ejected upstreams")

    @callback
    def note_failure(self, upstream: UpstreamId) -> None:
        """Take in that an upstream broke or could not be reached."""
        self._metrics.count(Counter.UPSTREAM_FAILURES)
        self._ejector.on_failure(upstream, self._kernel.now_s)
        self._apply(upstream)

    @callback
    def note_success(self, upstream: UpstreamId) -> None:
        """Take in that an upstream answered."""
        self._ejector.on_success(upstream, self._kernel.now_s)

    async def _async_return(self) -> None:
        while True:
            await asyncio.sleep(RETURN_STEP_S)
            for upstream in tuple(self._reduced):
                self._apply(upstream)

    def _apply(self, upstream: UpstreamId) -> None:
        weight = self._ejector.weight(upstream, self._kernel.now_s)
        if weight < FULL_WEIGHT and not self._pools.may_reduce(upstream):
            weight = FULL_WEIGHT
        if weight >= FULL_WEIGHT:
            self._reduced.discard(upstream)
        elif upstream not in self._reduced:
            self._reduced.add(upstream)
            LOGGER.warning("upstream_ejected", upstream=upstream)
        self._pools.set_weight(upstream, weight)
