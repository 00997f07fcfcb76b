"""Decision on whether, where and how much of a prompt is exported."""

from collections.abc import Sequence

from banyanswitch.decisions.link_budget import LinkBudgets
from banyanswitch.decisions.prompt_index import PromptIndex, PromptRecord
from banyanswitch.decisions.reuse_models import (
    Export,
    PromptUse,
    ReuseSettings,
    StoreSpace,
    StoreTier,
)


class ExportPlanner:
    """Plan the export of single prompts.

    Parameters
    ----------
    prompts : PromptIndex
        Source of the probability that a prompt returns.
    links : LinkBudgets
        Budgets of the links to the stores.
    """

    def __init__(
        self, settings: ReuseSettings, prompts: PromptIndex, links: LinkBudgets
    ) -> None:
        self._settings = settings
        self._prompts = prompts
        self._links = links

    def set_settings(self, settings: ReuseSettings) -> None:
        """Replace the settings for later plans."""
        self._settings = settings

    def plan(
        self,
        record: PromptRecord,
        use: PromptUse,
        spaces: Sequence[StoreSpace],
        now_s: float,
    ) -> Export | None:
        """Return an export of the pieces not stored yet, if worthwhile and affordable.

        The export may cover only the leading pieces that the budget of the link
        allows. Its size is deducted from that budget.
        """
        space = self._choose_store(record, use, spaces, now_s)
        budget = self._links.get(space.store) if space is not None else None
        if space is None or budget is None:
            return None
        if not self._is_worthwhile(record, budget.view(now_s).bytes_per_s, now_s):
            return None
        piece_size = self._settings.piece_size_bytes
        stored_pieces = record.stored.pieces if record.stored is not None else 0
        allowed = int(budget.export_bytes(use.workspace, now_s) // piece_size)
        pieces = min(len(use.piece_hashes), stored_pieces + allowed)
        size_bytes = (pieces - stored_pieces) * piece_size
        if size_bytes <= 0:
            return None
        if not budget.start_export(use.workspace, size_bytes, now_s):
            return None
        return Export(
            workspace=use.workspace,
            weight_version=use.weight_version,
            upstream=use.upstream,
            store=space.store,
            tier=self._choose_tier(record, now_s),
            manifest=use.piece_hashes[pieces - 1],
            piece_hashes=use.piece_hashes[:pieces],
            stored_pieces=stored_pieces,
            size_bytes=size_bytes,
            replaces=record.stored.manifest if record.stored is not None else None,
        )

    def _choose_store(
        self,
        record: PromptRecord,
        use: PromptUse,
        spaces: Sequence[StoreSpace],
        now_s: float,
    ) -> StoreSpace | None:
        best: StoreSpace | None = None
        best_rank = (False, 0.0)
        for space in spaces:
            budget = self._links.get(space.store)
            if budget is None:
                continue
            if record.stored is not None and record.stored.store != space.store:
                continue
            allowed_bytes = budget.export_bytes(use.workspace, now_s)
            if allowed_bytes < self._settings.piece_size_bytes:
                continue
            rank = (space.failure_domain == use.failure_domain, allowed_bytes)
            if best is None or rank > best_rank:
                best = space
                best_rank = rank
        return best

    def _choose_tier(self, record: PromptRecord, now_s: float) -> StoreTier:
        probability = self._prompts.return_probability(
            record, now_s, self._settings.memory_horizon_s
        )
        is_soon = probability >= self._settings.memory_probability
        return StoreTier.MEMORY if is_soon else StoreTier.DISK

    def _is_worthwhile(
        self, record: PromptRecord, bytes_per_s: float, now_s: float
    ) -> bool:
        if bytes_per_s <= 0:
            return False
        weights = self._settings.weights
        link_s = self._settings.piece_size_bytes / bytes_per_s
        prefill_s = self._settings.piece_prefill_s
        gain = weights.first_token_weight * (prefill_s - link_s)
        gain += weights.recompute_weight * prefill_s
        gain -= weights.link_weight * link_s
        probability = self._prompts.return_probability(record, now_s)
        return probability * gain > weights.link_weight * link_s
