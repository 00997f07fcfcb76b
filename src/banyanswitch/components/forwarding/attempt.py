"""Attempt of a request at one upstream."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from banyanswitch.components.forwarding.const import ONCE_MAX_IDLE_S
from banyanswitch.components.forwarding.models import (
    Repeatability,
    RequestMetadata,
    ResponseMetadata,
    Route,
)
from banyanswitch.components.forwarding.placement import PlacementResult
from banyanswitch.components.forwarding.protocols import RequestTranslator
from banyanswitch.components.forwarding.response_notes import ResponseNotes
from banyanswitch.components.forwarding.response_relay import (
    FIRST_CLIENT_ERROR_STATUS,
    ResponseBody,
    ResponseProgress,
    ResponseRelay,
)
from banyanswitch.components.forwarding.start_limits import StartLimits
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import (
    DEFAULT_MAX_IDLE_S,
)
from banyanswitch.components.http1.models import (
    BodyFraming,
    Headers,
    Request,
    ResponseHead,
)
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.decisions.response_ownership import Ownership, response_ownership
from banyanswitch.exceptions import (
    NotRunError,
    StartTimeoutError,
    UpstreamBrokenError,
    UpstreamFailureError,
)
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)
NOT_RUN_STATUSES = frozenset({421, 429, 503, 400, 408})
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that callers take for the promise that a request has not run."""


class Attempt:
    """Send a request to an upstream and relay the response.

    Parameters
    ----------
    request : Request
        Request as the caller sent it.
    metadata : RequestMetadata
        Metadata from its headers.
    reply : Reply
        Response channel to the caller.
    progress : ResponseProgress
        Progress of the response over all attempts.
    notes : ResponseNotes
        Records what the response says of the upstream.
    on_first_events : callable
        Called before the first events of this attempt are sent to the caller.

    Attributes
    ----------
    began_at_s : float or None
        Loop time of the first part of the response's body.
    sent_at_s : float
        Loop time at which the request was sent.
    """

    def __init__(
        self,
        *,
        request: Request,
        metadata: RequestMetadata,
        route: Route,
        reply: Reply,
        progress: ResponseProgress,
        translator: RequestTranslator,
        pool: ConnectionPool,
        registry: UpstreamRegistry,
        start_limits: StartLimits,
        notes: ResponseNotes,
        on_first_events: Callable[[], None],
    ) -> None:
        self._notes = notes
        self._request = request
        self._metadata = metadata
        self._route = route
        self._relay = ResponseRelay(
            reply=reply,
            progress=progress,
            is_streaming=route.is_streaming,
            translator=translator,
            on_first_events=on_first_events,
        )
        self._translator = translator
        self._pool = pool
        self._registry = registry
        self._start_limits = start_limits
        self._loop = asyncio.get_running_loop()
        self.has_sent = False
        self.began_at_s: float | None = None
        self.sent_at_s = self._loop.time()
        self.status = 0
        self.framing = BodyFraming.NONE

    async def async_run(self, placed: PlacementResult, *, is_last: bool) -> None:
        """Serve the caller from one upstream.

        Parameters
        ----------
        is_last : bool
            Whether a server error is relayed instead of raised.

        Raises
        ------
        UpstreamNotSentError
            If no byte of the request was sent.
        NotRunError
            If the upstream reports that it did not run the request, or its weights
            became too old before the request was sent.
        StartTimeoutError
            If the upstream did not start to respond before its weights were too old.
        UpstreamFailureError
            If the upstream responded with a server error and ``is_last`` is false.
        UpstreamBrokenError
            If the response is incomplete or invalid.
        """
        address = placed.record.address
        number = self._registry.loads.begin(placed.in_flight)
        connection: UpstreamConnection | None = None
        is_released = False
        try:
            async with self._start_limits.async_limit(
                self._metadata.model, placed.plan.expected_weights
            ):
                connection = await self._pool.async_acquire(
                    address, max_idle_s=self._max_idle_s()
                )
                self._send(connection, placed)
                head, response = await self._async_response_head(connection, placed)
                # An upstream may send the head long before it starts the request.
                first_part = await connection.async_part()
            self.began_at_s = self._loop.time()
            self._registry.loads.note_answered(number)
            self._pool.note_keep_alive(address, head.headers)
            body = ResponseBody(connection, first_part)
            await self._async_relay(body, head, response, placed, is_last=is_last)
            self._pool.release(address, connection)
            is_released = True
        except StartTimeoutError as error:
            if self.has_sent:
                raise
            raise NotRunError(str(error)) from error
        except UpstreamFailureError:
            if connection is not None:
                self._pool.release(address, connection)
                is_released = True
            raise
        finally:
            self._registry.loads.end(number)
            if connection is not None and not is_released:
                self._pool.discard(address, connection)

    def _max_idle_s(self) -> float:
        if self._route.repeatability is Repeatability.ONCE:
            return ONCE_MAX_IDLE_S
        return DEFAULT_MAX_IDLE_S

    def _send(self, connection: UpstreamConnection, placed: PlacementResult) -> None:
        data = self._translator.upstream_request(self._request, placed.plan)
        self.has_sent = True
        self.sent_at_s = self._loop.time()
        connection.send(
            data,
            is_head_only=self._request.method == b"HEAD",
            matcher=_Matcher(self._translator, self._metadata, placed.record.name),
        )

    async def _async_response_head(
        self, connection: UpstreamConnection, placed: PlacementResult
    ) -> tuple[ResponseHead, ResponseMetadata]:
        head = await connection.async_head()
        name, now_s = placed.record.name, self._loop.time()
        self._registry.note_received(name, now_s)
        response = self._notes.note(
            placed.record,
            head,
            model=self._metadata.model,
            sent_at_s=self.sent_at_s,
        )
        return head, response

    async def _async_relay(
        self,
        body: ResponseBody,
        head: ResponseHead,
        response: ResponseMetadata,
        placed: PlacementResult,
        *,
        is_last: bool,
    ) -> None:
        self.status = head.status
        self.framing = head.framing
        if response.is_not_run and head.status in NOT_RUN_STATUSES:
            await body.async_read_all()
            raise NotRunError(
                f"{placed.record.name} did not run the request: status {head.status}",
                retry_after_s=response.retry_after_s,
                is_misdirected=response.is_misdirected,
                answered_by=response.answered_by,
            )
        is_call_once = self._route.repeatability is Repeatability.ONCE
        if is_call_once and head.status in PROMISING_STATUSES:
            await body.async_read_all()
            raise UpstreamFailureError(
                f"{placed.record.name} answered with status {head.status}, which "
                "doesn't say that the request has not run"
            )
        self._registry.note_ran(placed.record.name)
        if head.status < FIRST_CLIENT_ERROR_STATUS and not response.is_signed:
            raise UpstreamBrokenError("successful response without a signature")
        await self._relay.async_relay(body, head, is_last=is_last, source=placed.record)


@dataclass(frozen=True, slots=True)
class _Matcher:
    """Implementation of ``ResponseMatcher`` for one attempt."""

    translator: RequestTranslator
    metadata: RequestMetadata
    upstream: UpstreamId

    def ownership(self, head: ResponseHead, *, is_first_request: bool) -> Ownership:
        """Return whether a response belongs to the attempt; log one that may not."""
        named = self.translator.read_response_metadata(head).attempt
        found = response_ownership(
            self.metadata.attempt, named, is_first_request=is_first_request
        )
        if found is not Ownership.OWN:
            LOGGER.info(
                "foreign_answer",
                ownership=found.value,
                request=_text(self.metadata.attempt),
                upstream=self.upstream,
                answer_of=None if named is None else _text(named),
                status=head.status,
                framing=head.framing.value,
            )
        return found

    def names_request(self, headers: Headers) -> bool:
        """Return whether the headers of a response name the request it belongs to."""
        head = ResponseHead(0, b"", headers, BodyFraming.NONE)
        return self.translator.read_response_metadata(head).attempt is not None


def _text(value: bytes) -> str:
    return value.decode("latin-1")
