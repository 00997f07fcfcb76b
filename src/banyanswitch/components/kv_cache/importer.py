"""Import of stored prefixes before a request is sent to an upstream."""

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from banyanswitch.components.kv_cache.errors import (
    ManifestRefusedError,
    StoredPrefixLostError,
    TransferError,
)
from banyanswitch.components.kv_cache.models import ImportPlan
from banyanswitch.components.kv_cache.stores import StoreStates
from banyanswitch.components.kv_cache.transfers import (
    PrefixTransferrer,
    TransferRoute,
)
from banyanswitch.components.routing.models import Attempt
from banyanswitch.decisions.cache_view import CacheView, StoredPrefix
from banyanswitch.decisions.link_budget import LinkBudget
from banyanswitch.decisions.placement import ImportFirst

LOGGER = structlog.get_logger(__name__)

EXPECTED_DURATION_FACTOR: Final = 3.0
MIN_IMPORT_TIMEOUT_S: Final = 0.5


class StoredPrefixImporter:
    """Implementation of ``PrefixImporter``.

    The only cost of a failed import is that the prompt is recomputed. An import is
    cancelled after ``EXPECTED_DURATION_FACTOR`` times its expected duration, but
    not before ``MIN_IMPORT_TIMEOUT_S``: by then recomputing is cheaper. It is always
    cancelled after ``IMPORT_TIMEOUT_S``.

    Parameters
    ----------
    on_lost : callable
        Called for each stored prefix that can't be imported because it is missing,
        damaged or being freed, or because its manifest is refused.
    """

    def __init__(
        self,
        transferrer: PrefixTransferrer,
        stores: StoreStates,
        cache_view: CacheView,
        on_lost: Callable[[Attempt, StoredPrefix], None],
    ) -> None:
        self._transferrer = transferrer
        self._stores = stores
        self._cache_view = cache_view
        self._on_lost = on_lost

    async def async_import(self, attempt: Attempt) -> bool:
        """Execute the import that a placement requests.

        Returns
        -------
        is_imported : bool
            Whether the upstream now holds the verified prefix.
        """
        import_first = attempt.place.import_first
        plan = _import_plan(attempt)
        if import_first is None or plan is None:
            return False
        budget = self._stores.links.get(import_first.store)
        store_url = self._stores.url(import_first.store)
        if budget is None or store_url is None:
            return False
        if not budget.start_import(plan.workspace, import_first.size_bytes, _now_s()):
            return False
        route = TransferRoute(attempt.url, store_url)
        return await self._async_import(attempt, plan, route, budget)

    async def _async_import(
        self,
        attempt: Attempt,
        plan: ImportPlan,
        route: TransferRoute,
        budget: LinkBudget,
    ) -> bool:
        import_first = attempt.place.import_first
        assert import_first is not None
        started_at_s = _now_s()
        try:
            await self._transferrer.async_import(
                plan, route, _import_timeout_s(import_first)
            )
        except (StoredPrefixLostError, ManifestRefusedError) as error:
            self._report_lost(attempt, error)
            # A duration of 0 leaves the average rate of the link unchanged.
            budget.on_done(import_first.size_bytes, 0.0, _now_s())
            return False
        except TransferError as error:
            LOGGER.info("prefix_not_imported", run=attempt.run_id, reason=str(error))
            budget.on_failed(import_first.size_bytes, _now_s())
            return False
        except BaseException:
            budget.on_done(import_first.size_bytes, 0.0, _now_s())
            raise
        budget.on_done(import_first.size_bytes, _now_s() - started_at_s, _now_s())
        return True

    def _report_lost(self, attempt: Attempt, error: TransferError) -> None:
        LOGGER.info("stored_prefix_lost", run=attempt.run_id, reason=str(error))
        stored = self._cache_view.stored_match(attempt.request.piece_hashes)
        if stored is not None:
            self._on_lost(attempt, stored)


def _import_plan(attempt: Attempt) -> ImportPlan | None:
    import_first = attempt.place.import_first
    version = attempt.request.weight_version
    if import_first is None or version is None:
        return None
    return ImportPlan(
        workspace=attempt.request.workspace,
        weight_version=version,
        upstream=attempt.place.upstream,
        store=import_first.store,
        manifest=import_first.manifest,
        pieces=import_first.pieces,
        piece_hashes=attempt.request.piece_hashes,
    )


def _import_timeout_s(import_first: ImportFirst) -> float:
    return max(MIN_IMPORT_TIMEOUT_S, EXPECTED_DURATION_FACTOR * import_first.expected_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
