"""Decision which request a response on a shared connection belongs to."""

from enum import Enum


class Ownership(Enum):
    """Relation of a response to the request that awaits one.

    ``OTHER`` is the response to another request, such as a second one that an upstream
    sends late. ``UNKNOWN`` may be either.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


def response_ownership(
    awaited: bytes, named: bytes | None, *, is_first_request: bool
) -> Ownership:
    """Return whether a response belongs to the request that awaits one.

    Parameters
    ----------
    awaited : bytes
        Identifier of the request that was sent last on the connection.
    named : bytes or None
        Identifier in the response, if it has one.
    is_first_request : bool
        Whether no other request was sent on the connection before.
    """
    if named is None:
        return Ownership.OWN if is_first_request else Ownership.UNKNOWN
    return Ownership.OWN if named == awaited else Ownership.OTHER
