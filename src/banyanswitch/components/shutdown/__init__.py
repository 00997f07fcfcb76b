"""Graceful shutdown of the instance."""

from typing import cast

from banyanswitch.components.gateway.server import CallerServer
from banyanswitch.components.shutdown.const import DOMAIN
from banyanswitch.components.shutdown.coordinator import ShutdownCoordinator
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.settings import EntrySettings


async def async_setup(kernel: Kernel) -> None:
    """Provide the `ShutdownCoordinator`."""
    coordinator = ShutdownCoordinator(
        kernel, kernel.require(CallerServer), cast(EntrySettings, kernel.settings)
    )
    kernel.provide(ShutdownCoordinator, coordinator)


REGISTRY.register(DOMAIN, async_setup, depends_on=("gateway", "membership"))
