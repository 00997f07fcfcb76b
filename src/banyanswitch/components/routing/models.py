"""Typed values of routing."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

import aiohttp

from banyanswitch.decisions.placement import Place, PlacementRequest
from banyanswitch.exceptions import UpstreamError
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import RunId


class UpstreamDeclinedError(UpstreamError):
    """An upstream answered that it did not run the request.

    Parameters
    ----------
    code : str
        Why, for example ``leaving``.
    """

    def __init__(self, code: str) -> None:
        super().__init__(f"the upstream declined: {code}")
        self.code = code


class UpstreamRejectedError(UpstreamError):
    """An upstream found the request itself wrong.

    Parameters
    ----------
    status : int
        HTTP status from 400 to 499.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the upstream answered with status {status}")
        self.status = status


class UpstreamsBusyError(UpstreamError):
    """All upstreams that could take a request are full.

    Parameters
    ----------
    retry_after_s : float
        Time after which another try makes sense, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("all upstreams are busy")
        self.retry_after_s = retry_after_s


class RunLostError(UpstreamError):
    """A run that had begun to stream can't be continued."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of a request at one upstream."""

    run_id: RunId
    identity: RunIdentity
    place: Place
    request: PlacementRequest
    url: str


@dataclass(frozen=True, slots=True)
class PromptServed:
    """Bus message: an upstream gave the first token for a prompt.

    Parameters
    ----------
    attempt : Attempt
        Where it ran, with the hashes of its pieces.
    cached_pieces : int
        Pieces that the upstream had in its cache.
    """

    attempt: Attempt
    cached_pieces: int


class PrefixImporter(Protocol):
    """Imports stored prefixes to upstreams."""

    async def async_import(self, attempt: Attempt) -> bool:
        """Carry out the import that a placement asks for.

        Returns
        -------
        is_imported : bool
            Whether the upstream holds the verified prefix now; otherwise the
            upstream computes it.
        """


@dataclass(frozen=True, slots=True)
class OpenRun:
    """A run whose identity the upstream has confirmed.

    Parameters
    ----------
    cached_pieces : int
        Pieces of the prompt that the upstream had in its cache.
    """

    attempt: Attempt
    response: aiohttp.ClientResponse
    cached_pieces: int


@dataclass(frozen=True, slots=True)
class StreamTarget:
    """A run and the upstream that has it.

    Parameters
    ----------
    url : str
        Base URL of the upstream.
    identity : RunIdentity
        What each answer must confirm.
    """

    url: str
    run_id: RunId
    identity: RunIdentity


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer of an upstream, identity confirmed."""

    status: int
    content_type: str
    body: bytes
    run_id: RunId


@dataclass(frozen=True, slots=True)
class OutgoingCall:
    """One HTTP request to an upstream."""

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = field(default=b"", repr=False)
