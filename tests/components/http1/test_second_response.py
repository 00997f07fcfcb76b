"""Heads of other responses in bodies that end with their connection."""

import pytest

from banyanswitch.components.http1.models import Headers, header_value
from banyanswitch.components.http1.second_response import SecondResponseScanner

SECOND = b"HTTP/1.1 200 OK\r\nrequest: r2\r\nContent-Length: 4\r\n\r\nbody"
BODY = b"id: 1\ndata: a\n\n"
CONTENTS = [
    BODY,
    b"",
    b"data: HTTP/1.1 200 OK\n\ndata: request: r2\n\n",
    b"HTTP/1.1 200 OK\r\nServer: s\r\n\r\nan example without a request",
    b"HTTP/1.1 200 OK\r\nno header\r\n\r\nrequest: r2",
    b"HTTP/1.1 200 OK\nrequest: r2\n\nlines without carriage returns",
    b"HTTP/1.1 twice, HTTP/9, HTTPS, H.",
    b"HTTP/1.1 200 OK\r\n" + b"name: value\r\n" * 6000 + b"\r\n.",
]


def make_scanner() -> SecondResponseScanner:
    def names_request(headers: Headers) -> bool:
        return header_value(headers, b"request") is not None

    return SecondResponseScanner(names_request)


def cuts(data: bytes) -> range:
    return range(0, len(data) + 1, 1 + len(data) // 300)


# Guards against bodies that are refused or changed because they quote a response.
@pytest.mark.parametrize("content", CONTENTS)
def test_content_is_returned_whole(content: bytes) -> None:
    for cut in cuts(content):
        scanner = make_scanner()
        body = scanner.feed(content[:cut]) + scanner.feed(content[cut:])
        assert body == content
        assert not scanner.has_found
        assert not scanner.may_be_inside


# Guards against bytes of another response at the end of a body.
@pytest.mark.parametrize("content", CONTENTS)
def test_other_response_is_found(content: bytes) -> None:
    data = content + SECOND
    for cut in cuts(data):
        scanner = make_scanner()
        body = scanner.feed(data[:cut]) + scanner.feed(data[cut:])
        assert body == content
        assert scanner.has_found


# Guards against bytes of a response whose connection ends inside its head.
def test_end_inside_the_head_of_another_response_is_noticed() -> None:
    head = SECOND.partition(b"\r\n\r\n")[0] + b"\r\n"
    for length in range(1, len(head) + 1):
        scanner = make_scanner()
        assert scanner.feed(BODY + head[:length]) == BODY
        assert scanner.may_be_inside


# Guards against a head that is missed because each of its bytes arrives alone.
def test_head_in_single_bytes_is_found() -> None:
    scanner = make_scanner()
    parts = [scanner.feed(bytes([byte])) for byte in BODY + SECOND]
    assert b"".join(parts) == BODY
    assert scanner.has_found
