"""Refusal of calls to a service that keeps failing."""

from banyanswitch.components.table_service.const import FAILURES_BEFORE_PAUSE, PAUSE_S
from banyanswitch.exceptions import PlatformUnavailableError


class OutageGate:
    """Let one probe through per pause while a service fails.

    Without it each call would wait for its deadline during an outage.

    Parameters
    ----------
    service : str
        Name of the service in messages.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._failures = 0
        self._closed_until_s = 0.0

    def check(self, now_s: float) -> None:
        """Admit a call.

        Raises
        ------
        PlatformUnavailableError
            If the service failed lately and it is not time for a probe.
        """
        if self._failures < FAILURES_BEFORE_PAUSE:
            return
        if now_s < self._closed_until_s:
            raise PlatformUnavailableError(
                f"{self._service} is failing", self._closed_until_s - now_s
            )
        self._closed_until_s = now_s + PAUSE_S

    def record_failure(self, now_s: float) -> None:
        """Take in that a call got no usable answer."""
        self._failures += 1
        self._closed_until_s = now_s + PAUSE_S

    def record_success(self) -> None:
        """Take in that the service answered."""
        self._failures = 0
