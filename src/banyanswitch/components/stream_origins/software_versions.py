"""Software versions that may have begun a stream which is not finished."""

import asyncio
from collections.abc import Collection
from typing import Protocol

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.stream_origins.const import STREAM_LIFETIME_S
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName


class StoredVersions(Protocol):
    """Software versions that are stored across restarts."""

    def versions(self, service: ServiceName) -> frozenset[str] | None:
        """Return the stored versions of a service; ``None`` until they are read."""


class EntryConfirmation(Protocol):
    """Check whether the copy of the upstreams' entries is behind the store."""

    async def async_confirm(self) -> bool:
        """Apply all present changes; return whether the store answered in time."""


class AmbiguousVersions(Protocol):
    """Services with streams that more than one software version may have begun."""

    def ambiguous(self) -> frozenset[ServiceName]:
        """Return the services of which several versions may have begun a stream."""

    def are_known(self) -> bool:
        """Return whether the versions of all services are known."""


class SoftwareVersions:
    """Software versions of each service, with those that have just left.

    Parameters
    ----------
    registry : UpstreamRegistry
        The upstreams, and when the last one of each version left.
    stored : StoredVersions
        The versions before this instance has started.
    routing : RoutingState
        Routes, which tell the services of streams that may be resumed.
    confirmation : EntryConfirmation
        Reads the entries that this instance lacks.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        stored: StoredVersions,
        routing: RoutingState,
        confirmation: EntryConfirmation,
    ) -> None:
        self._registry = registry
        self._stored = stored
        self._routing = routing
        self._confirmation = confirmation
        self._loop = asyncio.get_running_loop()

    @callback
    def possible(self, service: ServiceName) -> frozenset[str] | None:
        """Return the versions that may have begun an unfinished stream.

        An instance that has not followed the upstreams without a gap for as long as a
        stream may last adds the stored versions. ``None`` means that it has not read
        these since either.
        """
        since_s = self._loop.time() - STREAM_LIFETIME_S
        followed_since_s = self._registry.followed_since_s
        if followed_since_s is None:
            return None
        known = self._registry.software_versions(service, since_s)
        if followed_since_s <= since_s:
            return known
        stored = self._stored.versions(service)
        return None if stored is None else known | stored

    async def async_confirm(self, services: Collection[ServiceName]) -> bool:
        """Return whether `possible` lacks no version that serves now.

        The store is asked only if a single version would be returned otherwise.
        """
        possible = [self.possible(service) for service in services]
        if None in possible or sum(len(versions or ()) for versions in possible) > 1:
            return True
        return await self._confirmation.async_confirm()

    @callback
    def ambiguous(self) -> frozenset[ServiceName]:
        """Return the services of which several versions may have begun a stream."""
        return frozenset(
            service
            for service in self._routing.resumable_services()
            if len(self.possible(service) or ()) > 1
        )

    @callback
    def are_known(self) -> bool:
        """Return whether the versions of all services are known."""
        services = self._routing.resumable_services()
        return all(self.possible(service) is not None for service in services)
