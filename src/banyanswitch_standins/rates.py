"""Rate limits and a priority semaphore for the stand-ins."""

import asyncio
import heapq
from itertools import count


class TokenBucket:
    """Rate limit that admits the operations of one second as a burst.

    Parameters
    ----------
    rate_per_s : float
        Operations per second; 0 means no limit.
    """

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._available = rate_per_s
        self._updated_at_s: float | None = None

    def try_take(self, amount: float) -> bool:
        """Take ``amount`` operations if available, and return whether they were."""
        if self._rate_per_s <= 0:
            return True
        self._refill()
        if self._available < amount:
            return False
        self._available -= amount
        return True

    def _refill(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if self._updated_at_s is not None:
            elapsed_s = now_s - self._updated_at_s
            self._available = min(
                self._rate_per_s, self._available + elapsed_s * self._rate_per_s
            )
        self._updated_at_s = now_s


class SharedLink:
    """Simulated network link that carries one transfer after the other.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth in bytes per second; 0 means no limit.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    async def async_transfer(self, size_bytes: int) -> None:
        """Wait until earlier transfers and then ``size_bytes`` have been carried."""
        if self._bytes_per_s <= 0:
            return
        now_s = asyncio.get_running_loop().time()
        self._free_at_s = max(self._free_at_s, now_s) + size_bytes / self._bytes_per_s
        await asyncio.sleep(self._free_at_s - now_s)


class PrioritySemaphore:
    """Semaphore that admits waiters in order of rank, then of arrival.

    Parameters
    ----------
    capacity : int
        Maximum number of concurrent holders.
    """

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._arrivals = count()
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []

    async def async_acquire(self, rank: int) -> None:
        """Acquire the semaphore; waiters of a lower rank are admitted first."""
        if self._free > 0:
            self._free -= 1
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (rank, next(self._arrivals), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release the semaphore and admit the first waiter, if any."""
        while self._waiters:
            _, _, waiter = heapq.heappop(self._waiters)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._free += 1
