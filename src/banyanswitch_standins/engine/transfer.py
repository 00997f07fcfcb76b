"""Export and import of KV cache between the stand-in engine and a store."""

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
    """A transfer failed and had no effect on the cache.

    Parameters
    ----------
    status : int
        HTTP status.
    code : str
        Stable code of the failure.
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


async def async_export(
    cache: PrefixCache, order: ExportRequest, block_bytes: int
) -> list[BlockReference]:
    """Push the cached pieces among the named keys, then the manifest."""
    references: list[BlockReference] = []
    async with aiohttp.ClientSession() as session:
        for key in order.keys:
            piece = cache.piece(key)
            if piece is None:
                continue
            content = block_content(key, piece, block_bytes)
            block = order.block_prefix + key
            await _async_put(session, f"{order.store_url}/blocks/{block}", content)
            digest = sha256(content).hexdigest()
            references.append(BlockReference(key, block, digest, len(content)))
        manifest = msgspec.json.encode({"pieces": references})
        url = f"{order.store_url}/manifests/{order.manifest}"
        await _async_put(session, url, manifest)
    return references


async def async_import(
    cache: PrefixCache, order: ImportRequest, current_version: str
) -> list[dict[str, str]]:
    """Fetch and verify all pieces, then put them into the cache."""
    if order.weight_version != current_version:
        raise TransferError(409, "wrong_version")
    origin = PieceOrigin(order.weight_version, order.cache_salt)
    async with aiohttp.ClientSession() as session:
        for reference in order.pieces:
            await _async_verify(session, order.store_url, reference, origin)
    for reference in order.pieces:
        cache.store(reference.key, origin)
    return [{"key": piece.key, "digest": piece.digest} for piece in order.pieces]


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
