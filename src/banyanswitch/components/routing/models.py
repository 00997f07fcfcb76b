"""Data classes, errors and protocols of routing."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

import aiohttp

from banyanswitch.decisions.placement import Place, PlacementRequest
from banyanswitch.exceptions import UpstreamError
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import RunId


class UpstreamDeclinedError(UpstreamError):
    """An upstream reported that it did not run the request.

    Parameters
    ----------
    code : str
        Reason reported by the upstream, for example ``leaving``.
    """

    def __init__(self, code: str) -> None:
        super().__init__(f"the upstream declined: {code}")
        self.code = code


class UpstreamRejectedError(UpstreamError):
    """An upstream answered with status 4xx and without a code of ``NOT_RUN_CODES``.

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
        Recommended delay before a retry, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("all upstreams are busy")
        self.retry_after_s = retry_after_s


class RunLostError(UpstreamError):
    """A run can't be continued, or the wait for its first event was ended."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to serve a request at one upstream.

    Parameters
    ----------
    url : str
        Base URL of the upstream.
    """

    run_id: RunId
    identity: RunIdentity
    place: Place
    request: PlacementRequest
    url: str


@dataclass(frozen=True, slots=True)
class PromptServed:
    """Bus message: an upstream returned the first token for a prompt.

    Parameters
    ----------
    attempt : Attempt
        Attempt that served the prompt, with its upstream and piece hashes.
    cached_pieces : int
        Number of pieces that the upstream had in its cache.
    """

    attempt: Attempt
    cached_pieces: int


class PrefixImporter(Protocol):
    """Imports stored prefixes into upstreams."""

    async def async_import(self, attempt: Attempt) -> bool:
        """Run the import that a placement requires.

        Returns
        -------
        is_imported : bool
            Whether the upstream now holds the verified prefix. Otherwise the
            upstream computes it.
        """


@dataclass(frozen=True, slots=True)
class OpenRun:
    """A run whose identity the upstream has confirmed.

    Parameters
    ----------
    cached_pieces : int
        Number of prompt pieces that the upstream had in its cache.
    """

    attempt: Attempt
    response: aiohttp.ClientResponse
    cached_pieces: int


@dataclass(frozen=True, slots=True)
class StreamTarget:
    """A run and its upstream.

    Parameters
    ----------
    url : str
        Base URL of the upstream.
    identity : RunIdentity
        Identity that each response must confirm.
    """

    url: str
    run_id: RunId
    identity: RunIdentity


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A complete response of an upstream. The identity in its headers was checked."""

    status: int
    content_type: str
    body: bytes
    run_id: RunId


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """One HTTP request to an upstream."""

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = field(default=b"", repr=False)
