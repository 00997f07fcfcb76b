"""Where a stream that its caller takes up again may go on."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from banyanswitch.identifiers import ServiceName


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version that began a stream."""

    service: ServiceName
    software_version: str


@dataclass(frozen=True, slots=True)
class OriginSearch:
    """Result of a search for the origin of a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        Origin, if it was found.
    is_complete : bool
        Whether all instances that might know it were reached, and the store confirmed
        that no upstream is missing from this instance's copy.
    """

    origin: StreamOrigin | None = None
    is_complete: bool = True


def origin_of_resumed_stream(
    search: OriginSearch,
    services: Collection[ServiceName],
    versions: Mapping[ServiceName, frozenset[str] | None],
) -> StreamOrigin | None:
    """Return the origin of a stream, or ``None`` if it can't go on for sure.

    Parameters
    ----------
    search : OriginSearch
        Origin that was noted when the stream began, if it was found.
    services : collection of ServiceName
        Services that the route uses now.
    versions : mapping of ServiceName to frozenset of str
        Software versions of each service that may have begun an unfinished stream;
        ``None`` if they are not known. After a complete search without a result, the
        stream goes on if a single version of a single service can have begun it.
    """
    if search.origin is not None:
        return search.origin if search.origin.service in services else None
    if not search.is_complete:
        return None
    possible: set[StreamOrigin] = set()
    for service in services:
        known = versions.get(service)
        if known is None:
            return None
        possible.update(StreamOrigin(service, version) for version in known)
    return possible.pop() if len(possible) == 1 else None
