"""Circuit breaker for calls to a service that keeps failing."""

from banyanswitch.components.table_service.const import (
    FAILURES_BEFORE_OPEN,
    PROBE_INTERVAL_S,
)
from banyanswitch.exceptions import PlatformUnavailableError


class CircuitBreaker:
    """Admit one probe per ``PROBE_INTERVAL_S`` while a service fails.

    Without it each call would wait for its timeout during an outage.

    Parameters
    ----------
    service : str
        Name of the service in error messages.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._failures = 0
        self._open_until_s = 0.0

    def check(self, now_s: float) -> None:
        """Admit a call.

        Raises
        ------
        PlatformUnavailableError
            If the breaker is open and no probe is due.
        """
        if self._failures < FAILURES_BEFORE_OPEN:
            return
        if now_s < self._open_until_s:
            raise PlatformUnavailableError(
                f"{self._service} is failing", self._open_until_s - now_s
            )
        self._open_until_s = now_s + PROBE_INTERVAL_S

    def record_failure(self, now_s: float) -> None:
        """Record a call without a usable response."""
        self._failures += 1
        self._open_until_s = now_s + PROBE_INTERVAL_S

    def record_success(self) -> None:
        """Record a response and close the breaker."""
        self._failures = 0
