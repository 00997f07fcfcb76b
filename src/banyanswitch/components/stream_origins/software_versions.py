"""Software versions that may have begun a stream which is not finished."""

import asyncio
from typing import Protocol

from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.stream_origins.const import STREAM_LIFETIME_S
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName


class StoredVersions(Protocol):
    """Software versions that are stored across restarts."""

    def versions(self, service: ServiceName) -> frozenset[str] | None:
        """Return the stored versions of a service; ``None`` until they are read."""


class SoftwareVersions:
    """Software versions of each service, with those that have just left.

    Parameters
    ----------
    registry : UpstreamRegistry
        The upstreams, and when the last one of each version left.
    stored : StoredVersions
        The versions before this instance has started.
    """

    def __init__(self, registry: UpstreamRegistry, stored: StoredVersions) -> None:
        self._registry = registry
        self._stored = stored
        self._loop = asyncio.get_running_loop()

    @callback
    def possible(self, service: ServiceName) -> frozenset[str] | None:
        """Return the versions that may have begun an unfinished stream.

        An instance that has not followed the upstreams for as long as a stream may last
        adds the stored versions. ``None`` means that it has not read these either.
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
