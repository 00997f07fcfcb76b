"""Manifests, import plans and messages of the KV cache component."""

from dataclasses import dataclass

from banyanswitch.decisions.cache_view import StoredPrefix
from banyanswitch.identifiers import (
    PrefixHash,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)


@dataclass(frozen=True, slots=True)
class PieceBlock:
    """Block in a store that holds the KV cache of one piece.

    Parameters
    ----------
    key : PrefixHash
        Chained hash of the prompt up to and including this piece.
    block : str
        Name of the block in the store.
    digest : str
        SHA-256 digest of the content, in hexadecimal.
    """

    key: PrefixHash
    block: str
    digest: str
    size_bytes: int


@dataclass(frozen=True, slots=True)
class Manifest:
    """List of all blocks of one stored prefix; written after the last block.

    Parameters
    ----------
    generation : str
        Identifier of the export that wrote the prefix; unique among all exports.
    """

    workspace: WorkspaceId
    weight_version: WeightVersion
    cache_salt: str
    generation: str
    pieces: tuple[PieceBlock, ...]

    @property
    def size_bytes(self) -> int:
        """Total size of the blocks, in bytes."""
        return sum(piece.size_bytes for piece in self.pieces)


@dataclass(frozen=True, slots=True, kw_only=True)
class ImportPlan:
    """Import of a stored prefix to an upstream.

    Parameters
    ----------
    manifest : str
        Identifier of the manifest: the hash of the last piece of the stored prefix.
    pieces : int
        Number of leading pieces to import.
    piece_hashes : tuple of PrefixHash
        Chained hashes of the pieces of the prompt that the import is for.
    """

    workspace: WorkspaceId
    weight_version: WeightVersion
    upstream: UpstreamId
    store: StoreId
    manifest: str
    pieces: int
    piece_hashes: tuple[PrefixHash, ...]


@dataclass(frozen=True, slots=True)
class PrefixesStored:
    """Message to other instances: stores hold these prefixes completely."""

    prefixes: tuple[StoredPrefix, ...]
