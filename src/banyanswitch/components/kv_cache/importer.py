"""Import of stored prefixes before a request is sent."""

import asyncio
from collections.abc import Callable
from typing import Final

import structlog

from banyanswitch.components.kv_cache.errors import (
    ManifestRefusedError,
    StoredPrefixLostError,
    TransferError,
)
from banyanswitch.components.kv_cache.models import ImportOrder
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

EXPECTED_TIME_FACTOR: Final = 3.0
SHORTEST_DEADLINE_S: Final = 0.5


class StoredPrefixImporter:
    """Implementation of ``PrefixImporter``.

    An import that fails costs a recompute and nothing else. It ends after a few
    times its expected duration, when recomputing has become cheaper.

    Parameters
    ----------
    on_lost : callable
        Told of each stored prefix that can't be read any more.
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
        """Carry out the import that a placement asks for.

        Returns
        -------
        is_imported : bool
            Whether the upstream holds the verified prefix now.
        """
        wanted = attempt.place.import_first
        order = _order_of(attempt)
        if wanted is None or order is None:
            return False
        budget = self._stores.links.get(wanted.store)
        store_url = self._stores.url(wanted.store)
        if budget is None or store_url is None:
            return False
        if not budget.start_import(order.workspace, wanted.size_bytes, _now_s()):
            return False
        route = TransferRoute(attempt.url, store_url)
        return await self._async_import(attempt, order, route, budget)

    async def _async_import(
        self,
        attempt: Attempt,
        order: ImportOrder,
        route: TransferRoute,
        budget: LinkBudget,
    ) -> bool:
        wanted = attempt.place.import_first
        assert wanted is not None
        started_at_s = _now_s()
        try:
            await self._transferrer.async_import(order, route, _deadline_s(wanted))
        except (StoredPrefixLostError, ManifestRefusedError) as error:
            self._forget(attempt, error)
            budget.on_done(wanted.size_bytes, 0.0, _now_s())
            return False
        except TransferError as error:
            LOGGER.info("prefix_not_imported", run=attempt.run_id, reason=str(error))
            budget.on_failed(wanted.size_bytes, _now_s())
            return False
        except BaseException:
            budget.on_done(wanted.size_bytes, 0.0, _now_s())
            raise
        budget.on_done(wanted.size_bytes, _now_s() - started_at_s, _now_s())
        return True

    def _forget(self, attempt: Attempt, error: TransferError) -> None:
        LOGGER.info("stored_prefix_lost", run=attempt.run_id, reason=str(error))
        stored = self._cache_view.stored_match(attempt.request.piece_hashes)
        if stored is not None:
            self._on_lost(attempt, stored)


def _order_of(attempt: Attempt) -> ImportOrder | None:
    wanted = attempt.place.import_first
    version = attempt.request.weight_version
    if wanted is None or version is None:
        return None
    return ImportOrder(
        workspace=attempt.request.workspace,
        weight_version=version,
        upstream=attempt.place.upstream,
        store=wanted.store,
        manifest=wanted.manifest,
        pieces=wanted.pieces,
        piece_hashes=attempt.request.piece_hashes,
    )


def _deadline_s(wanted: ImportFirst) -> float:
    return max(SHORTEST_DEADLINE_S, EXPECTED_TIME_FACTOR * wanted.expected_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
