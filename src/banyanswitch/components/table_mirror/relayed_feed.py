"""Feed of a table from the store, or from another instance that reads the store."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

import structlog

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.peers.internal_read import async_read_peer
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.components.table_mirror.const import (
    READER_COOLDOWN_S,
    READER_TIMEOUT_MARGIN_S,
    RELAY_TIMEOUT_S,
    STORE_PAUSE_S,
    TABLE_READERS,
)
from banyanswitch.components.table_mirror.relay import WHOLE_PATH, changes_target
from banyanswitch.exceptions import (
    HistoryGoneError,
    PeerError,
    PeerResourceGoneError,
    PlatformUnavailableError,
)
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import Peer, TableChanges, TableFeed

LOGGER = structlog.get_logger(__name__)


class RelayedFeed:
    """Implements ``TableFeed``; non-readers call the store only if the readers fail.

    Parameters
    ----------
    store : TableFeed
        The store's own feed.
    readers : ReaderAssignment
        Decides which instances read the store.
    client : HttpClient
        Makes the calls to other instances.
    generator : random.Random
        Chooses among the readers.

    Attributes
    ----------
    on_failure : callable
        Called with a table when a reader of it has failed, before another one is asked.
    """

    def __init__(
        self,
        store: TableFeed,
        readers: ReaderAssignment,
        client: HttpClient,
        generator: random.Random,
    ) -> None:
        self._store = store
        self._readers = readers
        self._client = client
        self._random = generator
        self.on_failure: Callable[[str], None] = lambda _table: None
        self._avoided_until_s: dict[InstanceId, float] = {}
        self._store_avoided_until_s = float("-inf")

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        """Return the time of the store's monotonic clock in seconds, if known."""
        return self._store.clock_s(max_error_s)

    async def async_read_table(self, table: str) -> TableChanges:
        """Return all rows of a table.

        Raises
        ------
        PlatformUnavailableError
            If the store can't be read, and no reader answered.
        """
        return await self._async_read(
            table,
            WHOLE_PATH + table,
            RELAY_TIMEOUT_S,
            lambda: self._store.async_read_table(table),
        )

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        """Return the changes after a version, waiting for the first change.

        Raises
        ------
        HistoryGoneError
            If changes after that version are no longer known.
        PlatformUnavailableError
            If the store can't be read, and no reader answered.
        """
        return await self._async_read(
            table,
            changes_target(table, after, wait_s),
            wait_s + READER_TIMEOUT_MARGIN_S,
            lambda: self._store.async_changes(table, after, wait_s),
        )

    async def _async_read(
        self,
        table: str,
        target: str,
        timeout_s: float,
        read_store: Callable[[], Awaitable[TableChanges]],
    ) -> TableChanges:
        topic = f"table/{table}"
        if self._readers.is_reader(topic, TABLE_READERS):
            return await read_store()
        ends_at_s = _now_s() + timeout_s
        for reader in self._candidates(topic):
            if _now_s() >= ends_at_s:
                break
            try:
                return await async_read_peer(
                    self._client,
                    reader.peer_address,
                    target,
                    timeout_s=timeout_s,
                    answer_type=TableChanges,
                )
            except PeerResourceGoneError as error:
                raise HistoryGoneError(str(error)) from error
            except PeerError as error:
                self._avoided_until_s[reader.instance] = _now_s() + READER_COOLDOWN_S
                LOGGER.info(
                    "relay_failed",
                    table=table,
                    peer=reader.peer_address,
                    reason=str(error),
                )
                self.on_failure(table)
        return await self._async_read_store(table, read_store)

    def _candidates(self, topic: str) -> list[Peer]:
        """Return the readers to ask, in random order, without those that failed."""
        now_s = _now_s()
        readers = [
            reader
            for reader in self._readers.readers(topic, TABLE_READERS)
            if now_s >= self._avoided_until_s.get(reader.instance, 0.0)
        ]
        return self._random.sample(readers, len(readers))

    async def _async_read_store(
        self, table: str, read_store: Callable[[], Awaitable[TableChanges]]
    ) -> TableChanges:
        """Read the store in place of its readers; after a failure only now and then.

        The readers notice themselves that the store is back, and calls that the store
        refuses are billed like others.
        """
        if _now_s() < self._store_avoided_until_s:
            raise PlatformUnavailableError(
                f"no instance that reads table {table} reaches the store"
            )
        try:
            return await read_store()
        except PlatformUnavailableError:
            pause_s = STORE_PAUSE_S * self._random.uniform(0.5, 1.5)
            self._store_avoided_until_s = _now_s() + pause_s
            raise


def _now_s() -> float:
    return asyncio.get_running_loop().time()
