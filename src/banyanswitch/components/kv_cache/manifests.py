"""Encoding and validation of manifests."""

from typing import Final

import msgspec

from banyanswitch.components.kv_cache.const import DIGEST_HEX_CHARACTERS
from banyanswitch.components.kv_cache.errors import (
    ManifestRefusedError,
    StoredPrefixLostError,
    UpstreamTransferError,
)
from banyanswitch.components.kv_cache.models import ImportPlan, Manifest, PieceBlock
from banyanswitch.decisions.prefix import cache_salt
from banyanswitch.identifiers import PrefixHash

_DECODER: Final = msgspec.json.Decoder(Manifest)


def manifest_name(last_piece: str) -> str:
    """Return the name of the manifest for the prefix that ends with a piece.

    The hash of a piece is chained from the salt of workspace and weight version,
    so prefixes of different workspaces or versions have different names.
    """
    return f"prefix-{last_piece}"


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest as JSON."""
    return msgspec.json.encode(manifest)


def decode_manifest(content: bytes) -> Manifest:
    """Decode a manifest from a stored document.

    Raises
    ------
    StoredPrefixLostError
        If the document is truncated or damaged.
    """
    try:
        return _DECODER.decode(content)
    except msgspec.MsgspecError as error:
        raise StoredPrefixLostError(f"the manifest is damaged: {error}") from error


def check_manifest(manifest: Manifest, plan: ImportPlan) -> tuple[PieceBlock, ...]:
    """Check a manifest and return the blocks to import.

    Raises
    ------
    ManifestRefusedError
        If the manifest belongs to another workspace, weight version or prompt.
    """
    if manifest.workspace != plan.workspace:
        raise ManifestRefusedError("the manifest belongs to another workspace")
    if manifest.weight_version != plan.weight_version:
        raise ManifestRefusedError("the manifest belongs to another weight version")
    if manifest.cache_salt != cache_salt(plan.workspace, plan.weight_version):
        raise ManifestRefusedError("the manifest has a different cache salt")
    pieces = manifest.pieces[: plan.pieces]
    keys = tuple(piece.key for piece in pieces)
    if not keys or keys != plan.piece_hashes[: len(keys)]:
        raise ManifestRefusedError("the manifest belongs to another prompt")
    return pieces


def check_exported(
    blocks: tuple[PieceBlock, ...], keys: tuple[PrefixHash, ...]
) -> tuple[PieceBlock, ...]:
    """Check exported blocks and return them in the order of the prompt.

    Raises
    ------
    UpstreamTransferError
        If a key is missing, or a block has no valid digest or size.
    """
    by_key = {block.key: block for block in blocks}
    if any(key not in by_key for key in keys):
        raise UpstreamTransferError("the upstream no longer holds the complete prefix")
    ordered = tuple(by_key[key] for key in keys)
    for block in ordered:
        if len(block.digest) != DIGEST_HEX_CHARACTERS or block.size_bytes <= 0:
            raise UpstreamTransferError(
                f"block {block.block} has no valid digest or size"
            )
    return ordered
