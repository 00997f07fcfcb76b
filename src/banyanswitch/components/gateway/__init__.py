"""HTTP API for callers."""

from typing import cast

from banyanswitch.components.gateway.const import DOMAIN
from banyanswitch.components.gateway.server import CallerServer
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.settings import EntrySettings


async def async_setup(kernel: Kernel) -> None:
    """Provide and start the `CallerServer`.

    Of all components, only ``shutdown`` is set up after it.
    """
    settings = cast(EntrySettings, kernel.settings)
    server = CallerServer(kernel, settings)
    kernel.provide(CallerServer, server)
    kernel.on_stop(DOMAIN, server.async_stop)
    await server.async_start()


REGISTRY.register(
    DOMAIN,
    async_setup,
    depends_on=("admission", "routing", "addresses", "configuration", "metrics"),
)
