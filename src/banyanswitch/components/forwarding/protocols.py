"""Protocols that a platform implements for forwarding."""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from banyanswitch.components.forwarding.models import (
    ForwardingConfiguration,
    RequestMetadata,
    ResponseMetadata,
    UpstreamRecord,
    UpstreamRequestPlan,
)
from banyanswitch.components.forwarding.request_content import RequestContent
from banyanswitch.components.http1.models import Header, Headers, Request, ResponseHead
from banyanswitch.decisions.part_quarantine import Combination
from banyanswitch.decisions.stream_resumption import OriginSearch, StreamOrigin
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId


class RequestAdmission(Protocol):
    """Decision on which new requests this instance accepts."""

    def accepts(self, limit_s: float, *, is_call_once: bool) -> bool:
        """Return whether a request is accepted.

        Parameters
        ----------
        limit_s : float
            Time in which the request must be answered, in seconds.
        is_call_once : bool
            Whether the request is a call, not a stream, that must not run twice.
        """


class PartGuard(Protocol):
    """Knowledge of prompt parts and requests that must not be sent to upstreams."""

    def withheld(self, content: RequestContent) -> list[Combination]:
        """Return the withheld combinations of parts that a request has."""

    def retry_after_s(self, parts: Combination) -> float:
        """Return the time until withheld parts are tried again, in seconds."""

    async def async_try(self, content: RequestContent) -> Combination | None:
        """Return the withheld parts that this one request may try, if any."""

    def note_broken(
        self,
        record: UpstreamRecord,
        content: RequestContent,
        response_age_s: float | None,
    ) -> None:
        """Record that an upstream broke off a request.

        Parameters
        ----------
        response_age_s : float or None
            Time since the response began, in seconds; ``None`` if it had not.
        """

    def note_served(
        self,
        content: RequestContent,
        record: UpstreamRecord,
        sent_at_s: float,
        *,
        has_read_parts: bool,
    ) -> None:
        """Record that an upstream has run a request and answered it.

        Parameters
        ----------
        sent_at_s : float
            Loop time at which the request was sent to it.
        has_read_parts : bool
            Whether it has read the parts of the prompt, and not only the request.
        """


class LoadSource(Protocol):
    """Source of the upstreams' loads in a large fleet."""

    def is_needed(self) -> bool:
        """Return whether loads must be looked up for each request."""

    async def async_refresh(
        self, upstreams: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        """Look up the load of some upstreams; return those that it is known of."""


class RequestTranslator(Protocol):
    """Translates requests and responses between callers and upstreams."""

    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Return the metadata in a caller's headers."""

    def upstream_request(self, request: Request, plan: UpstreamRequestPlan) -> bytes:
        """Return the encoded request for the upstream of a plan."""

    def peer_request(
        self,
        request: Request,
        *,
        time_left_s: float,
        resume_after: bytes | None,
        more_headers: Sequence[Header],
    ) -> bytes:
        """Return the encoded request for another instance.

        Parameters
        ----------
        resume_after : bytes or None
            Identifier of the last event that the caller received in this attempt.
        """

    def read_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata in an upstream's response headers."""

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the upstream's response headers that are passed to the caller."""

    def generated_headers(
        self, metadata: RequestMetadata | None, retry_after_s: float | None
    ) -> list[Header]:
        """Return the headers of a response that is generated here."""


class StreamOrigins(Protocol):
    """Origins of the streams that callers may take up again."""

    def note(self, stream: bytes, origin: StreamOrigin) -> None:
        """Remember the origin of a stream, by the attempt that began it."""

    async def async_find(self, stream: bytes) -> OriginSearch:
        """Search for the origin of a stream."""


class ServiceVersions(Protocol):
    """Software versions of the services."""

    def possible(self, service: ServiceName) -> frozenset[str] | None:
        """Return the versions that may have begun an unfinished stream.

        ``None`` means that they are not known.
        """

    async def async_confirm(self, services: Collection[ServiceName]) -> bool:
        """Return whether no version of the services is missing from `possible`."""


class DocumentDecoder(Protocol):
    """Decodes the table rows that operators and upstreams write."""

    def configuration(self, value: bytes) -> ForwardingConfiguration | None:
        """Return the configuration in a row, or ``None`` if there is none."""

    def target_weights(self, key: str, value: bytes) -> tuple[str, int] | None:
        """Return a model and its target weight version.

        ``None`` means that the row contains none.
        """

    def evacuated_domain(self, key: str) -> FailureDomainId | None:
        """Return the failure domain that a row evacuates.

        ``None`` means that the row is of another kind.
        """

    def upstream(self, key: str, value: bytes) -> UpstreamRecord | None:
        """Return the upstream in a row, or ``None`` if the row is unusable."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReport:
    """State of an upstream's model server, up to some hundred ms old.

    Parameters
    ----------
    orders_accepted : int
        Number of orders accepted since its start; the next order must contain this
        number.
    is_busy : bool
        Whether an order is being executed.
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
        Number of orders that the upstream must have accepted before; with another
        number it rejects the order.
    send_by_s : callable
        Returns the loop time until which the order may be sent; in the past once its
        fencing token is no longer valid.
    """

    upstream: UpstreamId
    model: str
    version: int
    holder: str
    fencing_token: int
    orders_accepted: int
    send_by_s: Callable[[], float]


class EngineClient(Protocol):
    """Client of model servers for state reports and load orders."""

    async def async_report(self, address: str) -> EngineReport:
        """Return the state of a model server.

        Raises
        ------
        UpstreamError
            If no report was received.
        """

    async def async_order_load(self, address: str, order: LoadOrder) -> bool:
        """Order a load; return whether it was accepted or is already in effect.

        Raises
        ------
        FencedError
            If the upstream has seen a higher fencing token.
        UpstreamNotSentError
            If the order was not sent, for example as no connection was made in time.
        UpstreamError
            If it is unknown whether the order was accepted.
        """


@dataclass(frozen=True, slots=True)
class PartEvent:
    """Event that a store added or removed a prompt part."""

    is_stored: bool
    salt: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PartEvents:
    """Response to an event request.

    Parameters
    ----------
    epoch : int
        Epoch of the store; changes when the store restarts.
    next_event : int
        Sequence number from which the next request continues.
    has_gap : bool
        Whether earlier events are missing.
    clock_ms : int or None
        Time of the response on the upstreams' clock, in milliseconds.
    """

    epoch: int
    next_event: int
    has_gap: bool
    events: tuple[PartEvent, ...]
    clock_ms: int | None


class PartStoreClient(Protocol):
    """Client of the KV cache stores."""

    async def async_events(
        self, address: str, epoch: int, since: int, wait_s: float
    ) -> PartEvents:
        """Return events, waiting at most ``wait_s`` seconds for the first one.

        Parameters
        ----------
        epoch : int
            Epoch of ``since``; events of another one begin anew.
        since : int
            Sequence number after which the events begin.

        Raises
        ------
        UpstreamError
            If no response was received.
        """

    async def async_list(self, address: str) -> PartEvents:
        """Return all complete parts, each as an event that reports it as stored."""

    async def async_free(
        self,
        address: str,
        epoch: int,
        parts: Sequence[tuple[str, str]],
        send_by_s: Callable[[], float],
    ) -> bool:
        """Free parts, given as salt and name; return whether the store accepted.

        ``send_by_s`` returns the loop time until which the call may be sent.

        Raises
        ------
        UpstreamNotSentError
            If the call was not sent, for example as no connection was made in time.
        UpstreamError
            If it is unknown whether the store accepted.
        """
