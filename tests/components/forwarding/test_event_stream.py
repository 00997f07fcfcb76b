"""Tests of the splitting of event streams and of their resumption."""

import pytest

from banyanswitch.components.forwarding.event_stream import EventSplitter


def event(number: int, end: bytes = b"\n\n") -> bytes:
    return b"id: %d\ndata: %d" % (number, number) + end


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n"])
def test_chunk_size_does_not_change_the_events(size: int, end: bytes) -> None:
    data = b"".join(event(number, end) for number in range(1, 6))
    splitter = EventSplitter()
    parts = [data[start : start + size] for start in range(0, len(data), size)]
    out = b"".join(splitter.feed(part) for part in parts)
    assert out + splitter.flush() == data
    assert splitter.last_id == b"5"


def test_a_partial_event_is_dropped_when_the_stream_resumes() -> None:
    splitter = EventSplitter()
    assert splitter.feed(event(1) + event(2) + b"id: 3\nda") == event(1) + event(2)
    splitter.restart()
    assert splitter.feed(event(2) + event(3) + event(4)) == event(3) + event(4)
    assert splitter.flush() == b""


def test_events_without_an_identifier_are_passed_on() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b": comment\n\ndata: x\n\n") == b": comment\n\ndata: x\n\n"
    assert splitter.last_id is None


def test_an_event_with_a_new_weight_version_is_passed_on_unchanged() -> None:
    splitter = EventSplitter()
    data = b"weight-versions: 2\nid: 4\ndata: x\n\n"
    assert splitter.feed(data) == data
    assert splitter.last_id == b"4"
