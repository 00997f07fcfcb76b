"""Fuzzing of the parser of callers' requests."""

from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.components.http1.request_parser import ParsedHead, RequestParser
from banyanswitch.exceptions import RequestSyntaxError

LIMITS = ConnectionLimits(max_header_bytes=300, max_body_bytes=500)
PIECES = (
    b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Content-Length: 501\r\n",
    b"1\r\na\r\n",
    b"4;x=y\r\nbody\r\n",
    b"0\r\n",
    b"X: " + b"a" * 120,
    b"\r\n",
    b"abcdefg",
)
STREAMS = st.lists(st.one_of(st.sampled_from(PIECES), st.binary(max_size=40)))
SPLITS = st.lists(st.integers(min_value=1, max_value=200), min_size=1)
Outcome = tuple[list[tuple[bytes, bytes, bytes]], int | None]


def parse(data: bytes, sizes: list[int]) -> Outcome:
    """Return the requests and the status of the error; check what is held."""
    requests: list[tuple[bytes, bytes, bytes]] = []

    def record(head: ParsedHead, body: bytes) -> None:
        requests.append((head.method, head.target, body))

    parser = RequestParser(lambda: LIMITS, lambda _: None, record)
    position = number = 0
    while position < len(data):
        size = sizes[number % len(sizes)]
        try:
            parser.feed(data[position : position + size])
        except RequestSyntaxError as error:
            return requests, error.status
        # The part read last may belong to the head or the trailers.
        assert parser.held_bytes <= 2 * 300 + 500 + size
        position += size
        number += 1
    return requests, None


# Guards against any other error, memory without bounds, and bodies beyond the limit.
@settings(max_examples=300, deadline=None)
@given(STREAMS, SPLITS)
def test_any_bytes_are_requests_or_an_error(
    pieces: list[bytes], sizes: list[int]
) -> None:
    requests, status = parse(b"".join(pieces), sizes)
    assert all(len(body) <= 500 for _, _, body in requests)
    assert status in (None, 400, 413, 431)


# Guards against a split that changes where a request ends.
@settings(max_examples=300, deadline=None)
@given(STREAMS, SPLITS)
def test_requests_do_not_depend_on_the_split(
    pieces: list[bytes], sizes: list[int]
) -> None:
    data = b"".join(pieces)
    split, split_status = parse(data, sizes)
    whole, whole_status = parse(data, [max(1, len(data))])
    common = min(len(split), len(whole))
    assert split[:common] == whole[:common]
    if split_status is None and whole_status is None:
        assert split == whole
