"""Exports to stores that the reuse planner requests."""

from collections.abc import Callable

from banyanswitch.decisions.reuse import ReusePlanner
from banyanswitch.decisions.reuse_models import Export
from bench.decisions.fleet import Fleet
from bench.decisions.storage import Store

# Share of the space of a store to keep free after an export.
FREE_SPACE_SHARE = 0.02


class ExportRunner:
    """Runs the exports of one entry.

    Parameters
    ----------
    fleet : Fleet
        Provides the stores and the clock.
    planner : ReusePlanner
        Decides which prefixes are exported.
    update_stores : callable
        Called after an export or a failed transfer, to refresh the views of the stores.
    """

    def __init__(
        self, fleet: Fleet, planner: ReusePlanner, update_stores: Callable[[], None]
    ) -> None:
        self._fleet = fleet
        self._simulator = fleet.simulator
        self._planner = planner
        self._update_stores = update_stores

    def start(self) -> None:
        """Start all exports that the planner requests now."""
        spaces = [
            store.space() for store in self._fleet.stores.values() if store.is_alive
        ]
        now_s = self._simulator.now_s
        while (export := self._planner.next_export(spaces, now_s)) is not None:
            self._run(export)

    def _run(self, export: Export) -> None:
        store = self._fleet.stores[export.store]

        def done(elapsed_s: float) -> None:
            self._make_space(store, export)
            if not store.put(export.manifest, export.piece_hashes, export.tier):
                self._planner.on_export_failed(export, self._simulator.now_s)
                return
            if export.replaces is not None and export.replaces != export.manifest:
                store.delete(export.replaces)
            now_s = self._simulator.now_s
            self._planner.on_exported(export, elapsed_s, now_s, is_on_disk=False)
            self._update_stores()

        def failed() -> None:
            self._planner.on_export_failed(export, self._simulator.now_s)
            self._planner.on_store_lost(export.store)
            self._update_stores()

        store.link.transfer(
            export.size_bytes, is_export=True, on_done=done, on_failed=failed
        )

    def _make_space(self, store: Store, export: Export) -> None:
        total = store.memory_bytes + store.disk_bytes
        missing = int(FREE_SPACE_SHARE * total) + export.size_bytes - store.free_bytes
        if missing <= 0:
            return
        now_s = self._simulator.now_s
        for drop in self._planner.next_drops(store.name, missing, now_s):
            store.delete(drop.manifest)
