"""In-memory fakes of the KV store and the engine, with scripted faults."""

import asyncio
import hashlib
from dataclasses import dataclass, field

from banyanswitch.components.kv_cache.engine_client import (
    EngineCacheEvent,
    EngineEvents,
    EngineKeys,
    ExportRequest,
    ImportedPiece,
    ImportRequest,
)
from banyanswitch.components.kv_cache.errors import (
    StoredPrefixLostError,
    StoreUnavailableError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.models import PieceBlock
from banyanswitch.components.kv_cache.store_client import StoreStatus


def digest_of(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()


@dataclass
class FakeKvStore:
    """Fake of ``KvStoreClient``; all URLs lead to the same store."""

    blocks: dict[str, bytes] = field(default_factory=dict)
    manifests: dict[str, bytes] = field(default_factory=dict)
    log: list[str] = field(default_factory=list)
    is_down: bool = False
    failing_calls: set[str] = field(default_factory=set)

    def raise_if_failing(self, call: str) -> None:
        if self.is_down or call in self.failing_calls:
            raise StoreUnavailableError("store call failed")

    def put_block(self, name: str, content: bytes) -> None:
        self.raise_if_failing("put_block")
        self.log.append("put_block")
        self.blocks[name] = content

    async def async_put_manifest(self, url: str, name: str, content: bytes) -> None:
        self.raise_if_failing("put_manifest")
        self.log.append("put_manifest")
        self.manifests[name] = content

    async def async_get_manifest(self, url: str, name: str) -> bytes | None:
        self.raise_if_failing("get_manifest")
        return self.manifests.get(name)

    async def async_delete_manifest(self, url: str, name: str) -> None:
        self.raise_if_failing("delete_manifest")
        self.log.append("delete_manifest")
        self.manifests.pop(name, None)

    async def async_delete_block(self, url: str, name: str) -> None:
        self.raise_if_failing("delete_block")
        self.log.append("delete_block")
        self.blocks.pop(name, None)

    async def async_status(self, url: str) -> StoreStatus:
        self.raise_if_failing("status")
        used = sum(map(len, self.blocks.values()))
        return StoreStatus(used, 1000, 0, 1000)


@dataclass
class FakeEngine:
    """Fake of ``EngineCacheClient``; all URLs lead to the same engine.

    Parameters
    ----------
    block_read_s : float
        Time to read one block from the store during an import, in seconds.
    reports_wrong_digests : bool
        Whether an import reports digests that differ from those of the blocks read.
    export_fails_after_blocks : int or None
        Number of requested pieces after which an export fails.
    is_down : bool
        Whether reading the events fails; the other calls are not affected.
    """

    store: FakeKvStore
    cache: dict[str, bytes] = field(default_factory=dict)
    events: list[EngineCacheEvent] = field(default_factory=list)
    block_read_s: float = 0.0
    reports_wrong_digests: bool = False
    export_fails_after_blocks: int | None = None
    is_down: bool = False
    key_list_reads: int = 0
    event_reads: int = 0

    def compute(self, *keys: str) -> None:
        for key in keys:
            self.cache[key] = f"kv of {key}".encode()

    async def async_export(
        self, url: str, request: ExportRequest
    ) -> tuple[PieceBlock, ...]:
        written: list[PieceBlock] = []
        for number, key in enumerate(request.keys):
            if number == self.export_fails_after_blocks:
                raise UpstreamTransferError("engine failed during the export")
            if key not in self.cache:
                continue
            name = f"{request.block_prefix}{key}"
            content = self.cache[key]
            self.store.put_block(name, content)
            written.append(PieceBlock(key, name, digest_of(content), len(content)))
        return tuple(written)

    async def async_import(
        self, url: str, request: ImportRequest
    ) -> tuple[ImportedPiece, ...]:
        fetched: dict[str, bytes] = {}
        for piece in request.pieces:
            await asyncio.sleep(self.block_read_s)
            content = self.store.blocks.get(piece.block)
            if content is None or digest_of(content) != piece.digest:
                raise StoredPrefixLostError("missing or corrupt block")
            fetched[piece.key] = content
        self.cache.update(fetched)
        if self.reports_wrong_digests:
            return tuple(ImportedPiece(key, "0" * 64) for key in fetched)
        return tuple(ImportedPiece(key, digest_of(c)) for key, c in fetched.items())

    async def async_drop(self, url: str, keys: tuple[str, ...]) -> None:
        for key in keys:
            self.cache.pop(key, None)

    async def async_events(self, url: str, after: int) -> EngineEvents:
        self.event_reads += 1
        if self.is_down:
            raise UpstreamTransferError("engine is down")
        events = tuple(event for event in self.events if event.sequence > after)
        newest = self.events[-1].sequence if self.events else 0
        oldest = self.events[0].sequence if self.events else 0
        return EngineEvents(events, oldest, newest)

    async def async_keys(self, url: str) -> EngineKeys:
        self.key_list_reads += 1
        newest = self.events[-1].sequence if self.events else 0
        return EngineKeys(tuple(self.cache), newest)
