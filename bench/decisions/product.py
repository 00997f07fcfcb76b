"""Entries of a deployment that run the product's decisions."""

from collections.abc import Callable

from banyanswitch.decisions.address_choice import (
    EntryView,
    choose_entries,
    order_for_conversation,
)
from banyanswitch.identifiers import FailureDomainId, InstanceId, WorkspaceId
from bench.decisions.entry import Entry
from bench.decisions.fleet import Fleet
from bench.decisions.workload import Request


class ProductEntries:
    """Routes requests to the entries that callers would choose."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        deployment = fleet.deployment
        self._views = [
            EntryView(
                InstanceId(f"i{index}"),
                FailureDomainId(f"d{index % deployment.failure_domains}"),
            )
            for index in range(deployment.entries)
        ]
        self.entries = {
            view.instance: Entry(fleet, view.instance, seed) for view in self._views
        }
        self._count = deployment.entries_per_workspace
        self._chosen: dict[WorkspaceId, tuple[InstanceId, ...]] = {}

    def handle(self, request: Request) -> None:
        """Pass a request to the preferred entry of its caller."""
        chosen = self._chosen.get(request.workspace)
        if chosen is None:
            chosen = choose_entries(request.workspace, self._views, self._count)
            self._chosen[request.workspace] = chosen
        first = order_for_conversation(request.conversation, chosen)[0]
        self.entries[first].handle(request)


Handler = Callable[[Request], None]
