"""Audit trail of changes."""

import uuid
from typing import cast

from banyanswitch.components.audit.const import DOMAIN
from banyanswitch.components.audit.coordinator import AuditCoordinator
from banyanswitch.components.audit.retention import AuditRetention
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import ConfigurationView, LeaseManager, TableStore
from banyanswitch.settings import EntrySettings

__all__ = ["DOMAIN", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Start recording to the audit trail and deleting expired records."""
    settings = cast(EntrySettings, kernel.settings)
    table = kernel.require(TableStore)
    wall_clock = kernel.require(WallClock)
    coordinator = AuditCoordinator(
        table,
        kernel.bus,
        InstanceId(settings.instance),
        wall_clock,
        incarnation=uuid.uuid4().hex[:12],
    )
    retention = AuditRetention(
        table,
        kernel.require(LeaseManager),
        kernel.require(ConfigurationView),
        wall_clock,
    )
    kernel.on_stop(DOMAIN, coordinator.async_flush)
    kernel.create_task(coordinator.async_run(), "audit_records")
    kernel.create_task(retention.async_run(), "audit_retention")


REGISTRY.register(
    DOMAIN, async_setup, depends_on=("table_service", "configuration", "lease")
)
