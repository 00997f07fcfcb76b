"""Setup of the table service and object store clients of the entry process."""

from typing import cast

from banyanswitch.components.membership.models import PeersChanged
from banyanswitch.components.table_service.const import DOMAIN
from banyanswitch.components.table_service.http_client import (
    PlatformClient,
    new_platform_session,
)
from banyanswitch.components.table_service.object_store import HttpObjectStore
from banyanswitch.components.table_service.table_store import HttpTableStore
from banyanswitch.components.table_service.write_budget import WriteBudget
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import ObjectStore, PeerDirectory, TableStore
from banyanswitch.settings import EntrySettings


async def async_setup(kernel: Kernel) -> None:
    """Provide the clients of the table service and the object store."""
    settings = cast(EntrySettings, kernel.settings)
    session = new_platform_session()
    kernel.on_stop(DOMAIN, session.close)
    caller = InstanceId(settings.instance)
    timeout_s = settings.platform_timeout_s
    table = PlatformClient(session, settings.table_url, caller, timeout_s)
    objects = PlatformClient(session, settings.effective_object_url, caller, timeout_s)
    budget = WriteBudget(settings.table_writes_per_s, kernel.now_s)

    def divide_budget(_message: PeersChanged) -> None:
        instances = max(1, len(kernel.require(PeerDirectory).peers()))
        budget.set_rate(settings.table_writes_per_s / instances, kernel.now_s)

    kernel.bus.subscribe(PeersChanged, divide_budget)
    kernel.provide(TableStore, HttpTableStore(table, budget))
    kernel.provide(ObjectStore, HttpObjectStore(objects))


REGISTRY.register(DOMAIN, async_setup)
