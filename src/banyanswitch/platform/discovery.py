"""Address look-ups by callers and readiness checks by the platform."""

from collections.abc import Sequence
from urllib.parse import parse_qs

import msgspec

from banyanswitch.identifiers import FailureDomainId
from banyanswitch.platform.const import PATH_READINESS, PATH_RESOLVE

CONTENT_TYPE_JSON = (b"Content-Type", b"application/json")


class _Addresses(msgspec.Struct, frozen=True):
    addresses: list[str]
    ttlS: float  # noqa: N815


class PlatformDiscoveryCodec:
    """Implementation of ``DiscoveryCodec`` for the platform's paths."""

    def is_readiness(self, path: bytes) -> bool:
        """Return whether ``path`` is the path of the readiness check."""
        return path == PATH_READINESS.encode()

    def read_resolve(self, target: bytes) -> tuple[str, FailureDomainId] | None:
        """Return the host and the caller's failure domain of an address look-up.

        Returns ``None`` if the request is no address look-up.
        """
        path, _, query = target.decode("latin-1").partition("?")
        if path != PATH_RESOLVE:
            return None
        values = parse_qs(query)
        host = values.get("name", [""])[0]
        return host.lower(), FailureDomainId(values.get("zone", [""])[0])

    def addresses(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Encode the response to an address look-up."""
        return msgspec.json.encode(_Addresses(list(addresses), ttl_s))
