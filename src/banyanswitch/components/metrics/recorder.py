"""Recorder of metrics; sends them in batches, outside of request handling."""

import asyncio
from collections import Counter as Tally
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import structlog

from banyanswitch.components.metrics.const import (
    FLUSH_INTERVAL_S,
    MAX_OBSERVATIONS,
    Counter,
    Gauge,
    Timing,
)
from banyanswitch.core import callback

LOGGER = structlog.get_logger(__name__)
MILLISECONDS_PER_S = 1000.0


class MetricSink(Protocol):
    """Destination of metrics, with the interface of the statsd client's pipeline."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Add an observation, in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a value."""

    def send(self) -> None:
        """Send the collected values."""


class MetricRecorder:
    """Collect metrics between two flushes.

    Parameters
    ----------
    sink : MetricSink, optional
        Destination; without one, nothing is recorded or sent.
    """

    def __init__(self, sink: MetricSink | None) -> None:
        self._sink = sink
        self._counts: Tally[Counter] = Tally()
        self._timings: dict[Timing, list[float]] = defaultdict(list)
        self._gauges: dict[Gauge, Callable[[], float]] = {}

    @callback
    def count(self, counter: Counter, by: int = 1) -> None:
        """Add to a counter."""
        if self._sink is not None:
            self._counts[counter] += by

    @callback
    def observe(self, timing: Timing, duration_s: float) -> None:
        """Add an observation of a timing."""
        if self._sink is None:
            return
        observations = self._timings[timing]
        if len(observations) < MAX_OBSERVATIONS:
            observations.append(duration_s)

    @callback
    def set_gauge(self, gauge: Gauge, read: Callable[[], float]) -> None:
        """Set the function that returns a value at each flush."""
        self._gauges[gauge] = read

    async def async_run(self) -> None:
        """Flush until cancelled."""
        while self._sink is not None:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    @callback
    def flush(self) -> None:
        """Send the collected metrics; a failed send is logged."""
        if self._sink is None:
            return
        for counter, count in self._counts.items():
            self._sink.incr(counter.value, count)
        for timing, observations in self._timings.items():
            for duration_s in observations:
                self._sink.timing(timing.value, duration_s * MILLISECONDS_PER_S)
        for gauge, read in self._gauges.items():
            self._sink.gauge(gauge.value, read())
        self._counts.clear()
        self._timings.clear()
        try:
            self._sink.send()
        except OSError as error:
            LOGGER.debug("metrics_not_sent", reason=str(error))
