"""Services whose loads this instance receives, and the instances that use them."""

from collections.abc import Iterable
from typing import Protocol

from banyanswitch.components.upstream_load.const import INTEREST_LIFETIME_S
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import Peer


class ServiceInterest(Protocol):
    """Directory of the instances that use each service."""

    def declare_services(self, services: Iterable[ServiceName]) -> None:
        """Announce to other instances the services that this instance uses."""

    def serving(self, service: ServiceName) -> tuple[Peer, ...]:
        """Return the live instances that use a service, sorted by identifier."""


class UsedServices:
    """Services that this instance used within the last ``INTEREST_LIFETIME_S``."""

    def __init__(self) -> None:
        self._used_at_s: dict[ServiceName, float] = {}

    def record(self, service: ServiceName, now_s: float) -> bool:
        """Record a use and return whether the service was not in use before."""
        is_new = service not in self._used_at_s
        self._used_at_s[service] = now_s
        return is_new

    def expire(self, now_s: float) -> bool:
        """Remove expired services and return whether there were any."""
        expired = [
            service
            for service, used_at_s in self._used_at_s.items()
            if now_s - used_at_s > INTEREST_LIFETIME_S
        ]
        for service in expired:
            del self._used_at_s[service]
        return bool(expired)

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services in use."""
        return tuple(self._used_at_s)
