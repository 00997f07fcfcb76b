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


# Guards against taking a stream that broke off inside an event for a complete one.
@pytest.mark.parametrize("rest", [b"i", b"id: 2\n", b"id: 2\ndata: 2\n", b"\n: c"])
def test_bytes_after_the_last_complete_event_are_an_unfinished_event(
    rest: bytes,
) -> None:
    splitter = EventSplitter()
    splitter.feed(event(1) + rest)
    assert splitter.is_inside_event


@pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n"])
def test_blank_lines_after_the_last_event_begin_no_event(rest: bytes) -> None:
    splitter = EventSplitter()
    splitter.feed(event(1) + rest)
    assert not splitter.is_inside_event
    assert splitter.flush() == rest
