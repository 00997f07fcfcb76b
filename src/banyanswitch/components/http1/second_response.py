"""Search for another response inside a body."""

import re
from collections.abc import Callable

from banyanswitch.components.http1.const import MAX_SECOND_HEAD_BYTES
from banyanswitch.components.http1.models import Header, Headers

STATUS_LINE = rb"HTTP/\d\.\d \d{3}(?: [^\r\n]{0,256})?"
NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
HEADERS = rb"((?:" + NAME + rb"+:[^\r\n]*\r\n)*)"
HEAD_START = re.compile(rb"HTTP/\d\.\d \d{3}")
LINES = re.compile(STATUS_LINE + rb"\r\n" + HEADERS)
"""Complete lines of a head."""
PARTIAL_LINE = re.compile(rb"(?:\r|" + NAME + rb"+(?::[^\r\n]*\r?)?)?\Z")
"""Header line, or empty line, that ends with the received bytes."""
PARTIAL_STATUS_LINE = re.compile(STATUS_LINE + rb"\r?\Z")
LINE_END = b"\r\n"
STATUS_LINE_SHAPE = b"HTTP/0.0 000"
"""Start of a status line with all digits replaced by 0."""
FIRST_BYTE = STATUS_LINE_SHAPE[:1]
ZEROS = bytes.maketrans(b"123456789", b"000000000")


class SecondResponseScanner:
    """Find the head of another response in a body.

    An upstream may break a response off and send another one on the connection, which
    then fills the body up to its length. Nothing but the end of the connection ends a
    body without a length, so another response behind it seems to be a part of it too.
    A head counts if `names_request` says so; other text that looks like a head is
    content.

    Parameters
    ----------
    names_request : callable
        Returns whether the headers of a head name a request.

    Attributes
    ----------
    has_found : bool
        Whether the head of another response was found. The bytes before it may be a
        whole body or only the start of one.
    """

    def __init__(self, names_request: Callable[[Headers], bool]) -> None:
        self._names_request = names_request
        self._held = b""
        self.has_found = False

    @property
    def may_be_inside(self) -> bool:
        """Whether the bytes so far end inside what may be such a head."""
        return bool(self._held)

    @property
    def has_status_line(self) -> bool:
        """Whether they end behind the status code of what may be such a head."""
        return len(self._held) >= len(STATUS_LINE_SHAPE)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return those that belong to the body for sure."""
        if self.has_found:
            return b""
        data = self._held + data
        self._held = b""
        start = self._start_of_head(data)
        if start is None:
            return data
        self._held = b"" if self.has_found else data[start:]
        return data[:start]

    def flush(self) -> bytes:
        """Return the bytes that may have been the start of a head but are content."""
        held, self._held = self._held, b""
        return held

    def _start_of_head(self, data: bytes) -> int | None:
        """Return where another response begins, or may begin."""
        position = 0
        while found := HEAD_START.search(data, position):
            start = found.start()
            end = start + MAX_SECOND_HEAD_BYTES
            lines = LINES.match(data, start, end)
            if lines is None:
                if PARTIAL_STATUS_LINE.match(data, start):
                    return start
                position = start + 1
                continue
            # Another head between here and there would end in the same lines.
            position = lines.end()
            if data.startswith(LINE_END, position):
                if self._names_request(_parse_headers(lines.group(1))):
                    self.has_found = True
                    return start
            elif len(data) < end and PARTIAL_LINE.match(data, position):
                return start
        tail = data[1 - len(STATUS_LINE_SHAPE) :]
        offset = tail.find(FIRST_BYTE)
        while offset >= 0:
            if STATUS_LINE_SHAPE.startswith(tail[offset:].translate(ZEROS)):
                return len(data) - len(tail) + offset
            offset = tail.find(FIRST_BYTE, offset + 1)
        return None


def _parse_headers(lines: bytes) -> Headers:
    headers: list[Header] = []
    for line in lines.splitlines():
        name, _, value = line.partition(b":")
        headers.append((name, value.strip()))
    return tuple(headers)
