"""Origins of streams in the table service, for a restart of all instances."""

import asyncio
import random
from collections.abc import Iterable

import msgspec
import structlog

from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.stream_origins.const import (
    ORIGIN_READ_INTERVAL_S,
    ORIGIN_SWEEP_BATCH,
    ORIGIN_SWEEP_DELAY_S,
    ORIGIN_TICK_S,
    ORIGIN_WRITES_PER_S,
    ORIGINS_TABLE,
)
from banyanswitch.components.stream_origins.memory import OriginMemory
from banyanswitch.components.stream_origins.models import StoredOrigins
from banyanswitch.components.stream_origins.software_versions import AmbiguousVersions
from banyanswitch.core import callback
from banyanswitch.decisions.stream_resumption import OriginSearch, StreamOrigin
from banyanswitch.exceptions import PlatformError
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import (
    Item,
    PeerDirectory,
    StoreEra,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class OriginStore:
    """Store the origins of this instance's streams while their version is ambiguous.

    As long as a single software version of a service can have begun an unfinished
    stream, nothing is stored. Otherwise each instance keeps one row with the origins of
    all streams that it has begun, also before the second version appeared. The row is
    written right after a stream has begun, and again only after `ORIGIN_WRITES_PER_S`
    allow it, so the last streams before the end of all instances may be missing.

    Parameters
    ----------
    table : TableStore
        Stores one row for each start of an instance.
    row : str
        Key of this process's row.
    versions : AmbiguousVersions
        Services whose streams more than one version may have begun.
    peers : PeerDirectory
        Instances that share the rate of writes.
    generator : random.Random
        Selects the instance that removes the rows, and when.
    eras : StoreEra
        Era of the table service, which may return from an older copy without the row.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        row: str,
        versions: AmbiguousVersions,
        peers: PeerDirectory,
        generator: random.Random,
        eras: StoreEra,
    ) -> None:
        self._eras = eras
        self._era = 0
        self._table = table
        self._key = f"{ORIGINS_TABLE}/{row}"
        self._versions = versions
        self._peers = peers
        self._random = generator
        self._selector = WatcherSelector(peers, generator)
        self._own = OriginMemory()
        self._written: frozenset[bytes] = frozenset()
        # Revision of this process's row; `None` if it has to be read.
        self._revision: int | None = 0
        self._noted = asyncio.Event()
        self._sweep_at_s: float | None = None
        self._found: dict[bytes, StreamOrigin] = {}
        self._read_at_s = float("-inf")
        self._reading: asyncio.Task[bool] | None = None

    @callback
    def note(self, stream: bytes, origin: StreamOrigin) -> None:
        """Remember the origin of a stream of this instance, and store it if needed."""
        self._own.note(stream, origin)
        self._noted.set()

    async def async_run(self) -> None:
        """Store origins until cancelled."""
        while True:
            try:
                async with asyncio.timeout(ORIGIN_TICK_S):
                    await self._noted.wait()
            except TimeoutError:
                pass
            self._noted.clear()
            self._note_era()
            ambiguous = self._versions.ambiguous()
            if not ambiguous:
                # Without known versions, unfinished streams may still need the rows.
                if self._versions.are_known():
                    await self._async_sweep()
                continue
            self._sweep_at_s = _now_s() + self._random.uniform(0, ORIGIN_SWEEP_DELAY_S)
            if await self._async_write(ambiguous):
                writers = max(1, len(self._peers.peers()))
                await asyncio.sleep(writers / ORIGIN_WRITES_PER_S)

    def _note_era(self) -> None:
        """Count nothing as written that the store may have lost."""
        era = self._eras.era()
        if era > self._era:
            self._era = era
            self._forget_row()

    def _forget_row(self) -> None:
        self._written = frozenset()
        self._revision = None

    async def async_find(self, stream: bytes) -> OriginSearch:
        """Search for an origin among the stored ones.

        Returns
        -------
        search : OriginSearch
            Not complete if the table service could not be read.
        """
        if stream in self._found:
            return OriginSearch(self._found[stream])
        if self._versions.are_known() and not self._versions.ambiguous():
            return OriginSearch()
        if _now_s() - self._read_at_s > ORIGIN_READ_INTERVAL_S:
            if self._reading is None:
                self._reading = asyncio.create_task(self._async_read())
                self._reading.add_done_callback(self._on_read)
            if not await asyncio.shield(self._reading):
                return OriginSearch(is_complete=False)
        return OriginSearch(self._found.get(stream))

    def _on_read(self, _: asyncio.Task[bool]) -> None:
        self._reading = None

    async def _async_read(self) -> bool:
        requested_at_s = _now_s()
        try:
            items = await self._async_rows()
        except PlatformError as error:
            LOGGER.info("stream_origins_not_read", reason=str(error))
            return False
        self._found = dict(_origins(items))
        self._read_at_s = requested_at_s
        LOGGER.info("stream_origins_read", rows=len(items), origins=len(self._found))
        return True

    async def _async_rows(self) -> list[Item]:
        items: list[Item] = []
        prefix = f"{ORIGINS_TABLE}/"
        while True:
            after = items[-1].key if items else ""
            page = await self._table.async_query(prefix, after=after)
            if not page:
                return items
            items += page
            if len(items) < ORIGIN_SWEEP_BATCH:
                return items

    async def _async_write(self, ambiguous: frozenset[ServiceName]) -> bool:
        """Store all origins of this instance's streams; return whether it has tried."""
        origins = {
            stream: origin
            for stream, origin in self._own.items()
            if origin.service in ambiguous
        }
        if origins.keys() <= self._written:
            return False
        stored: dict[str, dict[str, list[str]]] = {}
        for stream, origin in origins.items():
            versions = stored.setdefault(origin.service, {})
            streams = versions.setdefault(origin.software_version, [])
            streams.append(stream.decode("latin-1"))
        try:
            await self._async_write_row(msgspec.json.encode(StoredOrigins(stored)))
        except PlatformError as error:
            self._revision = None
            LOGGER.info("stream_origins_not_written", reason=str(error))
            return True
        self._written = frozenset(origins)
        return True

    async def _async_write_row(self, content: bytes) -> None:
        """Write the row unless another write of it has been applied meanwhile.

        A write without an answer may be applied later, and must not replace a newer
        one.
        """
        if self._revision is None:
            items = await self._table.async_get([self._key])
            self._revision = items[0].revision if items else 0
        write = Write(self._key, content, self._revision)
        (self._revision,) = await self._table.async_transact([write], WriteClass.LEASE)

    async def _async_sweep(self) -> None:
        """Remove all rows once no unfinished stream needs them."""
        if self._sweep_at_s is None or _now_s() < self._sweep_at_s:
            return
        self._sweep_at_s = None
        self._forget_row()
        self._selector.refresh()
        if not self._selector.is_watching(self._key.partition("/")[0]):
            return
        try:
            items = await self._async_rows()
            for start in range(0, len(items), ORIGIN_SWEEP_BATCH):
                batch = items[start : start + ORIGIN_SWEEP_BATCH]
                writes = [Write(item.key, None, item.revision) for item in batch]
                await self._table.async_transact(writes, WriteClass.LEASE)
        except PlatformError as error:
            # Another instance has removed them, or the next release does.
            LOGGER.info("stream_origins_not_removed", reason=str(error))


def _origins(items: Iterable[Item]) -> Iterable[tuple[bytes, StreamOrigin]]:
    for item in items:
        try:
            stored = msgspec.json.decode(item.value, type=StoredOrigins)
        except DECODING_ERRORS as error:
            LOGGER.warning("stream_origins_unreadable", row=item.key, reason=str(error))
            continue
        for service, versions in stored.streams.items():
            for version, streams in versions.items():
                origin = StreamOrigin(ServiceName(service), version)
                for stream in streams:
                    yield stream.encode("latin-1", "replace"), origin


def _now_s() -> float:
    return asyncio.get_running_loop().time()
