"""Weight version and leaving state of the stand-in engine, changed by orders."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp

from banyanswitch_standins.engine.cache import PrefixCache
from banyanswitch_standins.engine.models import EngineOptions, Order

READ_CHUNK_BYTES: Final = 256 * 1024


class OrderRefusedError(Exception):
    """An order was refused and had no effect.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    code : str
        Error code of the response.
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class EngineState:
    """Weight version, leaving state and highest fencing token of one engine.

    Parameters
    ----------
    on_change : callable
        Called after each change of the state.
    unix_time : callable
        Returns the wall-clock time for the expiry of orders, in seconds.

    Attributes
    ----------
    version : str
        Loaded weight version.
    target_version : str
        Version that is being loaded; equal to ``version`` otherwise.
    """

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
        self._highest_fencing_token = 0
        self._load_task: asyncio.Task[None] | None = None

    def accept_order(self, order: Order) -> None:
        """Carry out an order; weights are loaded in the background.

        Raises
        ------
        OrderRefusedError
            If the order has expired, or fencing is checked and an earlier order had a
            higher fencing token.
        """
        if self._unix_time() > order.expires_at_unix_s:
            raise OrderRefusedError(410, "order_expired")
        if (
            self._options.checks_fencing
            and order.fencing_token < self._highest_fencing_token
        ):
            raise OrderRefusedError(409, "stale_fencing_token")
        self._highest_fencing_token = max(
            self._highest_fencing_token, order.fencing_token
        )
        if order.kind == "set_leaving":
            self.is_leaving = order.is_leaving
            self._on_change()
            return
        self._start_load(order.version or self.version)

    async def async_stop(self) -> None:
        """Cancel the weight load in progress."""
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
        async for _chunk in response.content.iter_chunked(READ_CHUNK_BYTES):
            pass
