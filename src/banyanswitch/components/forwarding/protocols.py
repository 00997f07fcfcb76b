"""Protocols through which forwarding meets the platform it runs on."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from banyanswitch.components.forwarding.models import (
    ForwardingConfiguration,
    RequestMetadata,
    ResponseMetadata,
    UpstreamRecord,
    UpstreamRequestPlan,
)
from banyanswitch.components.http1.models import AnswerHead, Header, Headers, Request
from banyanswitch.identifiers import UpstreamId


class RequestTranslator(Protocol):
    """Reads and writes the headers that carry meaning."""

    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Return what a caller's headers say."""

    def upstream_request(self, request: Request, plan: UpstreamRequestPlan) -> bytes:
        """Return the bytes to send to the upstream of a plan."""

    def read_response_metadata(self, head: AnswerHead) -> ResponseMetadata:
        """Return what an upstream's headers say."""

    def caller_headers(self, head: AnswerHead) -> Headers:
        """Return the headers of an upstream's answer that go to the caller."""

    def own_headers(
        self, metadata: RequestMetadata | None, retry_after_s: float | None
    ) -> list[Header]:
        """Return the headers of an answer that this system makes itself."""


class DocumentDecoder(Protocol):
    """Reads the rows that operators and upstreams write."""

    def configuration(self, value: bytes) -> ForwardingConfiguration | None:
        """Return a configuration, or ``None`` if the row holds none."""

    def target_weights(self, key: str, value: bytes) -> tuple[str, int] | None:
        """Return a model and the weight version named for it."""

    def upstream(self, key: str, value: bytes) -> UpstreamRecord | None:
        """Return an upstream, or ``None`` if the row names none to use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """State of an upstream's model server, as of some hundred ms ago.

    Parameters
    ----------
    orders_accepted : int
        Number of orders accepted since its start; guards the next order.
    is_busy : bool
        Whether an order is being carried out.
    """

    orders_accepted: int
    is_busy: bool
    weight_versions: Mapping[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadOrder:
    """Order to load a weight version.

    Parameters
    ----------
    orders_accepted : int
        Number that the upstream must have accepted before, else it refuses.
    """

    upstream: UpstreamId
    model: str
    version: int
    holder: str
    fencing_token: int
    orders_accepted: int


class EngineClient(Protocol):
    """Reports of and orders to model servers."""

    async def async_report(self, address: str) -> EngineReport:
        """Return the state of a model server.

        Raises
        ------
        UpstreamError
            If none came.
        """

    async def async_order_load(self, address: str, order: LoadOrder) -> bool:
        """Order a load; return whether it was accepted or holds already.

        Raises
        ------
        FencedError
            If a higher fencing token has been used.
        UpstreamError
            If it is unknown whether the order was accepted.
        """


@dataclass(frozen=True, slots=True)
class PartEvent:
    """A part of a prompt that is kept from now on, or no longer."""

    is_stored: bool
    salt: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PartEvents:
    """Answer to a call for events.

    Parameters
    ----------
    epoch : int
        Changes when the keeper starts again.
    next_event : int
        Where the next call goes on.
    has_gap : bool
        Whether events before these are lost.
    clock_ms : int or None
        The upstreams' clock when this was answered.
    """

    epoch: int
    next_event: int
    has_gap: bool
    events: tuple[PartEvent, ...]
    clock_ms: int | None


class PartStoreClient(Protocol):
    """Calls to the stores of KV cache."""

    async def async_events(self, address: str, since: int, wait_s: float) -> PartEvents:
        """Return events, after at most ``wait_s`` seconds without any.

        Raises
        ------
        UpstreamError
            If no answer came.
        """

    async def async_list(self, address: str) -> PartEvents:
        """Return all complete parts as if each had just been kept."""

    async def async_free(
        self, address: str, epoch: int, parts: Sequence[tuple[str, str]]
    ) -> bool:
        """Free parts, each a salt and a name; return whether it was done."""
