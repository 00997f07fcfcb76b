"""Verification that the events of a stream belong to its run and are in order."""

from dataclasses import dataclass
from enum import Enum

from banyanswitch.components.streams.const import (
    CARRIAGE_RETURN,
    DATA_DONE,
    EVENT_END,
    EVENT_ID_FIELD,
    LINE_END,
    MAX_EVENT_BYTES,
)
from banyanswitch.identifiers import RunId


class StreamFault(Enum):
    """Reason why the rest of a stream is rejected."""

    FOREIGN_RUN = "foreign_run"
    MISSING_EVENT = "missing_event"
    MALFORMED_EVENT = "malformed_event"


@dataclass(frozen=True, slots=True)
class VerifiedChunk:
    """Verified events that may be sent to the caller.

    Parameters
    ----------
    content : bytes
        Complete events, as the upstream sent them.
    event_count : int
        Number of events in ``content``.
    is_done : bool
        Whether the last event of the run has been received.
    fault : StreamFault or None
        Fault of the event after ``content``.
    """

    content: bytes
    event_count: int
    is_done: bool
    fault: StreamFault | None = None


class EventVerifier:
    """Verify the events of one run and drop duplicates.

    Parameters
    ----------
    run_id : RunId
        Identifier that each event must carry.
    next_offset : int
        Offset of the first event that the caller does not have.
    """

    def __init__(self, run_id: RunId, next_offset: int = 0) -> None:
        self._id_line_format = EVENT_ID_FIELD + run_id.encode() + b":%d\n"
        self._id_prefix = EVENT_ID_FIELD + run_id.encode() + b":"
        self._incomplete_event = b""
        self.next_offset = next_offset
        self.is_done = False

    def restart(self) -> None:
        """Discard an incomplete event before reading from a new connection."""
        self._incomplete_event = b""

    def feed(self, received: bytes) -> VerifiedChunk:
        """Process received bytes and return the verified events that they complete."""
        if not self._incomplete_event and self._is_next_event(received):
            self.next_offset += 1
            self.is_done = received.endswith(DATA_DONE + EVENT_END)
            return VerifiedChunk(received, 1, self.is_done)
        events = (self._incomplete_event + received).split(EVENT_END)
        self._incomplete_event = events.pop()
        accepted: list[bytes] = []
        for event in events:
            fault = self._check(event, accepted)
            if fault is not None:
                return self._make_chunk(accepted, fault)
            if self.is_done:
                break
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            return self._make_chunk(accepted, StreamFault.MALFORMED_EVENT)
        return self._make_chunk(accepted, None)

    def _is_next_event(self, received: bytes) -> bool:
        """Return whether the bytes are exactly the next event, the most common case."""
        return (
            received.startswith(self._id_line_format % self.next_offset)
            and received.find(EVENT_END) == len(received) - len(EVENT_END)
            and CARRIAGE_RETURN not in received
        )

    def _check(self, event: bytes, accepted: list[bytes]) -> StreamFault | None:
        if CARRIAGE_RETURN in event:
            return StreamFault.MALFORMED_EVENT
        if not event.startswith(self._id_prefix):
            return _unexpected_id_fault(event)
        line_end = event.find(LINE_END)
        digits = event[len(self._id_prefix) : line_end]
        if line_end < 0 or not digits.isdigit():
            return StreamFault.MALFORMED_EVENT
        offset = int(digits)
        if offset < self.next_offset:
            return None
        if offset > self.next_offset:
            return StreamFault.MISSING_EVENT
        self.next_offset += 1
        accepted.append(event)
        self.is_done = event.endswith(DATA_DONE)
        return None

    def _make_chunk(
        self, accepted: list[bytes], fault: StreamFault | None
    ) -> VerifiedChunk:
        content = b"".join(event + EVENT_END for event in accepted)
        return VerifiedChunk(content, len(accepted), self.is_done, fault)


def _unexpected_id_fault(event: bytes) -> StreamFault:
    if event.startswith(EVENT_ID_FIELD):
        return StreamFault.FOREIGN_RUN
    return StreamFault.MALFORMED_EVENT
