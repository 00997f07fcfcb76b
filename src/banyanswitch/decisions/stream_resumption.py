"""Where a stream that its caller takes up again may go on."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from banyanswitch.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version that began a stream."""

    service: ServiceName
    software_version: str


def origin_of_resumed_stream(
    noted: StreamOrigin | None,
    services: Collection[ServiceName],
    versions: Mapping[ServiceName, frozenset[str] | None],
) -> StreamOrigin | None:
    """Return the origin of a stream, or ``None`` if it can't go on for sure.

    Parameters
    ----------
    noted : StreamOrigin or None
        Origin that was noted when the stream began, if it was found.
    services : collection of ServiceName
        Services that the route uses now.
    versions : mapping of ServiceName to frozenset of str
        Software versions of each service that may have begun an unfinished stream;
        ``None`` if they are not known. Without a noted origin, the stream goes on only
        if a single version of a single service can have begun it.
    """
    if noted is not None:
        return noted if noted.service in services else None
    possible: set[StreamOrigin] = set()
    for service in services:
        known = versions.get(service)
        if known is None:
            return None
        possible.update(StreamOrigin(service, version) for version in known)
    return possible.pop() if len(possible) == 1 else None
