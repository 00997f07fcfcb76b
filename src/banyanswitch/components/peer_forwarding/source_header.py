"""Header that names the upstream whose response an instance relays to another one."""

from banyanswitch.components.http1.models import Header, Headers, header_value
from banyanswitch.components.peer_forwarding.const import HEADER_SOURCE
from banyanswitch.identifiers import UpstreamId

SEPARATOR = b" "


def encode_source(name: str, started_at_ms: int) -> tuple[Header, ...]:
    """Return the header for a start of an upstream, in Unix milliseconds."""
    return ((HEADER_SOURCE, b"%d %b" % (started_at_ms, name.encode())),)


def decode_source(headers: Headers) -> tuple[UpstreamId, int] | None:
    """Return the name and the start time; ``None`` without a valid header."""
    value = header_value(headers, HEADER_SOURCE.lower())
    if value is None:
        return None
    started_at_ms, _, name = value.strip().partition(SEPARATOR)
    if not started_at_ms.isdigit() or not name:
        return None
    return UpstreamId(name.decode("utf-8", "replace")), int(started_at_ms)


def without_source(headers: Headers) -> Headers:
    """Return the headers for a caller, who must not see the upstream's name."""
    return tuple(h for h in headers if h[0].lower() != HEADER_SOURCE.lower())
