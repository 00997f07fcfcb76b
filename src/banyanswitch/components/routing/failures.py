"""Ejection of upstreams that fail, and their gradual return."""

import asyncio

from banyanswitch.components.routing.pools import UpstreamPools
from banyanswitch.core import Kernel, callback
from banyanswitch.identifiers import UpstreamId

EJECTION_S = 2.0
RETURN_WEIGHTS = (0.25, 0.5, 1.0)


class UpstreamFailures:
    """Keep work from upstreams that fail, then let it return step by step.

    Parameters
    ----------
    kernel : Kernel
        Runs the timers.
    pools : UpstreamPools
        Told of the weight of each upstream.
    """

    def __init__(self, kernel: Kernel, pools: UpstreamPools) -> None:
        self._kernel = kernel
        self._pools = pools
        self._ejected: set[UpstreamId] = set()

    @callback
    def note(self, upstream: UpstreamId) -> None:
        """Take in that an upstream broke or could not be reached."""
        if upstream in self._ejected:
            return
        self._ejected.add(upstream)
        self._pools.set_weight(upstream, 0.0)
        self._kernel.create_task(self._async_return(upstream), f"return of {upstream}")

    async def _async_return(self, upstream: UpstreamId) -> None:
        await asyncio.sleep(EJECTION_S)
        self._ejected.discard(upstream)
        for weight in RETURN_WEIGHTS:
            if upstream in self._ejected:
                return
            self._pools.set_weight(upstream, weight)
            await asyncio.sleep(EJECTION_S)
