"""Composition root: sets up all components of the serving process."""

import importlib
import os
import random

from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.run_identity import RunIdentityCodec
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.helpers.wall_clock import SystemWallClock, WallClock
from banyanswitch.settings import EntrySettings

ENTRY_DOMAINS = (
    "table_service",
    "peers",
    "membership",
    "configuration",
    "audit",
    "lease",
    "upstream_load",
    "idempotency",
    "addresses",
    "admission",
    "routing",
    "kv_cache",
    "weights",
    "metrics",
    "gateway",
    "shutdown",
)
COMPONENTS_PACKAGE = "banyanswitch.components"
SETUP_MODULES = {
    "table_service": "table_service.setup",
    "peers": "peers.setup",
    "membership": "membership.setup",
}
"""Setup modules that are separate from their packages: they import aiohttp and pynng,
and other processes use these components without these libraries."""


def disable_io_uring() -> None:
    """Keep the event loop from using io_uring; call before a loop is created."""
    os.environ["UV_USE_IO_URING"] = "0"


async def async_compose(
    settings: EntrySettings, domains: tuple[str, ...] = ENTRY_DOMAINS
) -> Kernel:
    """Set up all components of the serving process.

    Raises
    ------
    BanyanswitchError
        If a component can't be set up; those set up before have been stopped.
    """
    for domain in domains:
        module = SETUP_MODULES.get(domain, domain)
        importlib.import_module(f"{COMPONENTS_PACKAGE}.{module}")
    kernel = Kernel(settings)
    _provide_shared_services(kernel, settings)
    try:
        for component in REGISTRY.sorted_by_dependency(domains):
            await component.async_setup(kernel)
    except BaseException:
        await kernel.async_stop()
        raise
    return kernel


def _provide_shared_services(kernel: Kernel, settings: EntrySettings) -> None:
    previous = settings.peer_key_previous.encode() or None
    keys = SigningKeys(settings.peer_key.encode(), previous)
    kernel.provide(SigningKeys, keys)
    kernel.provide(RunIdentityCodec, RunIdentityCodec(keys))
    kernel.provide(random.Random, random.Random(settings.random_seed or None))
    kernel.provide(WallClock, SystemWallClock())
