"""Export and import of KV cache between the stand-in engine and a KV store."""

from hashlib import sha256

import aiohttp
import msgspec

from banyanswitch_standins.engine.cache import (
    PieceOrigin,
    PrefixCache,
    block_content,
)
from banyanswitch_standins.engine.models import (
    BlockReference,
    ExportRequest,
    ImportRequest,
)


class TransferError(Exception):
    """A transfer failed; the cache is unchanged.

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


async def async_export(
    cache: PrefixCache, request: ExportRequest, block_bytes: int
) -> list[BlockReference]:
    """Write the requested pieces that are cached to the store, then the manifest.

    Raises
    ------
    TransferError
        If a write to the store fails.
    """
    references: list[BlockReference] = []
    async with aiohttp.ClientSession() as session:
        for key in request.keys:
            origin = cache.origin(key)
            if origin is None:
                continue
            content = block_content(key, origin, block_bytes)
            block = request.block_prefix + key
            await _async_put(session, f"{request.store_url}/blocks/{block}", content)
            digest = sha256(content).hexdigest()
            references.append(BlockReference(key, block, digest, len(content)))
        manifest = msgspec.json.encode({"pieces": references})
        url = f"{request.store_url}/manifests/{request.manifest}"
        await _async_put(session, url, manifest)
    return references


async def async_import(
    cache: PrefixCache, request: ImportRequest, current_version: str
) -> list[dict[str, str]]:
    """Fetch and verify all pieces, then add them to the cache.

    Raises
    ------
    TransferError
        If another weight version is loaded, or a block cannot be read or is corrupt.
    """
    if request.weight_version != current_version:
        raise TransferError(409, "wrong_version")
    origin = PieceOrigin(request.weight_version, request.cache_salt)
    async with aiohttp.ClientSession() as session:
        for reference in request.pieces:
            await _async_verify(session, request.store_url, reference, origin)
    for reference in request.pieces:
        cache.store(reference.key, origin)
    return [{"key": piece.key, "digest": piece.digest} for piece in request.pieces]


async def _async_put(session: aiohttp.ClientSession, url: str, content: bytes) -> None:
    try:
        async with session.put(url, data=content) as response:
            if response.status != 200:
                raise TransferError(502, "store_failed")
    except aiohttp.ClientError as error:
        raise TransferError(502, "store_failed") from error


async def _async_verify(
    session: aiohttp.ClientSession,
    store_url: str,
    reference: BlockReference,
    origin: PieceOrigin,
) -> None:
    try:
        async with session.get(f"{store_url}/blocks/{reference.block}") as response:
            if response.status != 200:
                raise TransferError(422, "missing_block")
            content = await response.read()
    except aiohttp.ClientError as error:
        raise TransferError(422, "missing_block") from error
    expected = block_content(reference.key, origin, reference.size_bytes)
    if sha256(content).hexdigest() != reference.digest or content != expected:
        raise TransferError(422, "corrupt_block")
