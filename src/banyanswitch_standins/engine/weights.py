"""Weight version of the stand-in engine and the orders that change it."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp

from banyanswitch_standins.engine.cache import PrefixCache
from banyanswitch_standins.engine.models import EngineOptions, Order

READ_BYTES: Final = 256 * 1024


class OrderRefusedError(Exception):
    """An order is not taken.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable code of the refusal.
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class EngineState:
    """Version, role and highest fencing token of one engine."""

    def __init__(
        self,
        options: EngineOptions,
        cache: PrefixCache,
        on_change: Callable[[], None],
        unix_time: Callable[[], float],
    ) -> None:
        self.version = options.version
        self.target_version = options.version
        self.is_leaving = False
        self.is_loading = False
        self._options = options
        self._cache = cache
        self._on_change = on_change
        self._unix_time = unix_time
        self._highest_token = 0
        self._load_task: asyncio.Task[None] | None = None

    def take_order(self, order: Order) -> None:
        """Start what an order asks for.

        Raises
        ------
        OrderRefusedError
            If the order has expired or a newer holder has given orders.
        """
        if self._unix_time() > order.expires_at_unix_s:
            raise OrderRefusedError(410, "order_expired")
        if self._options.checks_fencing and order.fencing_token < self._highest_token:
            raise OrderRefusedError(409, "stale_fencing_token")
        self._highest_token = max(self._highest_token, order.fencing_token)
        if order.kind == "set_leaving":
            self.is_leaving = order.is_leaving
            self._on_change()
            return
        self._start_load(order.version or self.version)

    async def async_stop(self) -> None:
        """Give up a load that is going on."""
        if self._load_task is None:
            return
        self._load_task.cancel()
        await asyncio.gather(self._load_task, return_exceptions=True)

    def _start_load(self, version: str) -> None:
        if self._load_task is not None:
            self._load_task.cancel()
            self._load_task = None
        self.target_version = version
        self.is_loading = version != self.version
        if self.is_loading:
            self._load_task = asyncio.create_task(self._async_load(version))
        self._on_change()

    async def _async_load(self, version: str) -> None:
        if self._options.weights_url:
            await self._async_fetch(version)
        await asyncio.sleep(self._options.load_s)
        self.version = version
        self.is_loading = False
        self._cache.clear(version)
        self._on_change()

    async def _async_fetch(self, version: str) -> None:
        base = self._options.weights_url.rstrip("/")
        url = f"{base}/weights/{self._options.service}/{version}/content"
        while True:
            try:
                async with aiohttp.ClientSession() as session:
                    await _async_read_all(session, url)
                return
            except aiohttp.ClientError:
                await asyncio.sleep(0.2)


async def _async_read_all(session: aiohttp.ClientSession, url: str) -> None:
    async with session.get(url) as response:
        response.raise_for_status()
        async for _chunk in response.content.iter_chunked(READ_BYTES):
            pass
