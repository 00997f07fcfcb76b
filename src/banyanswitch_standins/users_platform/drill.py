"""Drill in which the store goes away and returns from an older copy."""

import asyncio
import random

from banyanswitch_standins.users_platform.store import PlatformStore, RowName

REWRITE_WITHIN_S = 2.0


class StoreDrill:
    """Driver of drills of one store, in place of the platform and outside writers.

    Operators and upstreams write again what the store has lost of theirs. Nobody does
    so for the rows of the system under test, which are written by transactions.

    Parameters
    ----------
    store : PlatformStore
        Store that goes away and returns.
    seed : int
        Seed of the delays of the rewritten rows.
    rewrite_within_s : float
        Highest delay between the store's return and a rewritten row, in seconds.
    """

    def __init__(
        self,
        store: PlatformStore,
        seed: int,
        *,
        rewrite_within_s: float = REWRITE_WITHIN_S,
    ) -> None:
        self._store = store
        self._random = random.Random(seed)
        self._rewrite_within_s = rewrite_within_s
        self._lock = asyncio.Lock()

    async def async_run(self, copy_age_s: float, down_s: float) -> None:
        """Run a drill, and return once all lost outside writes are written again.

        The store goes away ``copy_age_s`` seconds after its copy was taken, for
        ``down_s`` seconds. Another drill may begin while rows are still being
        rewritten, but not before the store has returned.
        """
        async with self._lock:
            first_lost = len(self._store.outside_writes)
            self._store.take_copy()
            await asyncio.sleep(copy_age_s)
            self._store.go_away()
            await asyncio.sleep(down_s)
            await self._store.async_return_from_copy()
            end = len(self._store.outside_writes)
        newest = dict(self._store.outside_writes[first_lost:end])
        delays_s = [self._random.uniform(0.0, self._rewrite_within_s) for _ in newest]
        await asyncio.gather(
            *(
                self._async_rewrite(name, value, end, delay_s)
                for (name, value), delay_s in zip(newest.items(), delays_s, strict=True)
            )
        )

    async def _async_rewrite(
        self, name: RowName, value: bytes | None, end: int, delay_s: float
    ) -> None:
        """Write a row again, unless an outside writer has written it meanwhile."""
        await asyncio.sleep(delay_s)
        if any(name == other for other, _ in self._store.outside_writes[end:]):
            return
        table, _, key = name
        await self._store.async_put(table, key, value)
