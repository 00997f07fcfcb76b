"""Fake rows, decoders, upstreams and callers for tests of forwarding."""

import asyncio
import math
import random
import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.models import (
    ForwardedService,
    ForwardingConfiguration,
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
    UpstreamRecord,
    UpstreamRequestPlan,
)
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import DEFAULT_MAX_IDLE_S
from banyanswitch.components.http1.models import (
    BodyFraming,
    Header,
    Headers,
    Request,
    ResponseHead,
    encode_head,
    header_value,
)
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.components.upstream_limits.cold_upstreams import ColdUpstreams
from banyanswitch.components.upstream_limits.coordinator import UpstreamLimits
from banyanswitch.components.upstream_notices.coordinator import UpstreamNotices
from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.decisions.upstream_limits import ColdPolicy
from banyanswitch.helpers.store_version import make_version
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId
from banyanswitch.interfaces import Item, TableChanges
from tests.components.lease.conftest import FixedPeers, make_peer

SERVICE = ServiceName("llm")
MODEL = "m"
HOST = "h.example"
RETRY_AFTER = b"Retry-After"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
ATTEMPT = b"attempt-id"
LAST_EVENT = b"Last-Event-Id"
RESUMES = b"resumes"
SHARED_PARTS = b"shared-parts"
LIMIT = b"limit"
NOT_RUN = b"not-run"
SLOWNESS = b"slowness"
WEIGHTS = b"weights"
LEAVING = b"leaving"
ANSWERED_BY = b"answered-by"
MISDIRECTED = 421
EVENTS = 2
"""Number of events in a stream."""


class NoFeed:
    """Implements ``TableFeed``; the tests apply changes directly."""

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        return None

    async def async_read_table(self, table: str) -> TableChanges:
        raise NotImplementedError

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        raise NotImplementedError


class PlainDecoder:
    """Implements ``DocumentDecoder`` for rows that `Upstreams.put` writes."""

    def configuration(self, value: bytes) -> ForwardingConfiguration | None:
        return ForwardingConfiguration(int(value))

    def target_weights(self, key: str, value: bytes) -> tuple[str, int] | None:
        return MODEL, int(value)

    def evacuated_domain(self, key: str) -> FailureDomainId | None:
        kind, _, domain = key.partition("/")
        return FailureDomainId(domain) if kind == "evacuate" else None

    def upstream(self, key: str, value: bytes) -> UpstreamRecord | None:
        if value == b"?":
            return None
        return msgspec.json.decode(value, type=UpstreamRecord)


def record(
    name: str,
    *,
    version: int = 1,
    started_at_ms: int = 1,
    is_leaving: bool = False,
    domain: str = "z1",
    sequence: int = 0,
    software_version: str = "v1",
    cold_remaining_s: float = 0.0,
) -> UpstreamRecord:
    return UpstreamRecord(
        name=UpstreamId(name),
        service=SERVICE,
        address=f"{name}:1",
        failure_domain=FailureDomainId(domain),
        slots=4,
        is_leaving=is_leaving,
        weight_versions={MODEL: version},
        started_at_ms=started_at_ms,
        sequence=sequence,
        software_version=software_version,
        cold_remaining_s=cold_remaining_s,
    )


class Upstreams:
    """Registry whose table rows are set by the test."""

    def __init__(self) -> None:
        self.mirror = TableMirror("servers", NoFeed(), random.Random(1))
        self.loads = LoadTracker()
        ejector = Ejector(EjectionPolicy(), random.Random(1))
        alone = FixedPeers(make_peer("a"), [])
        self.services: dict[ServiceName, ForwardedService] = {}
        cold = ColdUpstreams(ColdPolicy(1.5, 5.0), self.services.get)
        limits = UpstreamLimits(alone, ReaderAssignment(alone), cold=cold)
        self.registry = UpstreamRegistry(
            self.mirror,
            PlainDecoder(),
            self.loads,
            ejector,
            limits,
            notices=UpstreamNotices(),
            slowness=UpstreamSlowness(),
        )
        self._version = 0

    def put(self, value: UpstreamRecord | bytes, name: str = "") -> None:
        self._version += 1
        if isinstance(value, bytes):
            item = Item(f"servers/{name}", self._version, value)
        else:
            content = msgspec.json.encode(value)
            item = Item(f"servers/{value.name}", self._version, content)
        self.mirror.apply_changes(TableChanges(self._version, (item,), ()))

    def begin_era(self, era: int) -> None:
        """Let the store give out versions of a new era, from a low number on."""
        self._version = make_version(era, 1)

    def remove(self, name: str) -> None:
        self._version += 1
        self.mirror.apply_changes(TableChanges(self._version, (), (f"servers/{name}",)))

    def accepting(self, now_s: float) -> list[str]:
        return [s.record.name for s in self.registry.accepting(SERVICE, now_s)]


class PlainTranslator:
    """Implements ``RequestTranslator`` for requests that `model_request` returns."""

    def read_request_metadata(self, request: Request) -> RequestMetadata:
        prompt_tokens = int(header_value(request.headers, b"prompt-tokens") or 0)
        names = (header_value(request.headers, SHARED_PARTS) or b"").decode()
        shared = [PromptPart(name, 100) for name in names]
        return RequestMetadata(
            attempt=header_value(request.headers, ATTEMPT) or b"a1",
            host=HOST,
            key=None,
            time_left_s=float(header_value(request.headers, b"time-left-s") or 0),
            model=MODEL,
            parts=(*shared, PromptPart("own", prompt_tokens)),
            prompt_tokens=prompt_tokens,
            output_tokens=30,
            last_event=header_value(request.headers, LAST_EVENT.lower()),
            resumes=header_value(request.headers, RESUMES),
        )

    def upstream_request(self, request: Request, plan: UpstreamRequestPlan) -> bytes:
        first_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        last_event = plan.resume_after
        if last_event is None:
            last_event = header_value(request.headers, LAST_EVENT.lower())
        if last_event is None:
            return encode_head(first_line, ())
        return encode_head(first_line, [(LAST_EVENT, last_event)])

    def peer_request(
        self,
        request: Request,
        *,
        time_left_s: float,
        resume_after: bytes | None,
        more_headers: Sequence[Header],
    ) -> bytes:
        first_line = b"%b %b HTTP/1.1" % (request.method, request.target)
        headers = [*more_headers, (b"time-left-s", b"%f" % time_left_s)]
        if resume_after is not None:
            headers.append((LAST_EVENT, resume_after))
        return encode_head(first_line, headers)

    def read_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        return ResponseMetadata(
            attempt=header_value(head.headers, ATTEMPT),
            is_signed=True,
            is_not_run=header_value(head.headers, NOT_RUN) is not None
            or head.status == MISDIRECTED,
            is_misdirected=head.status == MISDIRECTED,
            answered_by=_text(head, ANSWERED_BY),
            load=None,
            limit_per_s=_limit_per_s(head),
            weight_version=_weight_version(head),
            retry_after_s=_number(head, RETRY_AFTER.lower()),
            is_leaving=header_value(head.headers, LEAVING) is not None,
            slowness=_slowness(head),
        )

    def caller_headers(self, head: ResponseHead) -> Headers:
        return head.headers

    def generated_headers(
        self, metadata: RequestMetadata | None, retry_after_s: float | None
    ) -> list[Header]:
        return [] if retry_after_s is None else [(RETRY_AFTER, b"%f" % retry_after_s)]


def _text(head: ResponseHead, name: bytes) -> str | None:
    value = header_value(head.headers, name)
    return None if value is None else value.decode()


def _number(head: ResponseHead, name: bytes) -> float | None:
    value = header_value(head.headers, name)
    return None if value is None else float(value)


def _weight_version(head: ResponseHead) -> int | None:
    value = header_value(head.headers, WEIGHTS)
    return None if value is None else int(value)


def _slowness(head: ResponseHead) -> float | None:
    return _number(head, SLOWNESS)


def _limit_per_s(head: ResponseHead) -> float | None:
    return _number(head, LIMIT)


def model_request(
    path: str,
    *,
    prompt_tokens: int,
    time_left_s: float,
    more: Headers = (),
    body: bytes = b"",
) -> Request:
    headers = (
        (b"prompt-tokens", b"%d" % prompt_tokens),
        (b"time-left-s", b"%f" % time_left_s),
        *more,
    )
    now_s = asyncio.get_running_loop().time()
    return Request(b"POST", path.encode(), headers, body, now_s)


@dataclass
class FakeReply:
    """Response to a caller, in place of ``Reply``."""

    status: int | None = None
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytes = b""
    is_aborted: bool = False
    is_declined: bool = False
    framing: BodyFraming = BodyFraming.NONE
    is_awaited: bool = False
    has_caller_left: bool = False
    ended_at_s: float | None = None
    source_headers: Callable[[str, int], Iterable[Header]] = lambda *_: ()

    def send(
        self, status: int, headers: Iterable[Header], body: bytes, reason: bytes = b""
    ) -> None:
        self.start(status, headers, BodyFraming.LENGTH, reason)
        self.write(body)
        self.end()

    def refuse(
        self, status: int, headers: Iterable[Header], *, is_declined: bool
    ) -> None:
        self.is_declined = is_declined
        self.send(status, headers, b"")

    def start(
        self,
        status: int,
        headers: Iterable[Header],
        framing: BodyFraming,
        reason: bytes = b"",
    ) -> None:
        self.status = status
        self.headers = dict(headers)
        self.framing = framing

    def write(self, data: bytes) -> None:
        self.body += data

    def end(self) -> None:
        self.ended_at_s = asyncio.get_running_loop().time()

    def abort(self) -> None:
        self.is_aborted = True
        self.end()

    async def async_drain(self) -> None:
        return

    def note_collected(self, size_bytes: int) -> None:
        return


@dataclass
class FakeUpstream:
    """Upstream that queues each request for a time before it begins to respond.

    Parameters
    ----------
    queue_s : float or None
        Time that a request waits in its queue; ``None`` means without end.
    response_s : float
        Time from the head of a response to its end.
    is_unframed : bool
        Whether responses have neither a length nor chunks and end with the connection.
    sends_head_first : bool
        Whether the head of a response is sent before the wait in the queue.
    breaks_off : bool
        Whether streams end inside their last event, as if they were complete.
    crashes : bool
        Whether it closes the connection when it begins a request.
    slowness : float or None
        Slowness that its responses report.
    raw_response : bytes or None
        All that it sends in place of a response, before it ends the connection.
    resets : bool
        Whether it then resets the connection, in place of an end in order.
    """

    name: str
    queue_s: float | None = 0.0
    response_s: float = 0.0
    is_unframed: bool = False
    breaks_off: bool = False
    sends_head_first: bool = False
    crashes: bool = False
    slowness: float | None = None
    raw_response: bytes | None = None
    resets: bool = False
    exchanges: list["FakeExchange"] = field(default_factory=list)


class FakeExchange(asyncio.Transport):
    """Transport of a connection that carries one request to a `FakeUpstream`.

    Attributes
    ----------
    begun_at_s : float or None
        Loop time of the first event of the response.
    closed_at_s : float or None
        Loop time at which the connection was closed before the response ended.
    """

    def __init__(self, upstream: FakeUpstream, connection: UpstreamConnection) -> None:
        super().__init__()
        self._loop = asyncio.get_running_loop()
        self._upstream = upstream
        self._connection = connection
        self._is_closed = False
        self._next_event = 1
        self.begun_at_s: float | None = None
        self.ended_at_s: float | None = None
        self.closed_at_s: float | None = None

    def write(self, data: Any) -> None:
        self._upstream.exchanges.append(self)
        found = re.search(LAST_EVENT + rb": (\d+)", data)
        self._next_event = int(found.group(1)) + 1 if found else 1
        if self._upstream.sends_head_first:
            self._call_later(0.0, self._send_head)
        if self._upstream.queue_s is not None:
            self._call_later(self._upstream.queue_s, self._begin)

    def _call_later(self, delay_s: float, step: Callable[[], None]) -> None:
        self._loop.call_later(delay_s, lambda: self._is_closed or step())

    def _begin(self) -> None:
        self.begun_at_s = self._loop.time()
        if self._upstream.crashes:
            self.abort()
            return
        if self._upstream.raw_response is not None:
            self._connection.data_received(self._upstream.raw_response)
            if not self._is_closed:
                if not self._upstream.resets:
                    self._connection.eof_received()
                self.abort()
            return
        if not self._upstream.sends_head_first:
            self._send_head()
        if self._next_event < EVENTS:
            event = self._event(self._next_event)
            self._connection.data_received(self._frame(event))
            self._next_event += 1
        self._call_later(self._upstream.response_s, self._end)

    def _end(self) -> None:
        self.ended_at_s = self._loop.time()
        event = self._event(EVENTS)
        if self._upstream.breaks_off:
            event = event[:-5]
        data = self._frame(event)
        if not self._upstream.is_unframed:
            self._connection.data_received(data + LAST_CHUNK)
            return
        self._connection.data_received(data)
        self._connection.eof_received()
        self.close()

    def _send_head(self) -> None:
        head = UNFRAMED_HEAD if self._upstream.is_unframed else HEAD
        if self._upstream.slowness is not None:
            line = SLOWNESS + b": %f" % self._upstream.slowness
            head = head.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1)
        self._connection.data_received(head)

    def _event(self, number: int) -> bytes:
        return f"id: {number}\ndata: {self._upstream.name}\n\n".encode()

    def _frame(self, data: bytes) -> bytes:
        if self._upstream.is_unframed:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def abort(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self.ended_at_s is None:
            self.closed_at_s = self._loop.time()
        error = ConnectionResetError() if self._upstream.resets else None
        self._loop.call_soon(self._connection.connection_lost, error)

    def close(self) -> None:
        self.abort()

    def is_closing(self) -> bool:
        return self._is_closed

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        return

    def resume_reading(self) -> None:
        return


class FakePool(ConnectionPool):
    """Pool whose connections lead to `FakeUpstream` objects, without a network."""

    def __init__(self) -> None:
        super().__init__()
        self.upstreams: dict[str, FakeUpstream] = {}

    async def async_acquire(
        self, address: str, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> UpstreamConnection:
        connection = UpstreamConnection()
        connection.connection_made(FakeExchange(self.upstreams[address], connection))
        return connection
