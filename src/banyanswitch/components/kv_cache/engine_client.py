"""Client of the model engines' cache: transfers, deletion and events."""

from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec

from banyanswitch.components.kv_cache.const import (
    CONTROL_TIMEOUT_S,
    EXPORT_DEADLINE_S,
    IMPORT_DEADLINE_S,
)
from banyanswitch.components.kv_cache.errors import (
    StoredPrefixLostError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.http_calls import (
    STATUS_OK,
    STATUS_UNPROCESSABLE,
    HttpAnswer,
    async_call,
)
from banyanswitch.components.kv_cache.models import PieceBlock
from banyanswitch.decisions.cache_view import CacheEventKind
from banyanswitch.identifiers import PrefixHash, WeightVersion

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ExportRequest:
    """Body of an export; the engine's own manifest gets a name of its own."""

    keys: tuple[PrefixHash, ...]
    store_url: str
    manifest: str
    block_prefix: str


@dataclass(frozen=True, slots=True)
class ImportRequest:
    """Body of an import."""

    store_url: str
    weight_version: WeightVersion
    cache_salt: str
    pieces: tuple[PieceBlock, ...]


@dataclass(frozen=True, slots=True)
class ImportedPiece:
    """A piece as the engine imported it, with the digest that it computed."""

    key: PrefixHash
    digest: str


@dataclass(frozen=True, slots=True)
class EngineCacheEvent:
    """One event of the engine's cache."""

    sequence: int
    kind: CacheEventKind
    key: PrefixHash
    weight_version: str


@dataclass(frozen=True, slots=True)
class EngineEvents:
    """Events after a sequence number."""

    events: tuple[EngineCacheEvent, ...]
    oldest_sequence: int
    newest_sequence: int


@dataclass(frozen=True, slots=True)
class EngineKeys:
    """All keys in the engine's cache, as of a sequence number."""

    keys: tuple[PrefixHash, ...]
    sequence: int


@dataclass(frozen=True, slots=True)
class _ExportAnswer:
    pieces: tuple[PieceBlock, ...]


@dataclass(frozen=True, slots=True)
class _ImportAnswer:
    imported: tuple[ImportedPiece, ...]


@dataclass(frozen=True, slots=True)
class _DropCall:
    keys: tuple[PrefixHash, ...]


class EngineCacheClient:
    """Make calls about the cache of model engines.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the component; not closed here.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def async_export(
        self, url: str, request: ExportRequest
    ) -> tuple[PieceBlock, ...]:
        """Have blocks written to a store and return them with their digests."""
        target = f"{url}/engine/kv/export"
        answer = await self._async_post(target, request, EXPORT_DEADLINE_S)
        return _decode(answer, _ExportAnswer).pieces

    async def async_import(
        self, url: str, request: ImportRequest
    ) -> tuple[ImportedPiece, ...]:
        """Have blocks read from a store.

        Raises
        ------
        StoredPrefixLostError
            If a block is missing or damaged; nothing was imported.
        UpstreamTransferError
            If the engine did not carry it out.
        """
        target = f"{url}/engine/kv/import"
        answer = await self._async_post(target, request, IMPORT_DEADLINE_S)
        if answer.status == STATUS_UNPROCESSABLE:
            raise StoredPrefixLostError("a block is missing or damaged")
        return _decode(answer, _ImportAnswer).imported

    async def async_drop(self, url: str, keys: tuple[PrefixHash, ...]) -> None:
        """Have keys removed from the cache."""
        target = f"{url}/engine/cache/drop"
        answer = await self._async_post(target, _DropCall(keys), CONTROL_TIMEOUT_S)
        _check_status(answer)

    async def async_events(self, url: str, after: int) -> EngineEvents:
        """Return the events after a sequence number."""
        answer = await self._async_get(f"{url}/engine/cache/events?after={after}")
        return _decode(answer, EngineEvents)

    async def async_keys(self, url: str) -> EngineKeys:
        """Return all keys in the cache."""
        return _decode(await self._async_get(f"{url}/engine/cache"), EngineKeys)

    async def _async_post(
        self, url: str, request: object, timeout_s: float
    ) -> HttpAnswer:
        return await async_call(
            self._session,
            "POST",
            url,
            body=msgspec.json.encode(request),
            timeout_s=timeout_s,
            error_type=UpstreamTransferError,
        )

    async def _async_get(self, url: str) -> HttpAnswer:
        return await async_call(
            self._session,
            "GET",
            url,
            body=None,
            timeout_s=CONTROL_TIMEOUT_S,
            error_type=UpstreamTransferError,
        )


def _decode(answer: HttpAnswer, answer_type: type[T]) -> T:
    _check_status(answer)
    try:
        return msgspec.json.decode(answer.body, type=answer_type)
    except msgspec.MsgspecError as error:
        raise UpstreamTransferError("the engine's answer is unreadable") from error


def _check_status(answer: HttpAnswer) -> None:
    if answer.status != STATUS_OK:
        raise UpstreamTransferError(f"the engine answered with status {answer.status}")
