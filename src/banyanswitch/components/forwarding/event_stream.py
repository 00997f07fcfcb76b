"""Splitting of an event stream into complete events."""

import re

from banyanswitch.components.http1.const import MAX_EVENT_BYTES
from banyanswitch.exceptions import UpstreamBrokenError

MAX_ID_DIGITS = 18
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class EventSplitter:
    """Split a stream into complete events, so that it can be resumed between events.

    Parameters
    ----------
    last_id : bytes or None
        Identifier of the last event that the caller received. Events with the same
        or a lower numeric identifier are dropped.
    """

    def __init__(self, last_id: bytes | None = None) -> None:
        self.last_id = last_id
        self._partial = b""
        self._resumed_after = _number(last_id)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are complete now.

        Raises
        ------
        UpstreamBrokenError
            If the incomplete event is too long. Events before it have been returned.
        """
        if len(self._partial) > MAX_EVENT_BYTES:
            reason = f"an event is longer than the limit of {MAX_EVENT_BYTES} bytes"
            raise UpstreamBrokenError(reason)
        data = self._partial + data
        end = 0
        events = []
        for found in EVENT_END.finditer(data):
            event = data[end : found.end()]
            end = found.end()
            if self._accept(event):
                events.append(event)
        self._partial = data[end:]
        return b"".join(events)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete."""
        return bool(self._partial.strip())

    def flush(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        remainder, self._partial = self._partial, b""
        return remainder

    def restart(self) -> None:
        """Drop the partial event before the stream resumes on another upstream."""
        self._partial = b""
        self._resumed_after = _number(self.last_id)

    def _accept(self, event: bytes) -> bool:
        """Return whether an event is new to the caller, and record its identifier."""
        found = EVENT_ID.search(event)
        if found is None:
            return True
        number = _number(found.group(1))
        is_comparable = self._resumed_after is not None and number is not None
        if (
            is_comparable
            and number is not None
            and number <= (self._resumed_after or 0)
        ):
            return False
        self.last_id = found.group(1)
        return True


def _number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > MAX_ID_DIGITS:
        return None
    return int(value)
