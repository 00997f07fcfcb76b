"""Polling of the cache events of upstreams."""

import asyncio
from collections import OrderedDict
from typing import Final

import structlog

from banyanswitch.components.kv_cache.const import (
    EVENTS_INTERVAL_S,
    MAX_EVENT_READS_PER_S,
    MAX_POLLED_UPSTREAMS,
)
from banyanswitch.components.kv_cache.engine_client import (
    EngineCacheClient,
    EngineEvents,
)
from banyanswitch.components.kv_cache.errors import TransferError
from banyanswitch.config.models import ServiceKind, Upstream
from banyanswitch.decisions.cache_view import CacheEvent, CacheView
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import ConfigurationView

LOGGER = structlog.get_logger(__name__)

NO_SEQUENCE: Final = 0


class CacheEventPoller:
    """Keep the cache view up to date from the events of some upstreams.

    An instance polls all upstreams if they are few, else those it used last, so
    that its cost does not grow with the number of upstreams. A gap in the sequence
    numbers, or a sequence that starts again, leads to a read of all keys.

    Parameters
    ----------
    cache_view : CacheView
        Takes the events.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        engines: EngineCacheClient,
        cache_view: CacheView,
    ) -> None:
        self._configuration = configuration
        self._engines = engines
        self._cache_view = cache_view
        self._used: OrderedDict[UpstreamId, None] = OrderedDict()
        self._sequences: dict[UpstreamId, int] = {}

    def note_used(self, upstream: UpstreamId) -> None:
        """Note that this instance uses an upstream."""
        self._used[upstream] = None
        self._used.move_to_end(upstream)
        while len(self._used) > MAX_POLLED_UPSTREAMS:
            self._used.popitem(last=False)

    async def async_run(self) -> None:
        """Poll until cancelled."""
        while True:
            upstreams = self._polled()
            interval_s = max(EVENTS_INTERVAL_S, len(upstreams) / MAX_EVENT_READS_PER_S)
            await asyncio.sleep(interval_s)
            await asyncio.gather(*(self.async_poll(each) for each in upstreams))

    async def async_poll(self, upstream: Upstream) -> None:
        """Read and take over the new events of one upstream."""
        after = self._sequences.get(upstream.name, NO_SEQUENCE)
        try:
            answer = await self._engines.async_events(upstream.url, after)
            if not self._take(upstream.name, after, answer):
                await self._async_resync(upstream)
        except TransferError as error:
            LOGGER.debug(
                "cache_events_not_read", upstream=upstream.name, reason=str(error)
            )

    def _take(self, upstream: UpstreamId, after: int, answer: EngineEvents) -> bool:
        """Take events over; return whether they follow those taken before."""
        if answer.newest_sequence < after:
            LOGGER.info("cache_sequence_restarted", upstream=upstream)
            self._cache_view.remove_upstream(upstream)
            return False
        events = [
            CacheEvent(event.sequence, event.kind, event.key) for event in answer.events
        ]
        if self._cache_view.apply_events(upstream, events, _now_s()) is not None:
            LOGGER.info("cache_events_missing", upstream=upstream, after=after)
            return False
        if events:
            self._sequences[upstream] = max(event.sequence for event in events)
        return True

    async def _async_resync(self, upstream: Upstream) -> None:
        answer = await self._engines.async_keys(upstream.url)
        self._cache_view.resync(upstream.name, answer.keys, answer.sequence, _now_s())
        self._sequences[upstream.name] = answer.sequence

    def _polled(self) -> list[Upstream]:
        upstreams = [
            upstream
            for service in self._configuration.services()
            if service.kind is ServiceKind.MODEL
            for upstream in self._configuration.upstreams(service.name)
        ]
        if len(upstreams) <= MAX_POLLED_UPSTREAMS:
            return upstreams
        return [upstream for upstream in upstreams if upstream.name in self._used]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
