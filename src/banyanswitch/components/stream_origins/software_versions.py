"""Software versions that may have begun a stream which is not finished."""

import asyncio

from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.stream_origins.const import STREAM_LIFETIME_S
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName


class SoftwareVersions:
    """Software versions of each service, with those that have just left.

    Parameters
    ----------
    registry : UpstreamRegistry
        The upstreams, and when the last one of each version left.
    """

    def __init__(self, registry: UpstreamRegistry) -> None:
        self._registry = registry
        self._loop = asyncio.get_running_loop()

    @callback
    def possible(self, service: ServiceName) -> frozenset[str] | None:
        """Return the versions that may have begun an unfinished stream.

        ``None`` means that they are not known: this instance has not followed the
        upstreams for as long as a stream may last.
        """
        since_s = self._loop.time() - STREAM_LIFETIME_S
        followed_since_s = self._registry.followed_since_s
        if followed_since_s is None or followed_since_s > since_s:
            return None
        return self._registry.software_versions(service, since_s)
