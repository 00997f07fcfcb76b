"""Buffered log lines, for readers that are slow, stop or are gone."""

import json
import os
from collections.abc import Iterator

import pytest

from banyanswitch.helpers.log_buffer import (
    MAX_BUFFERED_BYTES,
    MAX_ROUTINE_LINES_PER_S,
    LogBuffer,
)

LINE = b"x" * 500


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Return a non-blocking pipe that takes 64 kB."""
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    os.set_blocking(writing, False)
    yield reading, writing
    os.close(reading)
    os.close(writing)


def read_all(descriptor: int) -> bytes:
    try:
        return os.read(descriptor, 1_000_000)
    except BlockingIOError:
        return b""


# Guards against memory that grows with a reader that never stops but is too slow: what
# it had left of many lines counted as one.
@pytest.mark.parametrize("read_bytes", [0, 1, 4096])
def test_memory_is_bounded_for_a_slow_reader(
    pipe: tuple[int, int], read_bytes: int
) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    for _ in range(500):
        for _ in range(100):
            buffer.add(LINE)
        buffer.flush()
        if read_bytes:
            os.read(reading, read_bytes)
        assert buffer.size_bytes <= MAX_BUFFERED_BYTES


def test_lines_are_whole_and_dropped_ones_are_counted(pipe: tuple[int, int]) -> None:
    reading, writing = pipe
    buffer = LogBuffer(writing)
    added = 2 * MAX_BUFFERED_BYTES // len(LINE)
    for _ in range(added):
        buffer.add(LINE)
    received = b""
    while buffer.size_bytes or not received:
        buffer.flush()
        received += read_all(reading)
    received += read_all(reading)
    lines = received.splitlines()
    (report,) = [line for line in lines if line.startswith(b"{")]
    dropped = json.loads(report)["counts"]["buffer_full"]
    assert lines.count(LINE) == len(lines) - 1
    assert len(lines) - 1 + dropped == added


def test_lines_are_dropped_without_a_reader(pipe: tuple[int, int]) -> None:
    buffer = LogBuffer(os.open("/dev/full", os.O_WRONLY))
    buffer.add(LINE)
    buffer.flush()
    assert buffer.size_bytes == 0


def test_routine_lines_are_limited_by_event() -> None:
    buffer = LogBuffer(-1)
    accepted = [
        buffer.is_within_rate("a", "info", 1.0)
        for _ in range(2 * MAX_ROUTINE_LINES_PER_S)
    ]
    assert accepted.count(True) == MAX_ROUTINE_LINES_PER_S
    assert buffer.is_within_rate("a", "warning", 1.0)
    assert buffer.is_within_rate("a", "info", 2.0)
