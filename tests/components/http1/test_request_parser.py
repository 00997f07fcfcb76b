"""Tests of the parser of callers' requests."""

import tracemalloc

import pytest

from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.components.http1.request_parser import ParsedHead, RequestParser
from banyanswitch.exceptions import RequestSyntaxError

CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Recorder:
    """Parser with small limits that records complete requests."""

    def __init__(self) -> None:
        limits = ConnectionLimits(max_header_bytes=2000, max_body_bytes=5000)
        self.bodies: list[bytes] = []
        self.parser = RequestParser(lambda: limits, lambda _: None, self._record)

    def _record(self, _: ParsedHead, body: bytes) -> None:
        self.bodies.append(body)


# Guards against trailers and chunk extensions that are received without a limit.
@pytest.mark.parametrize(
    ("first", "part"),
    [
        (b"4\r\nbody\r\n0\r\nX: ", b"a" * 100),
        (b"4\r\nbody\r\n0\r\n", b"X: aaaaaaaa\r\n" * 8),
        (b"4;", b"a" * 100),
    ],
)
def test_endless_trailers_and_extensions_are_rejected(
    first: bytes, part: bytes
) -> None:
    recorder = Recorder()
    recorder.parser.feed(CHUNKED + first)
    with pytest.raises(RequestSyntaxError) as raised:
        for _ in range(25):
            recorder.parser.feed(part)
    assert raised.value.status == 431
    assert recorder.bodies == []


def test_trailers_within_the_limit_are_accepted() -> None:
    recorder = Recorder()
    recorder.parser.feed(CHUNKED + b"4\r\nbody\r\n0\r\nX: " + b"a" * 1500)
    recorder.parser.feed(b"\r\n\r\n")
    assert recorder.bodies == [b"body"]


# Guards against pipelined requests that count towards the head behind them.
def test_head_that_begins_in_a_long_read_is_accepted() -> None:
    recorder = Recorder()
    data = GET * 201
    recorder.parser.feed(data[:4009])
    recorder.parser.feed(data[4009:])
    assert len(recorder.bodies) == 201


# Guards against chunks that each cost an object and an entry in a list.
def test_tiny_chunks_cost_little_more_than_their_bytes() -> None:
    recorder = Recorder()
    recorder.parser.feed(CHUNKED)
    tracemalloc.start()
    for _ in range(2400):
        recorder.parser.feed(b"2\r\nab\r\n")
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held_bytes < 15_000
    recorder.parser.feed(b"0\r\n\r\n")
    assert recorder.bodies == [b"ab" * 2400]
