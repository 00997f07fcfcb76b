"""Clients of the platform's table service and object store."""

from typing import cast

from banyanswitch.components.platform.client import PlatformClient
from banyanswitch.components.platform.const import DOMAIN
from banyanswitch.components.platform.objects import HttpObjectStore
from banyanswitch.components.platform.table import HttpTableStore
from banyanswitch.components.platform.write_budget import WriteBudget
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import ObjectStore, TableStore
from banyanswitch.settings import EntrySettings

__all__ = ["DOMAIN", "HttpObjectStore", "HttpTableStore", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Provide the table service and the object store."""
    settings = cast(EntrySettings, kernel.settings)
    instance = InstanceId(settings.instance)
    timeout_s = settings.platform_timeout_s
    table_client = PlatformClient(settings.table_url, instance, timeout_s)
    object_client = PlatformClient(settings.effective_object_url, instance, timeout_s)
    budget = WriteBudget(settings.table_writes_per_s, kernel.now_s)
    kernel.provide(TableStore, HttpTableStore(table_client, budget))
    kernel.provide(ObjectStore, HttpObjectStore(object_client))
    kernel.on_stop(DOMAIN, table_client.async_close)
    kernel.on_stop(DOMAIN, object_client.async_close)


REGISTRY.register(DOMAIN, async_setup)
