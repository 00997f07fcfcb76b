"""Concurrent polls of upstreams."""

import asyncio
from collections.abc import Sequence

from banyanswitch.components.upstream_load.const import MAX_CONCURRENT_POLLS
from banyanswitch.components.upstream_load.poller import LoadPoller
from banyanswitch.config.models import Upstream
from banyanswitch.exceptions import UpstreamError
from banyanswitch.interfaces import UpstreamLoad


class Collector:
    """Poll upstreams with limited concurrency.

    Parameters
    ----------
    poller : LoadPoller
        Requests the load of one upstream.
    """

    def __init__(self, poller: LoadPoller) -> None:
        self._poller = poller
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_POLLS)
        self.polls = 0

    async def async_collect(self, upstreams: Sequence[Upstream]) -> list[UpstreamLoad]:
        """Return the loads of the upstreams that responded."""
        loads = await asyncio.gather(*(self._async_poll(u) for u in upstreams))
        return [load for load in loads if load is not None]

    async def _async_poll(self, upstream: Upstream) -> UpstreamLoad | None:
        async with self._slots:
            self.polls += 1
            now_s = asyncio.get_running_loop().time()
            try:
                return await self._poller.async_poll(upstream, now_s)
            except UpstreamError:
                return None
