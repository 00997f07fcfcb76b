"""Messages about origins between instances."""

import msgspec


class StreamBegan(msgspec.Struct, frozen=True, array_like=True):
    """A stream has begun, and this is its origin.

    Parameters
    ----------
    stream : bytes
        Attempt that brought its first event.
    """

    stream: bytes
    service: str
    software_version: str


class OriginQuestion(msgspec.Struct, frozen=True, array_like=True):
    """Question for the origin of a stream.

    Parameters
    ----------
    peer_address : str
        Address to answer to.
    """

    stream: bytes
    peer_address: str


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a question.

    Parameters
    ----------
    peer_address : str
        Address of the instance that answers.
    origin : tuple of str, optional
        Service and software version, if the instance knows them.
    """

    stream: bytes
    peer_address: str
    origin: tuple[str, str] | None = None


class StoredOrigins(msgspec.Struct, frozen=True):
    """Row of one instance in the table service.

    Parameters
    ----------
    streams : dict of str to dict of str to list of str
        Attempts that brought the first event of a stream, by service and software
        version.
    """

    streams: dict[str, dict[str, list[str]]]
