"""Structured logs on standard output, bounded and without blocking."""

import asyncio
import os
import sys
from collections import Counter
from typing import Any, Final

import msgspec
import structlog
from structlog.typing import EventDict, WrappedLogger

MAX_BUFFERED_LINES: Final = 4000
"""Lines that wait for a slow reader before more are dropped."""

FLUSH_S: Final = 0.1
"""Time between two writes of what was logged."""

ROUTINE_LINES_PER_S: Final = 400
"""Lines of one event and level below warning in each second; twice the requests
that an instance gets in a burst."""

ROUTINE_LEVELS: Final = frozenset({"debug", "info"})


class LogBuffer:
    """Collect lines and write them together; what does not fit is counted."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._dropped: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._second = 0

    def add(self, line: bytes) -> None:
        """Add a line."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped["buffer_full"] += 1
            return
        self._lines.append(line)

    def admits(self, event: str, level: str, now_s: float) -> bool:
        """Return whether a line is within the volume of its event."""
        if level not in ROUTINE_LEVELS:
            return True
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._counts.clear()
        self._counts[event] += 1
        if self._counts[event] <= ROUTINE_LINES_PER_S:
            return True
        self._dropped[event] += 1
        return False

    def flush(self) -> None:
        """Write what is buffered; what the reader does not take now stays."""
        if self._dropped:
            dropped = dict(self._dropped)
            self._dropped.clear()
            self._lines.append(
                msgspec.json.encode({"event": "lines_dropped", "counts": dropped})
            )
        if not self._lines:
            return
        data = b"\n".join(self._lines) + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere to say so.
            self._lines.clear()
            return
        rest = data[written:]
        self._lines = [rest[:-1]] if rest else []

    async def async_run(self) -> None:
        """Write at intervals until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()


class _Renderer:
    """Last processor: add the time, bound the volume, buffer the line."""

    def __init__(self, buffer: LogBuffer) -> None:
        self._buffer = buffer

    def __call__(
        self, logger: WrappedLogger, method: str, event_dict: EventDict
    ) -> Any:
        """Buffer one line and keep structlog from printing it."""
        try:
            now_s = asyncio.get_running_loop().time()
        except RuntimeError:
            now_s = 0.0
        event = str(event_dict.get("event", ""))
        if self._buffer.admits(event, method, now_s):
            line = {"at_s": round(now_s, 3), "level": method, **event_dict}
            self._buffer.add(msgspec.json.encode(line, enc_hook=str))
        raise structlog.DropEvent


def set_up_buffered_logs() -> LogBuffer:
    """Send all log lines through a buffer to standard output."""
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
