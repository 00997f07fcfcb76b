"""Client for the KV cache of model engines: transfers, deletion and events."""

from dataclasses import dataclass
from typing import TypeVar

import aiohttp
import msgspec

from banyanswitch.components.kv_cache.const import (
    CONTROL_TIMEOUT_S,
    EXPORT_TIMEOUT_S,
    IMPORT_TIMEOUT_S,
)
from banyanswitch.components.kv_cache.errors import (
    StoredPrefixLostError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.http_requests import (
    STATUS_OK,
    STATUS_UNPROCESSABLE,
    HttpResponse,
    async_request,
)
from banyanswitch.components.kv_cache.models import PieceBlock
from banyanswitch.decisions.cache_view import CacheEventKind
from banyanswitch.identifiers import PrefixHash, WeightVersion

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class ExportRequest:
    """Body of an export request.

    Parameters
    ----------
    manifest : str
        Name of the manifest that the engine writes. It is not the manifest of the
        prefix, which is written after the exported blocks were checked.
    block_prefix : str
        Prefix of the names of the blocks.
    """

    keys: tuple[PrefixHash, ...]
    store_url: str
    manifest: str
    block_prefix: str


@dataclass(frozen=True, slots=True)
class ImportRequest:
    """Body of an import request."""

    store_url: str
    weight_version: WeightVersion
    cache_salt: str
    pieces: tuple[PieceBlock, ...]


@dataclass(frozen=True, slots=True)
class ImportedPiece:
    """Imported piece with the digest that the engine computed."""

    key: PrefixHash
    digest: str


@dataclass(frozen=True, slots=True)
class EngineCacheEvent:
    """Event of an engine's cache."""

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
class _ExportResponse:
    pieces: tuple[PieceBlock, ...]


@dataclass(frozen=True, slots=True)
class _ImportResponse:
    imported: tuple[ImportedPiece, ...]


@dataclass(frozen=True, slots=True)
class _DropRequest:
    keys: tuple[PrefixHash, ...]


class EngineCacheClient:
    """Send requests to the cache endpoints of model engines.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session owned by the component; the client does not close it.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def async_export(
        self, url: str, request: ExportRequest
    ) -> tuple[PieceBlock, ...]:
        """Export blocks to a store and return them with their digests.

        Raises
        ------
        UpstreamTransferError
            If the engine did not complete the export.
        """
        target = f"{url}/engine/kv/export"
        response = await self._async_post(target, request, EXPORT_TIMEOUT_S)
        return _decode(response, _ExportResponse).pieces

    async def async_import(
        self, url: str, request: ImportRequest
    ) -> tuple[ImportedPiece, ...]:
        """Import blocks from a store.

        Raises
        ------
        StoredPrefixLostError
            If a block is missing or damaged; nothing was imported.
        UpstreamTransferError
            If the engine did not complete the import.
        """
        target = f"{url}/engine/kv/import"
        response = await self._async_post(target, request, IMPORT_TIMEOUT_S)
        if response.status == STATUS_UNPROCESSABLE:
            raise StoredPrefixLostError(
                f"a block in store {request.store_url} is missing or damaged"
            )
        return _decode(response, _ImportResponse).imported

    async def async_drop(self, url: str, keys: tuple[PrefixHash, ...]) -> None:
        """Remove keys from the cache.

        Raises
        ------
        UpstreamTransferError
            If the engine did not remove them.
        """
        target = f"{url}/engine/cache/drop"
        response = await self._async_post(target, _DropRequest(keys), CONTROL_TIMEOUT_S)
        _check_status(response)

    async def async_events(self, url: str, after: int) -> EngineEvents:
        """Return the events after a sequence number.

        Raises
        ------
        UpstreamTransferError
            If the events could not be read.
        """
        response = await self._async_get(f"{url}/engine/cache/events?after={after}")
        return _decode(response, EngineEvents)

    async def async_keys(self, url: str) -> EngineKeys:
        """Return all keys in the cache.

        Raises
        ------
        UpstreamTransferError
            If the keys could not be read.
        """
        return _decode(await self._async_get(f"{url}/engine/cache"), EngineKeys)

    async def _async_post(
        self, url: str, request: object, timeout_s: float
    ) -> HttpResponse:
        return await async_request(
            self._session,
            "POST",
            url,
            body=msgspec.json.encode(request),
            timeout_s=timeout_s,
            error_type=UpstreamTransferError,
        )

    async def _async_get(self, url: str) -> HttpResponse:
        return await async_request(
            self._session,
            "GET",
            url,
            body=None,
            timeout_s=CONTROL_TIMEOUT_S,
            error_type=UpstreamTransferError,
        )


def _decode(response: HttpResponse, response_type: type[T]) -> T:
    _check_status(response)
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except msgspec.MsgspecError as error:
        raise UpstreamTransferError(
            f"the engine's response could not be decoded: {error}"
        ) from error


def _check_status(response: HttpResponse) -> None:
    if response.status != STATUS_OK:
        raise UpstreamTransferError(
            f"the engine responded with status {response.status}"
        )
