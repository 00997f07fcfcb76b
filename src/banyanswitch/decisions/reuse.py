"""Decisions on which prefixes to export to stores, drop from them and prefetch."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from banyanswitch.config.models import ReusePolicy
from banyanswitch.decisions.cache_view import CacheView, StoredPrefix
from banyanswitch.decisions.export_planner import ExportPlanner
from banyanswitch.decisions.export_queue import ExportQueue
from banyanswitch.decisions.link_budget import LinkBudgets
from banyanswitch.decisions.prefix import prefix_key
from banyanswitch.decisions.prompt_index import PromptIndex, PromptRecord
from banyanswitch.decisions.reuse_models import (
    Drop,
    Export,
    Prefetch,
    PromptUse,
    ReuseSettings,
    StoreSpace,
)
from banyanswitch.decisions.sampled_set import SampledSet
from banyanswitch.identifiers import PrefixHash, StoreId, UpstreamId, WeightVersion

DROP_SAMPLES: Final = 32
PREFETCH_SAMPLES: Final = 32


@dataclass(slots=True)
class _Exporting:
    record: PromptRecord
    use: PromptUse


class ReusePlanner:
    """Track the prompts of one service and decide what stores keep.

    Parameters
    ----------
    cache_view : CacheView
        Read for the prefixes that upstreams hold; updated with those that stores
        hold.
    links : LinkBudgets
        Budgets of the links to the stores.
    generator : random.Random
        Random generator for the samples from which drops and prefetches are chosen.
    """

    def __init__(
        self,
        settings: ReuseSettings,
        cache_view: CacheView,
        links: LinkBudgets,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._cache_view = cache_view
        self._links = links
        self._generator = generator
        self._prompts = PromptIndex(settings.max_prompts, settings.horizon_s)
        self._exports = ExportPlanner(settings, self._prompts, links)
        self._queue = ExportQueue(settings.max_pending)
        self._exporting: dict[str, _Exporting] = {}
        self._stored_keys: dict[StoreId, SampledSet] = {}

    def set_policy(self, weights: ReusePolicy, piece_size_bytes: int) -> None:
        """Replace the weights and the piece size for later decisions."""
        self._settings = replace(
            self._settings, weights=weights, piece_size_bytes=piece_size_bytes
        )
        self._exports.set_settings(self._settings)

    @property
    def prompt_count(self) -> int:
        """Number of tracked prompts."""
        return len(self._prompts)

    @property
    def pending_count(self) -> int:
        """Number of prompts waiting for export."""
        return len(self._queue)

    def on_used(self, use: PromptUse, now_s: float) -> None:
        """Track the use of a prompt; called at its first token."""
        if not use.piece_hashes:
            return
        key = prefix_key(use.piece_hashes[-1])
        record = self._prompts.pop_longest_prefix(use.piece_hashes, now_s)
        if record is None:
            record = _new_record(key, use, now_s)
        self._queue.discard(record.key)
        self._remove_stored_key(record)
        record.key = key
        record.pieces = len(use.piece_hashes)
        record.upstream = use.upstream
        self._prompts.put(record)
        self._add_stored_key(record)
        if record.stored is None or record.stored.pieces < record.pieces:
            self._queue.put(key, record.returns, use)
        evicted = self._prompts.pop_excess(now_s)
        if evicted is not None:
            self._remove_stored_key(evicted)
            self._queue.discard(evicted.key)

    def next_export(self, spaces: Sequence[StoreSpace], now_s: float) -> Export | None:
        """Return the export with the highest priority that the links allow.

        The size of the export is deducted from the link budget. The caller must
        report the outcome with `on_exported` or `on_export_failed`.
        """
        for key, use in self._queue.candidates():
            record = self._prompts.get(key)
            if record is None or not self._is_cached(use):
                self._queue.discard(key)
                continue
            if record.is_exporting:
                continue
            export = self._exports.plan(record, use, spaces, now_s)
            if export is not None:
                self._queue.discard(key)
                record.is_exporting = True
                self._exporting[export.manifest] = _Exporting(record, use)
                return export
        return None

    def on_exported(
        self, export: Export, elapsed_s: float, now_s: float, *, is_on_disk: bool
    ) -> None:
        """Handle a completed export: the store holds the whole prefix."""
        budget = self._links.get(export.store)
        if budget is not None:
            budget.on_done(export.size_bytes, elapsed_s, now_s)
        stored = StoredPrefix(
            store=export.store,
            manifest=export.manifest,
            pieces=len(export.piece_hashes),
            size_bytes=len(export.piece_hashes) * self._settings.piece_size_bytes,
            is_on_disk=is_on_disk,
        )
        if export.replaces is not None:
            self._cache_view.discard_stored(PrefixHash(export.replaces))
        self._cache_view.add_stored(export.piece_hashes[-1], stored)
        exporting = self._exporting.pop(export.manifest, None)
        if exporting is None:
            return
        record = exporting.record
        record.is_exporting = False
        self._remove_stored_key(record)
        record.stored = stored
        self._add_stored_key(record)
        is_latest = prefix_key(exporting.use.piece_hashes[-1]) == record.key
        if is_latest and stored.pieces < record.pieces:
            self._queue.put(record.key, record.returns, exporting.use)

    def on_announced(self, stored: StoredPrefix) -> None:
        """Handle a stored prefix that another instance announced."""
        tail = PrefixHash(stored.manifest)
        self._cache_view.add_stored(tail, stored)
        record = self._prompts.get(prefix_key(tail))
        if record is None:
            return
        self._remove_stored_key(record)
        record.stored = stored
        self._add_stored_key(record)
        self._queue.discard(record.key)

    def on_export_failed(self, export: Export, now_s: float) -> None:
        """Handle a failed export; the prompt is queued again at its next use."""
        budget = self._links.get(export.store)
        if budget is not None:
            budget.on_failed(export.size_bytes, now_s)
        exporting = self._exporting.pop(export.manifest, None)
        if exporting is not None:
            exporting.record.is_exporting = False

    def on_lost(self, stored: StoredPrefix) -> None:
        """Remove a stored prefix that could not be read."""
        tail = PrefixHash(stored.manifest)
        self._cache_view.discard_stored(tail)
        record = self._prompts.get(prefix_key(tail))
        if record is not None and record.stored == stored:
            self._remove_stored_key(record)
            record.stored = None

    def on_store_lost(self, store: StoreId) -> None:
        """Remove all prefixes of a store that was lost."""
        self._cache_view.remove_store(store)
        self._stored_keys.pop(store, None)
        for record in self._prompts:
            if record.stored is not None and record.stored.store == store:
                record.stored = None

    def next_drops(
        self, store: StoreId, needed_bytes: int, now_s: float
    ) -> tuple[Drop, ...]:
        """Return the prefixes to delete to free ``needed_bytes`` in a store.

        Each one is the least likely to return of a random sample.
        """
        drops: list[Drop] = []
        freed_bytes = 0
        while freed_bytes < needed_bytes:
            record = self._least_likely_to_return(store, now_s)
            if record is None or record.stored is None:
                break
            freed_bytes += record.stored.size_bytes
            drops.append(self._drop(record, record.stored))
        return tuple(drops)

    def retire_version(self, version: WeightVersion) -> tuple[Drop, ...]:
        """Remove the prompts of a version that no run uses and drop their prefixes."""
        drops: list[Drop] = []
        for record in self._prompts:
            if record.weight_version != version:
                continue
            if record.stored is not None:
                drops.append(self._drop(record, record.stored))
            self._prompts.remove(record.key)
            self._queue.discard(record.key)
        return tuple(drops)

    def next_prefetches(
        self, upstreams: Sequence[UpstreamId], limit: int, now_s: float
    ) -> tuple[Prefetch, ...]:
        """Return stored prefixes that are worth importing before they are requested.

        An import is worth it if the probability of a return within the prefetch
        horizon, times the first-token weight, exceeds the probability of an unneeded
        transfer, times the link weight.
        """
        weights = self._settings.weights
        results: list[Prefetch] = []
        for keys in self._stored_keys.values():
            for key in keys.sample(PREFETCH_SAMPLES, self._generator):
                record = self._prompts.get(key)
                if record is None or record.stored is None or not upstreams:
                    continue
                probability = self._prompts.return_probability(
                    record, now_s, self._settings.prefetch_horizon_s
                )
                gain = probability * weights.first_token_weight
                if gain <= (1.0 - probability) * weights.link_weight:
                    continue
                upstream = self._generator.choice(upstreams)
                results.append(Prefetch(record.workspace, record.stored, upstream))
        return tuple(results[:limit])

    def cache_values_s(self, now_s: float) -> dict[UpstreamId, float]:
        """Return the prefill time that each upstream's cache may save, in seconds.

        It is weighted by the probability of a return. Pieces that a store holds too are
        not counted.
        """
        values: dict[UpstreamId, float] = {}
        for record in self._prompts:
            stored_pieces = record.stored.pieces if record.stored is not None else 0
            pieces = max(0, record.pieces - stored_pieces)
            value_s = pieces * self._settings.piece_prefill_s
            value_s *= self._prompts.return_probability(record, now_s)
            values[record.upstream] = values.get(record.upstream, 0.0) + value_s
        return values

    def _is_cached(self, use: PromptUse) -> bool:
        matches = self._cache_view.matches(use.piece_hashes)
        return any(match.upstream == use.upstream for match in matches)

    def _least_likely_to_return(
        self, store: StoreId, now_s: float
    ) -> PromptRecord | None:
        keys = self._stored_keys.get(store)
        if keys is None:
            return None
        found = [
            self._prompts.get(key) for key in keys.sample(DROP_SAMPLES, self._generator)
        ]
        records = [record for record in found if record is not None]
        if not records:
            return None
        return min(
            records,
            key=lambda record: self._prompts.return_probability(record, now_s),
        )

    def _drop(self, record: PromptRecord, stored: StoredPrefix) -> Drop:
        self._cache_view.discard_stored(PrefixHash(stored.manifest))
        self._remove_stored_key(record)
        record.stored = None
        return Drop(stored.store, stored.manifest)

    def _add_stored_key(self, record: PromptRecord) -> None:
        if record.stored is None or self._prompts.get(record.key) is not record:
            return
        keys = self._stored_keys.setdefault(record.stored.store, SampledSet())
        keys.add(record.key)

    def _remove_stored_key(self, record: PromptRecord) -> None:
        if record.stored is None:
            return
        keys = self._stored_keys.get(record.stored.store)
        if keys is not None:
            keys.discard(record.key)


def _new_record(key: int, use: PromptUse, now_s: float) -> PromptRecord:
    return PromptRecord(
        key=key,
        workspace=use.workspace,
        weight_version=use.weight_version,
        pieces=len(use.piece_hashes),
        last_use_s=now_s,
        upstream=use.upstream,
    )
