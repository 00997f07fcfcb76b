"""Services whose load this instance follows, and the instances that follow it too."""

from collections.abc import Iterable
from typing import Protocol

from banyanswitch.components.upstream_load.const import INTEREST_LIFETIME_S
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import Peer


class ServiceInterest(Protocol):
    """Knows which instances serve which services."""

    def declare_services(self, services: Iterable[ServiceName]) -> None:
        """Tell the others which services this instance serves."""

    def serving(self, service: ServiceName) -> tuple[Peer, ...]:
        """Return the live instances that serve a service, in a fixed order."""


class UsedServices:
    """Services used here within ``INTEREST_LIFETIME_S``."""

    def __init__(self) -> None:
        self._used_at_s: dict[ServiceName, float] = {}

    def note(self, service: ServiceName, now_s: float) -> bool:
        """Note a use and return whether the service was not followed before."""
        is_new = service not in self._used_at_s
        self._used_at_s[service] = now_s
        return is_new

    def expire(self, now_s: float) -> bool:
        """Forget services not used for long; return whether there were any."""
        expired = [
            service
            for service, used_at_s in self._used_at_s.items()
            if now_s - used_at_s > INTEREST_LIFETIME_S
        ]
        for service in expired:
            del self._used_at_s[service]
        return bool(expired)

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services that are followed."""
        return tuple(self._used_at_s)
