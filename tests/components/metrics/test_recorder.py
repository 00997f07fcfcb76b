"""Metrics are sent at each flush, and a missing statsd raises no error."""

from dataclasses import dataclass, field

import pytest

from banyanswitch.components.metrics.const import Counter, Gauge, Timing
from banyanswitch.components.metrics.recorder import MetricRecorder


@dataclass
class _Sink:
    error: OSError | None = None
    sent: list[tuple[str, float]] = field(default_factory=list)
    sends: int = 0

    def incr(self, stat: str, count: int) -> None:
        self.sent.append((stat, count))

    def timing(self, stat: str, delta: float) -> None:
        self.sent.append((stat, delta))

    def gauge(self, stat: str, value: float) -> None:
        self.sent.append((stat, value))

    def send(self) -> None:
        self.sends += 1
        if self.error is not None:
            raise self.error


def test_counts_are_sent_together_once() -> None:
    sink = _Sink()
    recorder = MetricRecorder(sink)
    recorder.set_gauge(Gauge.LIVE_INSTANCES, lambda: 6)
    for _ in range(3):
        recorder.count(Counter.REQUESTS)
    recorder.observe(Timing.REQUEST, 0.25)
    recorder.flush()
    recorder.flush()
    assert sink.sent == [
        ("requests", 3),
        ("request", 250.0),
        ("live_instances", 6),
        ("live_instances", 6),
    ]


@pytest.mark.parametrize("sink", [None, _Sink(error=OSError("unreachable"))])
def test_missing_statsd_raises_no_error(sink: _Sink | None) -> None:
    recorder = MetricRecorder(sink)
    recorder.count(Counter.REQUESTS)
    recorder.flush()
