"""Prometheus metrics of forwarding."""

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
