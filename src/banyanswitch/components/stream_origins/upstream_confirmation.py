"""Confirmation that the copy of the upstreams' entries is not behind the store."""

import asyncio
from collections.abc import Callable

import structlog

from banyanswitch.components.stream_origins.const import (
    CONFIRMATION_MAX_SPACING_S,
    CONFIRMATION_PAUSE_S,
    CONFIRMATION_TIMEOUT_S,
    CONFIRMATIONS_PER_S,
)
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import PlatformError
from banyanswitch.interfaces import TableFeed

LOGGER = structlog.get_logger(__name__)


class UpstreamConfirmation:
    """Reads what the copy of the upstreams' entries lacks, on demand.

    The age of the last contact proves nothing: a partition or a suspension shows only
    after some seconds, and the instance that relays the store may lag itself. Only a
    read of the store that begins after a question shows that no newer entry exists.

    Parameters
    ----------
    mirror : TableMirror
        Copy of the upstreams' entries.
    store : TableFeed
        The store itself, not an instance that reads it.
    instance_count : callable
        Number of instances that share `CONFIRMATIONS_PER_S`.
    """

    def __init__(
        self,
        mirror: TableMirror,
        store: TableFeed,
        instance_count: Callable[[], int],
    ) -> None:
        self._mirror = mirror
        self._store = store
        self._instance_count = instance_count
        self._next: asyncio.Task[bool] | None = None
        self._begun_at_s = float("-inf")
        self._failed_at_s = float("-inf")

    async def async_confirm(self) -> bool:
        """Apply all changes that the store has at the time of this call.

        Callers share the next read that has not begun.

        Returns
        -------
        is_confirmed : bool
            ``False`` if the store didn't answer in time, or if a read has failed within
            the last `CONFIRMATION_PAUSE_S`.
        """
        if _now_s() - self._failed_at_s < CONFIRMATION_PAUSE_S:
            return False
        if self._next is None:
            self._next = asyncio.create_task(self._async_read())
        return await asyncio.shield(self._next)

    async def _async_read(self) -> bool:
        spacing_s = max(1, self._instance_count()) / CONFIRMATIONS_PER_S
        spacing_s = min(spacing_s, CONFIRMATION_MAX_SPACING_S)
        await asyncio.sleep(self._begun_at_s + spacing_s - _now_s())
        # Later questions need a read of their own.
        self._next = None
        self._begun_at_s = _now_s()
        try:
            async with asyncio.timeout(CONFIRMATION_TIMEOUT_S):
                await self._mirror.async_catch_up(self._store)
        except (PlatformError, TimeoutError) as error:
            self._failed_at_s = _now_s()
            LOGGER.info("upstreams_not_confirmed", reason=str(error) or "no answer")
            return False
        return True


def _now_s() -> float:
    return asyncio.get_running_loop().time()
