"""Structured logs on standard output, with limited volume and without blocking."""

import asyncio
import os
import sys
from collections import Counter
from typing import Any, Final

import msgspec
import structlog
from structlog.typing import EventDict, WrappedLogger

MAX_BUFFERED_BYTES: Final = 2_000_000
"""Maximum size of the lines buffered for a slow reader; further ones are dropped. It is
about 5,000 lines of a request."""

FLUSH_INTERVAL_S: Final = 0.1
"""Interval of the writes of buffered lines."""

MAX_ROUTINE_LINES_PER_S: Final = 400
"""Maximum number of lines per second and event at levels below warning; twice the
number of requests that an instance gets in a burst."""

ROUTINE_LEVELS: Final = frozenset({"debug", "info"})


class LogBuffer:
    """Buffer of log lines that are written together; dropped lines are counted.

    Parameters
    ----------
    descriptor : int
        Non-blocking file descriptor to write to.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        # Lines that were joined to be written, without the part that was written.
        self._unwritten = b""
        self._size_bytes = 0
        self._dropped: Counter[str] = Counter()
        self._line_counts: Counter[str] = Counter()
        self._second = 0

    @property
    def size_bytes(self) -> int:
        """Size of all buffered lines."""
        return len(self._unwritten) + self._size_bytes

    def add(self, line: bytes) -> None:
        """Add a line, or count it as dropped if the buffer is full."""
        if self.size_bytes + len(line) >= MAX_BUFFERED_BYTES:
            self._dropped["buffer_full"] += 1
            return
        self._lines.append(line)
        self._size_bytes += len(line) + 1

    def is_within_rate(self, event: str, level: str, now_s: float) -> bool:
        """Return whether a line is within the rate limit of its event.

        A line above the limit is counted as dropped.

        Parameters
        ----------
        now_s : float
            Event loop time.
        """
        if level not in ROUTINE_LEVELS:
            return True
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._line_counts.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] <= MAX_ROUTINE_LINES_PER_S:
            return True
        self._dropped[event] += 1
        return False

    def flush(self) -> None:
        """Write the buffered lines; keep what the descriptor doesn't accept yet."""
        if not self._unwritten:
            self._join_lines()
        if not self._unwritten:
            return
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is no other place to report that.
            self._unwritten = b""
            return
        self._unwritten = self._unwritten[written:]

    def _join_lines(self) -> None:
        """Take all lines, and report dropped ones once."""
        if self._dropped:
            counts = {"event": "lines_dropped", "counts": dict(self._dropped)}
            self._dropped.clear()
            self._lines.append(msgspec.json.encode(counts))
        if not self._lines:
            return
        self._unwritten = b"\n".join(self._lines) + b"\n"
        self._lines.clear()
        self._size_bytes = 0

    async def async_run(self) -> None:
        """Write the buffered lines periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()


class _Renderer:
    """Last structlog processor; adds the time, limits the rate, buffers the line."""

    def __init__(self, buffer: LogBuffer) -> None:
        self._buffer = buffer

    def __call__(
        self, logger: WrappedLogger, method: str, event_dict: EventDict
    ) -> Any:
        """Buffer one line.

        Raises
        ------
        DropEvent
            Always, so that structlog doesn't print the line itself.
        """
        try:
            now_s = asyncio.get_running_loop().time()
        except RuntimeError:
            now_s = 0.0
        event = str(event_dict.get("event", ""))
        if self._buffer.is_within_rate(event, method, now_s):
            line = {"at_s": round(now_s, 3), "level": method, **event_dict}
            self._buffer.add(msgspec.json.encode(line, enc_hook=str))
        raise structlog.DropEvent


def set_up_buffered_logs() -> LogBuffer:
    """Configure structlog to write through a buffer to standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    buffer = LogBuffer(descriptor)
    structlog.configure(
        processors=[
            structlog.processors.format_exc_info,
            _Renderer(buffer),
        ],
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        cache_logger_on_first_use=True,
    )
    return buffer
