"""Prometheus metrics of forwarding."""

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName

FIRST_BYTE_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 5.0, 10.0)
"""Bucket bounds around the latency objectives of 0.2 to 1 s."""

LOAD_AGE_BUCKETS_S = (0.003, 0.01, 0.03, 0.1, 0.3, 0.5, 1.0, 1.5)
"""Bucket bounds up to the age at which a load is no longer used."""

WORK_RATIO_BUCKETS = (0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0)
"""Bucket bounds around a prediction that is right."""

SLOWNESS_BUCKETS = (0.5, 0.8, 1.25, 2.0, 4.0, 8.0, 20.0)
"""Bucket bounds around the usual speed, up to the highest slowness that counts."""

SLOWNESS_AGE_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)
"""Bucket bounds around the age at which half of a report counts, up to its end."""


class ForwardingMetrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "banyanswitch_requests",
            "Requests answered, by route and outcome",
            ("route", "outcome"),
            registry=self._registry,
        )
        self._not_run = Counter(
            "banyanswitch_attempts_not_run",
            "Attempts that an upstream did not run, by service",
            ("service",),
            registry=self._registry,
        )
        self._task_failures = Counter(
            "banyanswitch_task_failures",
            "Errors that ended a task of the process, which is restarted",
            ["task"],
            registry=self._registry,
        )
        self._not_sent = Counter(
            "banyanswitch_attempts_not_sent",
            "Attempts whose upstream could not be reached, by service",
            ("service",),
            registry=self._registry,
        )
        self._passed_on = Counter(
            "banyanswitch_requests_passed_on",
            "Requests served through another instance, by service",
            ("service",),
            registry=self._registry,
        )
        self._withdrawn = Counter(
            "banyanswitch_attempts_withdrawn",
            "Attempts withdrawn before the upstream's weights were too old, by service",
            ("service",),
            registry=self._registry,
        )
        self._broken = Counter(
            "banyanswitch_attempts_broken",
            "Attempts that failed after they may have run, by service",
            ("service",),
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "banyanswitch_first_byte_seconds",
            "Time from a request's head to the first byte of its answer",
            ("route",),
            buckets=FIRST_BYTE_BUCKETS_S,
            registry=self._registry,
        )
        self._load_age = Histogram(
            "banyanswitch_load_age_seconds",
            "Age of the other instances' load at the upstream of a placed request",
            buckets=LOAD_AGE_BUCKETS_S,
            registry=self._registry,
        )
        self._avoided_cold = Counter(
            "banyanswitch_placements_avoiding_cold",
            "Requests with a large prefill placed past cold upstreams, by service",
            ("service",),
            registry=self._registry,
        )

        self._work_ratio = Histogram(
            "banyanswitch_work_ratio",
            "Observed time of a request relative to the predicted one, by service",
            ("service",),
            buckets=WORK_RATIO_BUCKETS,
            registry=self._registry,
        )
        self._slowness = Histogram(
            "banyanswitch_upstream_slowness",
            "Slowness expected of the upstream of a placed request, by service",
            ("service",),
            buckets=SLOWNESS_BUCKETS,
            registry=self._registry,
        )
        self._slowness_age = Histogram(
            "banyanswitch_upstream_slowness_age_seconds",
            "Age of the slowness that the upstream of a placed request reported",
            buckets=SLOWNESS_AGE_BUCKETS_S,
            registry=self._registry,
        )
        self._held = Gauge(
            "banyanswitch_client_memory_bytes",
            "Bytes held for clients",
            registry=self._registry,
        )
        self._held_limit = Gauge(
            "banyanswitch_client_memory_limit_bytes",
            "Bytes held for clients above which connections are closed",
            registry=self._registry,
        )
        self._closed_connections = Counter(
            "banyanswitch_connections_closed",
            "Connections of clients closed or refused to stay in the limits, by reason",
            ("reason",),
            registry=self._registry,
        )

    @callback
    def show_gauge(self, name: str, text: str, value: Callable[[], int]) -> None:
        """Add a gauge whose value is read when the metrics are rendered."""
        Gauge(name, text, registry=self._registry).set_function(value)

    @callback
    def count_avoided_cold(self, service: ServiceName) -> None:
        """Count a request with a large prefill that was placed past cold upstreams."""
        self._avoided_cold.labels(service).inc()

    @callback
    def observe_slowness(
        self, service: str, slowness: float, age_s: float | None
    ) -> None:
        """Record the slowness by which a request was placed, if one was reported."""
        if age_s is not None:
            self._slowness.labels(service).observe(slowness)
            self._slowness_age.observe(age_s)

    @callback
    def observe_work_ratio(self, service: str, ratio: float) -> None:
        """Record the observed time of a request relative to the predicted one."""
        self._work_ratio.labels(service).observe(ratio)

    @callback
    def observe_memory(self, held_bytes: int, limit_bytes: int) -> None:
        """Record the bytes held for clients and their limit."""
        self._held.set(held_bytes)
        self._held_limit.set(limit_bytes)

    @callback
    def count_closed_connection(self, reason: str) -> None:
        """Count a connection that was closed or refused to stay in the limits."""
        self._closed_connections.labels(reason).inc()

    @callback
    def observe_load_age(self, age_s: float | None) -> None:
        """Record the age of the load by which a request was placed, if known."""
        if age_s is not None:
            self._load_age.observe(age_s)

    @callback
    def count_request(self, route: str, outcome: str) -> None:
        """Count a completed request by its outcome."""
        self._requests.labels(route, outcome).inc()

    @callback
    def count_not_run(self, service: ServiceName) -> None:
        """Count an attempt that an upstream did not run."""
        self._not_run.labels(service).inc()

    @callback
    def count_task_failure(self, name: str) -> None:
        """Count an error that ended a task of the process, before its restart."""
        self._task_failures.labels(name).inc()

    @callback
    def count_not_sent(self, service: ServiceName) -> None:
        """Count an attempt whose upstream could not be reached."""
        self._not_sent.labels(service).inc()

    @callback
    def count_passed_on(self, service: ServiceName) -> None:
        """Count a request that another instance served."""
        self._passed_on.labels(service).inc()

    @callback
    def count_withdrawn(self, service: ServiceName) -> None:
        """Count an attempt that was withdrawn because of the upstream's weights."""
        self._withdrawn.labels(service).inc()

    @callback
    def count_broken(self, service: ServiceName) -> None:
        """Count an attempt that failed after it may have run."""
        self._broken.labels(service).inc()

    @callback
    def observe_first_byte(self, route: str, duration_s: float) -> None:
        """Record the time to the first byte of a response."""
        self._first_byte.labels(route).observe(duration_s)

    @callback
    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
