"""Idempotency records of calls that must not be repeated."""

import uuid
from typing import cast

from banyanswitch.components.idempotency.claim_store import TableClaimStore
from banyanswitch.components.idempotency.const import DOMAIN
from banyanswitch.components.idempotency.sweeper import ClaimSweeper
from banyanswitch.components.lease.const import DOMAIN as LEASE_DOMAIN
from banyanswitch.components.table_service.const import DOMAIN as PLATFORM_DOMAIN
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.interfaces import (
    ConfigurationView,
    IdempotencyStore,
    LeaseManager,
    ObjectStore,
    TableStore,
)
from banyanswitch.settings import EntrySettings

__all__ = ["DOMAIN", "TableClaimStore", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Provide the idempotency store and start the sweeper of expired records."""
    settings = cast(EntrySettings, kernel.settings)
    configuration = kernel.require(ConfigurationView)
    store = TableClaimStore(
        table=kernel.require(TableStore),
        objects=kernel.require(ObjectStore),
        wall_clock=kernel.require(WallClock),
        attempt_prefix=f"{settings.instance}/{uuid.uuid4().hex}",
        claim_s=settings.claim_s,
        retention=configuration.retention,
    )
    kernel.provide(IdempotencyStore, store)
    kernel.on_stop(DOMAIN, store.async_stop)
    sweeper = ClaimSweeper(
        table=kernel.require(TableStore),
        objects=kernel.require(ObjectStore),
        wall_clock=kernel.require(WallClock),
        leases=kernel.require(LeaseManager),
    )
    kernel.create_task(sweeper.async_run(), DOMAIN)


REGISTRY.register(
    DOMAIN, async_setup, depends_on=(PLATFORM_DOMAIN, LEASE_DOMAIN, "configuration")
)
