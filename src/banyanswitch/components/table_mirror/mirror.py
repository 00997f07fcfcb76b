"""Copy of one table of the store."""

import asyncio
import random
from collections.abc import Callable

import structlog

from banyanswitch.components.table_mirror.const import (
    MAX_REMOVED_ROWS,
    MAX_SILENCE_S,
    RETRY_MAX_S,
    RETRY_MIN_S,
)
from banyanswitch.components.table_mirror.feed_calls import FeedCalls
from banyanswitch.core import callback
from banyanswitch.exceptions import (
    HistoryGoneError,
    PlatformError,
    PlatformUnavailableError,
)
from banyanswitch.helpers.store_version import era_of
from banyanswitch.interfaces import Item, TableChanges, TableFeed

LOGGER = structlog.get_logger(__name__)
ChangeHandler = Callable[[tuple[Item, ...], tuple[str, ...]], None]


class TableMirror:
    """Rows of one table; a row never returns to an older revision.

    Parameters
    ----------
    table : str
        Name of the table.
    feed : TableFeed
        Source of the changes.
    generator : random.Random
        Adds jitter to the pauses between retries.
    calls : FeedCalls, optional
        Feed calls of all tables that this instance follows.

    Attributes
    ----------
    is_connected : bool
        Whether the feed responds.
    is_loaded : bool
        Whether the rows of the whole table were received at least once.
    content_version : int
        Version of the newest change in the copy.
    last_failure_s : float
        Loop time of the last failed call; minus infinity before the first one.
    regained_at_s : float
        Loop time of the first contact after the last failed call, or of the first
        content of a new era of the store; minus infinity before.
    gap_at_s : float
        Loop time at which this copy has last caught up after it may have missed rows
        that were added, and removed or replaced, in between; minus infinity before.
    first_era_at_s : float or None
        Loop time of the first content; ``None`` before, and for a store without eras.
    has_seen_return : bool
        Whether this copy has had content of an earlier era of the store.
    """

    def __init__(
        self,
        table: str,
        feed: TableFeed,
        generator: random.Random,
        calls: FeedCalls | None = None,
    ) -> None:
        self._calls = calls or FeedCalls()
        self._calls.add(table, self.confirm)
        self._call: asyncio.Task[TableChanges] | None = None
        self.table = table
        self._feed = feed
        self._random = generator
        self._items: dict[str, Item] = {}
        self._removed_at: dict[str, int] = {}
        self._handlers: list[ChangeHandler] = []
        # Version after which the feed is read next; `None` reads the whole table.
        self._cursor: int | None = None
        # All changes and removals after this version are known.
        self._history_from = 0
        self._era = 0
        self._waiters: set[asyncio.Future[None]] = set()
        self.is_connected = False
        self.is_loaded = False
        self.content_version = 0
        self.last_contact_s = float("-inf")
        self.last_failure_s = float("-inf")
        self.regained_at_s = float("-inf")
        self.gap_at_s = float("-inf")
        self.first_era_at_s: float | None = None
        self.has_seen_return = False

    @property
    def items(self) -> tuple[Item, ...]:
        """Rows of the table."""
        return tuple(self._items.values())

    @property
    def followed_version(self) -> int | None:
        """Version up to which this copy has followed its feed without a break.

        It is ``None`` before the whole table was read, and until it is read again after
        a break.
        """
        return self._cursor

    @callback
    def subscribe(self, handler: ChangeHandler) -> None:
        """Call ``handler`` with changed rows and the keys of removed ones."""
        self._handlers.append(handler)

    @callback
    def snapshot(self) -> TableChanges:
        """Return the whole copy, with the version of its newest change."""
        return TableChanges(self.content_version, self.items, ())

    @callback
    def feed_snapshot(self) -> TableChanges:
        """Return the whole copy, with a version from which `changes_since` continues.

        This version may be higher than that of the newest change in the copy.
        """
        version = max(self.content_version, self._history_from)
        return TableChanges(version, self.items, ())

    @callback
    def changes_since(self, version: int) -> TableChanges:
        """Return the changes after a version, for another instance.

        Raises
        ------
        HistoryGoneError
            If this copy may lack removals of rows after that version.
        """
        if version < self._history_from:
            raise HistoryGoneError(
                f"changes of table {self.table} are known only from a later version"
            )
        items = [item for item in self._items.values() if item.revision > version]
        removed = [key for key, at in self._removed_at.items() if at > version]
        newest = max(version, self.content_version)
        still_removed = [key for key in removed if key not in self._items]
        return TableChanges(newest, tuple(items), tuple(still_removed))

    async def async_wait_newer(self, version: int, wait_s: float) -> None:
        """Wait until there is a change after a version, for at most ``wait_s``."""
        if self.content_version > version:
            return
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.add(waiter)
        await asyncio.wait({waiter}, timeout=wait_s)
        self._waiters.discard(waiter)

    @callback
    def apply_snapshot(self, snapshot: TableChanges) -> None:
        """Apply all rows of the table as of a version, unless the copy is newer."""
        self.is_loaded = True
        if snapshot.version < self.content_version:
            return
        present = {item.key for item in snapshot.items}
        removed = tuple(key for key in self._items if key not in present)
        changes = TableChanges(snapshot.version, snapshot.items, removed)
        self._apply(changes)
        self._history_from = max(self.content_version, snapshot.version)

    @callback
    def apply_changes(self, changes: TableChanges) -> None:
        """Apply changed and removed rows."""
        self._apply(changes)

    async def async_catch_up(self, store: TableFeed) -> None:
        """Apply the changes that the store has now, without a wait.

        Parameters
        ----------
        store : TableFeed
            The store's own feed; another instance may lag itself.

        Raises
        ------
        PlatformError
            If the store can't be read, or if the table was not read before.
        """
        if self._cursor is None:
            raise PlatformUnavailableError(f"table {self.table} has not been read")
        changes = await store.async_changes(self.table, self._cursor, 0.0)
        if changes.version < self.content_version:
            raise PlatformUnavailableError(f"stale read of table {self.table}")
        self._note_gap()
        if changes.items or changes.removed:
            self.apply_changes(changes)

    async def async_run(self) -> None:
        """Follow the table until cancelled."""
        pause_s = RETRY_MIN_S
        while True:
            try:
                await self._async_step()
            except HistoryGoneError as error:
                LOGGER.info("table_history_gone", table=self.table, reason=str(error))
                self._cursor = None
            except PlatformError as error:
                was_connected = self.is_connected
                self._note_failure(str(error))
                if was_connected:
                    # Connections may have gone silent; a new one shows it at once.
                    self._calls.note_failure(self.table)
                    continue
                await asyncio.sleep(pause_s * self._random.uniform(0.7, 1.0))
                pause_s = min(RETRY_MAX_S, pause_s * 2.0)
            else:
                pause_s = RETRY_MIN_S
                self._note_contact()

    async def _async_step(self) -> None:
        if self._cursor is None:
            snapshot = await self._feed.async_read_table(self.table)
            if snapshot.version < self.content_version:
                raise PlatformUnavailableError(f"stale read of table {self.table}")
            self._note_era(era_of(snapshot.version))
            if self.last_contact_s > float("-inf"):
                # The rows that came and went since the last read are not in it.
                self.gap_at_s = asyncio.get_running_loop().time()
            newest = max((item.revision for item in snapshot.items), default=0)
            version = max(newest, self.content_version)
            self.apply_snapshot(TableChanges(version, snapshot.items, ()))
            self._cursor = snapshot.version
            self._history_from = max(self._history_from, snapshot.version)
            return
        # Without a wait, the first call after a failure shows at once that the store is
        # back, and not only with the next change.
        wait_s = self._calls.begin(self.table) if self.is_connected else 0.0
        changes = await self._async_changes(self._cursor, wait_s)
        while changes is None:
            changes = await self._async_changes(self._cursor, 0.0)
        self._note_gap()
        self._cursor = max(self._cursor, changes.version)
        if changes.items or changes.removed:
            self.apply_changes(changes)

    async def _async_changes(self, after: int, wait_s: float) -> TableChanges | None:
        """Return the changes after a version; ``None`` if the call has to be repeated.

        A call that ends without an answer closes its connection.
        """
        feed_call = self._feed.async_changes(self.table, after, wait_s)
        self._call = asyncio.ensure_future(feed_call)
        try:
            await asyncio.wait((self._call,))
            return None if self._call.cancelled() else self._call.result()
        finally:
            self._call.cancel()
            self._call = None

    @callback
    def confirm(self) -> None:
        """Let a call that waits for changes begin anew, without a wait."""
        if self._call is not None:
            self._call.cancel()

    def _apply(self, changes: TableChanges) -> None:
        self._note_era(era_of(changes.version))
        if any(self._is_unseen(key) for key in changes.removed):
            self.gap_at_s = asyncio.get_running_loop().time()
        changed = tuple(item for item in changes.items if self._is_newer(item))
        removed = tuple(
            key for key in changes.removed if self._is_outdated(key, changes.version)
        )
        for item in changed:
            self._items[item.key] = item
        for key in removed:
            del self._items[key]
        for key in changes.removed:
            # This includes rows that were added and removed before this copy read
            # them; other copies may have them.
            at = max(changes.version, self._removed_at.pop(key, 0))
            self._removed_at[key] = at
        self._trim_removed()
        newest = max((item.revision for item in changed), default=0)
        removal = changes.version if removed else 0
        self.content_version = max(self.content_version, newest, removal)
        if not changed and not removed:
            return
        for handler in self._handlers:
            handler(changed, removed)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    def _trim_removed(self) -> None:
        """Drop the oldest removed rows, and the history up to their removal."""
        while len(self._removed_at) > MAX_REMOVED_ROWS:
            key = next(iter(self._removed_at))
            version = self._removed_at.pop(key)
            self._history_from = max(self._history_from, version)

    def _is_newer(self, item: Item) -> bool:
        known = self._items.get(item.key)
        if known is not None:
            return item.revision > known.revision
        return item.revision > self._removed_at.get(item.key, 0)

    def _is_unseen(self, key: str) -> bool:
        """Return whether this copy has neither had a row nor heard of its removal."""
        return key not in self._items and key not in self._removed_at

    def _is_outdated(self, key: str, version: int) -> bool:
        """Return whether the known revision of a row is not newer than a version."""
        known = self._items.get(key)
        return known is not None and known.revision <= version

    def _note_era(self, era: int) -> None:
        """Count the first content of a new era as the store's return."""
        if era <= self._era:
            return
        if self.first_era_at_s is None:
            self.first_era_at_s = asyncio.get_running_loop().time()
        if self._era:
            self.has_seen_return = True
            self.regained_at_s = asyncio.get_running_loop().time()
            LOGGER.info("table_era_changed", table=self.table, era=era)
        self._era = era

    def _note_gap(self) -> None:
        """Record a time without contact that is longer than a call may wait."""
        now_s = asyncio.get_running_loop().time()
        if float("-inf") < self.last_contact_s < now_s - MAX_SILENCE_S:
            self.gap_at_s = now_s

    def _note_contact(self) -> None:
        self.last_contact_s = asyncio.get_running_loop().time()
        if self.last_failure_s > self.regained_at_s:
            self.regained_at_s = self.last_contact_s
        if not self.is_connected:
            self.is_connected = True
            LOGGER.info("store_regained", table=self.table, version=self._cursor)

    def _note_failure(self, reason: str) -> None:
        self.last_failure_s = asyncio.get_running_loop().time()
        if self.is_connected:
            self.is_connected = False
            self._wake_waiters()
            LOGGER.warning("store_lost", table=self.table, reason=reason)
