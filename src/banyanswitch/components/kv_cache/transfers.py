"""Export, import and deletion of prefixes, with checks of the transferred data."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import structlog

from banyanswitch.components.kv_cache.const import (
    EXPORT_TIMEOUT_S,
    FREE_GRACE_S,
    IMPORT_TIMEOUT_S,
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
from banyanswitch.components.kv_cache.models import ImportPlan, Manifest, PieceBlock
from banyanswitch.components.kv_cache.pins import PinTable
from banyanswitch.components.kv_cache.store_client import KvStoreClient
from banyanswitch.decisions.prefix import cache_salt
from banyanswitch.decisions.reuse_models import Export

LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class TransferRoute:
    """URLs of the upstream and the store of a transfer."""

    upstream_url: str
    store_url: str


class PrefixTransferrer:
    """Transfer prefixes between upstreams and stores.

    The manifest is written after all blocks, when their digests are known, so every
    block that a manifest lists is complete. Deletion is in the reverse order.

    Parameters
    ----------
    incarnation : str
        Identifier of this process. It makes the ``generation`` of each export unique
        among all processes.
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
            If it could not be copied. The manifest and the blocks written so far are
            deleted; a failure to delete them is only logged.
        """
        existing = await self._async_read_stored(
            export, export.manifest, route.store_url
        )
        if existing is not None:
            return existing
        previous = await self._async_read_previous(export, route.store_url)
        reused_pieces = previous.pieces if previous is not None else ()
        generation = self._next_generation()
        try:
            async with asyncio.timeout(EXPORT_TIMEOUT_S):
                manifest = await self._async_write(
                    export, route, generation, reused_pieces
                )
        except (TransferError, TimeoutError) as error:
            await self._async_delete_written(
                export, route.store_url, generation, len(reused_pieces)
            )
            if isinstance(error, TransferError):
                raise
            raise UpstreamTransferError(
                f"export from upstream {export.upstream} exceeded {EXPORT_TIMEOUT_S} s"
            ) from error
        if export.replaces is not None and export.replaces != _last_key(manifest):
            await self._async_delete_replaced(export, route.store_url)
        return manifest

    async def async_import(
        self,
        plan: ImportPlan,
        route: TransferRoute,
        timeout_s: float = IMPORT_TIMEOUT_S,
    ) -> int:
        """Import a stored prefix to an upstream and return the number of pieces.

        The digests that the engine computed must match those in the manifest. If they
        do not, or if the request to the engine fails or times out, so that it is
        unknown which pieces the engine imported, the pieces are removed from the
        upstream's cache. A failure to remove them is only logged.

        Parameters
        ----------
        timeout_s : float
            Time limit in seconds; a longer one is reduced to ``IMPORT_TIMEOUT_S``.

        Raises
        ------
        StoredPrefixLostError
            If the prefix can no longer be read from the store.
        ManifestRefusedError
            If the manifest belongs to another workspace, weight version or prompt.
        TransferError
            If it could not be imported.
        """
        name = manifest_name(plan.manifest)
        with self._pins.pin(_pin_name(route.store_url, name)):
            try:
                async with asyncio.timeout(min(timeout_s, IMPORT_TIMEOUT_S)):
                    return await self._async_import(plan, route, name)
            except UpstreamTransferError:
                await self._async_drop(plan, route)
                raise
            except TimeoutError as error:
                await self._async_drop(plan, route)
                raise UpstreamTransferError(
                    f"import to upstream {plan.upstream} timed out"
                ) from error

    async def async_free(self, store_url: str, name: str) -> bool:
        """Delete a manifest, wait ``FREE_GRACE_S`` for readers, then delete its blocks.

        Returns
        -------
        is_freed : bool
            Whether the manifest and its blocks are deleted. If the deletion of the
            manifest failed, the prefix can still be imported. Blocks that remain
            after the manifest was deleted are not read by later imports.
        """
        pin_name = _pin_name(store_url, name)
        self._pins.refuse_new_pins(pin_name)
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
            self._pins.allow_new_pins(pin_name)

    async def _async_read_previous(
        self, export: Export, store_url: str
    ) -> Manifest | None:
        if export.replaces is None or export.stored_pieces == 0:
            return None
        return await self._async_read_stored(export, export.replaces, store_url)

    async def _async_read_stored(
        self, export: Export, last_piece: str, store_url: str
    ) -> Manifest | None:
        """Return the manifest of a prefix of the prompt, or ``None`` if not stored."""
        name = manifest_name(last_piece)
        content = await self._stores.async_get_manifest(store_url, name)
        if content is None:
            return None
        manifest = decode_manifest(content)
        plan = ImportPlan(
            workspace=export.workspace,
            weight_version=export.weight_version,
            upstream=export.upstream,
            store=export.store,
            manifest=last_piece,
            pieces=len(manifest.pieces),
            piece_hashes=export.piece_hashes,
        )
        check_manifest(manifest, plan)
        return manifest

    async def _async_write(
        self,
        export: Export,
        route: TransferRoute,
        generation: str,
        reused_pieces: tuple[PieceBlock, ...],
    ) -> Manifest:
        keys = export.piece_hashes[len(reused_pieces) :]
        raw_manifest = f"raw-{generation}"
        request = ExportRequest(keys, route.store_url, raw_manifest, f"{generation}-")
        blocks = await self._engines.async_export(route.upstream_url, request)
        await self._async_try_delete_manifest(route.store_url, raw_manifest)
        pieces = reused_pieces + check_exported(blocks, keys)
        manifest = _make_manifest(export, generation, pieces)
        name = manifest_name(_last_key(manifest))
        content = encode_manifest(manifest)
        await self._stores.async_put_manifest(route.store_url, name, content)
        return manifest

    async def _async_delete_written(
        self, export: Export, store_url: str, generation: str, kept_pieces: int
    ) -> None:
        """Delete the manifest and blocks that a failed export may have written.

        The manifest is deleted first: it may exist, since the response to its write
        may have been lost.
        """
        name = manifest_name(export.manifest)
        await self._async_try_delete_manifest(store_url, name)
        names = [f"{generation}-{key}" for key in export.piece_hashes[kept_pieces:]]
        await self._async_delete_blocks(store_url, names)

    async def _async_import(
        self, plan: ImportPlan, route: TransferRoute, name: str
    ) -> int:
        content = await self._stores.async_get_manifest(route.store_url, name)
        if content is None:
            raise StoredPrefixLostError(f"manifest {name} is not in the store")
        pieces = check_manifest(decode_manifest(content), plan)
        salt = cache_salt(plan.workspace, plan.weight_version)
        request = ImportRequest(route.store_url, plan.weight_version, salt, pieces)
        imported = await self._engines.async_import(route.upstream_url, request)
        expected = [(piece.key, piece.digest) for piece in pieces]
        if [(piece.key, piece.digest) for piece in imported] != expected:
            await self._async_drop(plan, route)
            raise StoredPrefixLostError(
                "the digests of the imported pieces differ from the manifest"
            )
        return len(pieces)

    async def _async_drop(self, plan: ImportPlan, route: TransferRoute) -> None:
        keys = plan.piece_hashes[: plan.pieces]
        try:
            await self._engines.async_drop(route.upstream_url, keys)
        except TransferError as error:
            LOGGER.warning(
                "import_not_dropped", upstream=plan.upstream, reason=str(error)
            )

    async def _async_delete_replaced(self, export: Export, store_url: str) -> None:
        """Delete the manifest that the new one replaces; its blocks are retained."""
        assert export.replaces is not None
        name = manifest_name(export.replaces)
        await self._async_try_delete_manifest(store_url, name)

    async def _async_try_delete_manifest(self, store_url: str, name: str) -> None:
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
