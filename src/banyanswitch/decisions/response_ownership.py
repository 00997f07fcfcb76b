"""Decision which request a response on a shared connection belongs to."""

from enum import Enum


class Ownership(Enum):
    """Relation of a response to the request that awaits one.

    ``OTHER`` is the response to another request, such as a second one that an upstream
    sends late.
    """

    OWN = "own"
    OTHER = "other"


def response_ownership(awaited: bytes, named: bytes | None) -> Ownership:
    """Return whether a response belongs to the request that awaits one.

    Parameters
    ----------
    awaited : bytes
        Identifier of the request that was sent last on the connection.
    named : bytes or None
        Identifier in the response, if it has one.
    """
    if named is None or named == awaited:
        return Ownership.OWN
    return Ownership.OTHER
