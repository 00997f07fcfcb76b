"""Relay of an upstream's response to the caller."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from banyanswitch.components.forwarding.event_stream import EventSplitter
from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.components.forwarding.protocols import RequestTranslator
from banyanswitch.components.http1.body import async_read_body
from banyanswitch.components.http1.const import (
    MAX_BUFFERED_BODY_BYTES,
    READ_HIGH_WATER_BYTES,
)
from banyanswitch.components.http1.models import (
    BodyFraming,
    Headers,
    ResponseHead,
    header_value,
)
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.exceptions import UpstreamBrokenError, UpstreamFailureError

FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECTION_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
FIRST_CLIENT_ERROR_STATUS = 400


@dataclass(slots=True)
class ResponseProgress:
    """Progress of the response to the caller, across all attempts.

    Attributes
    ----------
    head : ResponseHead or None
        Head of the response, if a part of it was sent to the caller.
    """

    splitter: EventSplitter
    first_byte_at_s: float | None = None
    head: ResponseHead | None = None

    def begin(self, head: ResponseHead, now_s: float) -> None:
        """Note that the response with this head is sent to the caller."""
        self.head = head
        self.first_byte_at_s = now_s

    def is_continued_by(self, head: ResponseHead) -> bool:
        """Return whether a response with this head may be the rest of the stream."""
        return self.head is not None and _kind(head) == _kind(self.head)

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent to the caller."""
        return self.first_byte_at_s is not None

    def age_s(self, now_s: float) -> float | None:
        """Return the time since the first byte, in seconds, for the log."""
        if self.first_byte_at_s is None:
            return None
        return round(now_s - self.first_byte_at_s, 4)


def _has_stream(head: ResponseHead) -> bool:
    """Return whether a response has a body that may be a stream of events."""
    is_success = FIRST_SUCCESS_STATUS <= head.status < FIRST_REDIRECTION_STATUS
    return is_success and head.framing is not BodyFraming.NONE


def _kind(head: ResponseHead) -> tuple[int, bytes]:
    return head.status, _media_type(head)


def _media_type(head: ResponseHead) -> bytes:
    """Return the content type without its parameters; empty if there is none."""
    value = header_value(head.headers, b"content-type") or b""
    return value.partition(b";")[0].strip().lower()


class ResponseRelay:
    """Relay the response of one attempt to the caller.

    Parameters
    ----------
    reply : Reply
        Response channel to the caller.
    progress : ResponseProgress
        Progress of the response over all attempts.
    is_streaming : bool
        Whether successful responses are event streams.
    on_first_events : callable
        Called before the first events of this attempt are sent to the caller.
    """

    def __init__(
        self,
        *,
        reply: Reply,
        progress: ResponseProgress,
        is_streaming: bool,
        translator: RequestTranslator,
        on_first_events: Callable[[], None],
    ) -> None:
        self._reply = reply
        self._progress = progress
        self._is_streaming = is_streaming
        self._translator = translator
        self._on_first_events = on_first_events
        self._loop = asyncio.get_running_loop()

    async def async_relay(
        self,
        body: "ResponseBody",
        head: ResponseHead,
        *,
        is_last: bool,
        source: UpstreamRecord | None = None,
    ) -> None:
        """Send a response, or the rest of a stream that has started, to the caller.

        Parameters
        ----------
        is_last : bool
            Whether a server error is relayed instead of raised.
        source : UpstreamRecord, optional
            Upstream that gave the response.

        Raises
        ------
        UpstreamFailureError
            If the upstream responded with a server error and ``is_last`` is false.
        UpstreamBrokenError
            If the response is incomplete or invalid.
        """
        is_failure = head.status >= FIRST_SERVER_ERROR_STATUS
        if self._progress.has_started:
            if not self._progress.is_continued_by(head):
                raise UpstreamBrokenError(
                    f"resuming the stream failed with status {head.status} and "
                    f"content type {_media_type(head)!r}"
                )
            await self._async_relay_events(body)
            return
        if is_failure and not is_last:
            await body.async_read_all()
            raise UpstreamFailureError(f"upstream responded with status {head.status}")
        if self._is_streaming and _has_stream(head):
            headers = self._headers(head, source)
            # The total length of a stream that may be resumed is unknown.
            self._reply.start(
                head.status, headers, BodyFraming.CHUNKED, reason=head.reason
            )
            self._progress.begin(head, self._loop.time())
            await self._async_relay_events(body)
            return
        content = await body.async_read_all(self._note_collected)
        headers = self._headers(head, source)
        self._progress.begin(head, self._loop.time())
        self._reply.send(head.status, headers, content, reason=head.reason)

    def _headers(self, head: ResponseHead, source: UpstreamRecord | None) -> Headers:
        headers = self._translator.caller_headers(head)
        if source is None:
            return headers
        named = self._reply.source_headers(source.name, source.started_at_ms)
        # The first one counts, whatever the upstream itself names.
        return (*named, *headers)

    def _note_collected(self, size_bytes: int) -> None:
        """Report a whole response, which is copied once, and the upstream's buffer."""
        self._reply.note_collected(2 * size_bytes + READ_HIGH_WATER_BYTES)

    async def _async_relay_events(self, body: "ResponseBody") -> None:
        splitter = self._progress.splitter
        has_events = False
        while (part := await body.async_part()) is not None:
            events = splitter.feed(part)
            if events and not has_events:
                has_events = True
                self._on_first_events()
            self._reply.write(events)
            await self._reply.async_drain()
        # Neither a closed connection nor a last chunk shows that the stream is whole.
        if splitter.is_inside_event:
            raise UpstreamBrokenError("the stream ended inside an event")
        self._reply.write(splitter.flush())
        self._reply.end()


class ResponseBody:
    """Body of a response, of which the first part was already read."""

    def __init__(self, connection: UpstreamConnection, first: bytes | None) -> None:
        self._connection = connection
        self._first = first

    async def async_part(self) -> bytes | None:
        """Return the next part, or ``None`` at the end."""
        first, self._first = self._first, None
        return first if first is not None else await self._connection.async_part()

    async def async_read_all(
        self, on_size: Callable[[int], None] = lambda _: None
    ) -> bytes:
        """Return all parts; ``on_size`` is called with the size read so far."""
        return await async_read_body(self.async_part, MAX_BUFFERED_BODY_BYTES, on_size)
