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
    """Update the cache view from the cache events of upstreams.

    An instance polls all upstreams of model services if there are at most
    ``MAX_POLLED_UPSTREAMS``, otherwise only those it used most recently, so that its
    load does not grow with the number of upstreams. A gap in the sequence numbers or
    a restart of the sequence leads to a read of all keys. A restart is noticed only
    if the newest sequence number is below the last one read.

    Parameters
    ----------
    cache_view : CacheView
        View that the events are applied to.
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
        self._recently_used: OrderedDict[UpstreamId, None] = OrderedDict()
        self._sequences: dict[UpstreamId, int] = {}

    def note_used(self, upstream: UpstreamId) -> None:
        """Record that this instance used an upstream."""
        self._recently_used[upstream] = None
        self._recently_used.move_to_end(upstream)
        while len(self._recently_used) > MAX_POLLED_UPSTREAMS:
            self._recently_used.popitem(last=False)

    async def async_run(self) -> None:
        """Poll the upstreams until cancelled."""
        while True:
            upstreams = self._polled_upstreams()
            interval_s = max(EVENTS_INTERVAL_S, len(upstreams) / MAX_EVENT_READS_PER_S)
            await asyncio.sleep(interval_s)
            await asyncio.gather(*(self.async_poll(each) for each in upstreams))

    async def async_poll(self, upstream: Upstream) -> None:
        """Read the new events of one upstream and apply them."""
        after = self._sequences.get(upstream.name, NO_SEQUENCE)
        try:
            response = await self._engines.async_events(upstream.url, after)
            if not self._apply_events(upstream.name, after, response):
                await self._async_resync(upstream)
        except TransferError as error:
            LOGGER.debug(
                "cache_events_not_read", upstream=upstream.name, reason=str(error)
            )

    def _apply_events(
        self, upstream: UpstreamId, after: int, response: EngineEvents
    ) -> bool:
        """Apply events; return whether they continue the sequence without a gap."""
        if response.newest_sequence < after:
            LOGGER.info("cache_sequence_restarted", upstream=upstream)
            self._cache_view.remove_upstream(upstream)
            return False
        events = [
            CacheEvent(event.sequence, event.kind, event.key)
            for event in response.events
        ]
        if self._cache_view.apply_events(upstream, events, _now_s()) is not None:
            LOGGER.info("cache_events_missing", upstream=upstream, after=after)
            return False
        if events:
            self._sequences[upstream] = max(event.sequence for event in events)
        return True

    async def _async_resync(self, upstream: Upstream) -> None:
        response = await self._engines.async_keys(upstream.url)
        self._cache_view.resync(
            upstream.name, response.keys, response.sequence, _now_s()
        )
        self._sequences[upstream.name] = response.sequence

    def _polled_upstreams(self) -> list[Upstream]:
        upstreams = [
            upstream
            for service in self._configuration.services()
            if service.kind is ServiceKind.MODEL
            for upstream in self._configuration.upstreams(service.name)
        ]
        if len(upstreams) <= MAX_POLLED_UPSTREAMS:
            return upstreams
        return [
            upstream for upstream in upstreams if upstream.name in self._recently_used
        ]


def _now_s() -> float:
    return asyncio.get_running_loop().time()
