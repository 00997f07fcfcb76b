"""Export, import and deletion of prefixes, each checked at the data."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from banyanswitch.components.kv_cache.const import (
    EXPORT_DEADLINE_S,
    FREE_GRACE_S,
    IMPORT_DEADLINE_S,
)
from banyanswitch.components.kv_cache.engine_client import (
    EngineCacheClient,
    ExportRequest,
    ImportRequest,
)
from banyanswitch.components.kv_cache.errors import (
    StoredPrefixLostError,
    StoreUnavailableError,
    TransferError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.manifests import (
    check_exported,
    check_manifest,
    decode_manifest,
    encode_manifest,
    manifest_name,
)
from banyanswitch.components.kv_cache.models import ImportOrder, Manifest, PieceBlock
from banyanswitch.components.kv_cache.pins import PinTable
from banyanswitch.components.kv_cache.store_client import KvStoreClient
from banyanswitch.decisions.prefix import cache_salt
from banyanswitch.decisions.reuse_models import Export

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class TransferRoute:
    """Addresses of the two ends of a transfer."""

    upstream_url: str
    store_url: str


class PrefixTransferrer:
    """Carry out transfers between upstreams and stores.

    Blocks are written first, then their digests are known, then the manifest is
    written: what a manifest lists is complete. Freeing goes the other way.

    Parameters
    ----------
    incarnation : str
        Makes the generations of this process differ from all others.
    """

    def __init__(
        self,
        stores: KvStoreClient,
        engines: EngineCacheClient,
        pins: PinTable,
        incarnation: str,
    ) -> None:
        self._stores = stores
        self._engines = engines
        self._pins = pins
        self._incarnation = incarnation
        self._generations = 0

    async def async_export(self, export: Export, route: TransferRoute) -> Manifest:
        """Copy a prefix to a store and return its manifest.

        Raises
        ------
        TransferError
            If it could not be copied; no manifest lists what was written.
        """
        existing = await self._async_stored(export, export.manifest, route.store_url)
        if existing is not None:
            return existing
        previous = await self._async_previous(export, route.store_url)
        kept = previous.pieces if previous is not None else ()
        generation = self._next_generation()
        try:
            async with asyncio.timeout(EXPORT_DEADLINE_S):
                manifest = await self._async_write(export, route, generation, kept)
        except (TransferError, TimeoutError) as error:
            await self._async_undo(export, route.store_url, generation, len(kept))
            if isinstance(error, TransferError):
                raise
            raise UpstreamTransferError("the export took too long") from error
        if export.replaces is not None and export.replaces != _last_key(manifest):
            await self._async_delete_replaced(export, route.store_url)
        return manifest

    async def async_import(
        self,
        order: ImportOrder,
        route: TransferRoute,
        deadline_s: float = IMPORT_DEADLINE_S,
    ) -> int:
        """Bring a stored prefix to an upstream and return how many pieces.

        The digests that the engine computed must equal the manifest's. If not, or
        if it is unknown what the engine imported, the pieces are dropped there.

        Raises
        ------
        StoredPrefixLostError
            If the prefix can't be read from the store any more.
        ManifestRefusedError
            If the manifest is of another workspace, weight version or prompt.
        TransferError
            If it could not be imported.
        """
        name = manifest_name(order.manifest)
        with self._pins.pin(_pin_name(route.store_url, name)):
            try:
                async with asyncio.timeout(min(deadline_s, IMPORT_DEADLINE_S)):
                    return await self._async_import(order, route, name)
            except UpstreamTransferError:
                await self._async_drop(order, route)
                raise
            except TimeoutError as error:
                await self._async_drop(order, route)
                raise UpstreamTransferError("the import took too long") from error

    async def async_free(self, store_url: str, name: str) -> bool:
        """Delete a manifest, wait for its readers, then delete its blocks.

        Returns
        -------
        is_freed : bool
            Whether all is deleted; if not, nothing reads what is left.
        """
        pin_name = _pin_name(store_url, name)
        self._pins.retire(pin_name)
        try:
            content = await self._stores.async_get_manifest(store_url, name)
            if content is None:
                return True
            await self._stores.async_delete_manifest(store_url, name)
            await asyncio.sleep(FREE_GRACE_S)
            if self._pins.is_pinned(pin_name):
                return False
            names = [piece.block for piece in decode_manifest(content).pieces]
            return await self._async_delete_blocks(store_url, names)
        except TransferError as error:
            LOGGER.warning("prefix_not_freed", manifest=name, reason=str(error))
            return False
        finally:
            self._pins.restore(pin_name)

    async def _async_previous(self, export: Export, store_url: str) -> Manifest | None:
        if export.replaces is None or export.stored_pieces == 0:
            return None
        return await self._async_stored(export, export.replaces, store_url)

    async def _async_stored(
        self, export: Export, last_piece: str, store_url: str
    ) -> Manifest | None:
        """Return the manifest of a prefix of the prompt, if the store has one."""
        name = manifest_name(last_piece)
        content = await self._stores.async_get_manifest(store_url, name)
        if content is None:
            return None
        manifest = decode_manifest(content)
        order = ImportOrder(
            workspace=export.workspace,
            weight_version=export.weight_version,
            upstream=export.upstream,
            store=export.store,
            manifest=last_piece,
            pieces=len(manifest.pieces),
            piece_hashes=export.piece_hashes,
        )
        check_manifest(manifest, order)
        return manifest

    async def _async_write(
        self,
        export: Export,
        route: TransferRoute,
        generation: str,
        kept: tuple[PieceBlock, ...],
    ) -> Manifest:
        keys = export.piece_hashes[len(kept) :]
        raw_manifest = f"raw-{generation}"
        request = ExportRequest(keys, route.store_url, raw_manifest, f"{generation}-")
        blocks = await self._engines.async_export(route.upstream_url, request)
        await self._async_delete_quietly(route.store_url, raw_manifest)
        pieces = kept + check_exported(blocks, keys)
        manifest = _make_manifest(export, generation, pieces)
        name = manifest_name(_last_key(manifest))
        content = encode_manifest(manifest)
        await self._stores.async_put_manifest(route.store_url, name, content)
        return manifest

    async def _async_undo(
        self, export: Export, store_url: str, generation: str, kept_pieces: int
    ) -> None:
        """Delete what a failed export may have written.

        The manifest goes first: the answer to its writing may have been lost.
        """
        name = manifest_name(export.manifest)
        await self._async_delete_quietly(store_url, name)
        names = [f"{generation}-{key}" for key in export.piece_hashes[kept_pieces:]]
        await self._async_delete_blocks(store_url, names)

    async def _async_import(
        self, order: ImportOrder, route: TransferRoute, name: str
    ) -> int:
        content = await self._stores.async_get_manifest(route.store_url, name)
        if content is None:
            raise StoredPrefixLostError("the manifest is gone")
        pieces = check_manifest(decode_manifest(content), order)
        salt = cache_salt(order.workspace, order.weight_version)
        request = ImportRequest(route.store_url, order.weight_version, salt, pieces)
        imported = await self._engines.async_import(route.upstream_url, request)
        expected = [(piece.key, piece.digest) for piece in pieces]
        if [(piece.key, piece.digest) for piece in imported] != expected:
            await self._async_drop(order, route)
            raise StoredPrefixLostError("the engine imported other content")
        return len(pieces)

    async def _async_drop(self, order: ImportOrder, route: TransferRoute) -> None:
        keys = order.piece_hashes[: order.pieces]
        try:
            await self._engines.async_drop(route.upstream_url, keys)
        except TransferError as error:
            LOGGER.warning(
                "import_not_dropped", upstream=order.upstream, reason=str(error)
            )

    async def _async_delete_replaced(self, export: Export, store_url: str) -> None:
        """Delete the manifest that the new one contains; its blocks stay."""
        assert export.replaces is not None
        name = manifest_name(export.replaces)
        await self._async_delete_quietly(store_url, name)

    async def _async_delete_quietly(self, store_url: str, name: str) -> None:
        try:
            await self._stores.async_delete_manifest(store_url, name)
        except StoreUnavailableError as error:
            LOGGER.warning("manifest_not_deleted", manifest=name, reason=str(error))

    async def _async_delete_blocks(self, store_url: str, names: Iterable[str]) -> bool:
        try:
            for name in names:
                await self._stores.async_delete_block(store_url, name)
        except StoreUnavailableError as error:
            LOGGER.warning("blocks_not_deleted", reason=str(error))
            return False
        return True

    def _next_generation(self) -> str:
        self._generations += 1
        return f"{self._incarnation}-{self._generations}"


def _make_manifest(
    export: Export, generation: str, pieces: tuple[PieceBlock, ...]
) -> Manifest:
    return Manifest(
        workspace=export.workspace,
        weight_version=export.weight_version,
        cache_salt=cache_salt(export.workspace, export.weight_version),
        generation=generation,
        pieces=pieces,
    )


def _last_key(manifest: Manifest) -> str:
    return manifest.pieces[-1].key


def _pin_name(store_url: str, name: str) -> str:
    return f"{store_url}/{name}"
