"""Addresses of the entries that callers use."""

from typing import cast

from banyanswitch.components.addresses.const import DOMAIN
from banyanswitch.components.addresses.coordinator import AddressCoordinator
from banyanswitch.components.addresses.models import AddressAnswer, EntryAddress
from banyanswitch.components.membership.const import DOMAIN as MEMBERSHIP_DOMAIN
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import PeerDirectory
from banyanswitch.settings import EntrySettings

__all__ = [
    "DOMAIN",
    "AddressAnswer",
    "AddressCoordinator",
    "EntryAddress",
    "async_setup",
]


async def async_setup(kernel: Kernel) -> None:
    """Provide the ``AddressCoordinator``."""
    settings = cast(EntrySettings, kernel.settings)
    directory = kernel.require(PeerDirectory)
    kernel.provide(
        AddressCoordinator, AddressCoordinator(directory, settings.address_ttl_s)
    )


REGISTRY.register(DOMAIN, async_setup, depends_on=(MEMBERSHIP_DOMAIN,))
