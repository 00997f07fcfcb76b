"""Identifiers of prompt prefixes: chained hashes of pieces, salted per workspace."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from typing import Final

from banyanswitch.identifiers import PrefixHash, WeightVersion, WorkspaceId

DIGEST_SIZE_BYTES: Final = 16
LENGTH_SIZE_BYTES: Final = 8
SALT_DIGEST_BYTES: Final = 6
KEY_CACHE_SIZE: Final = 256
SHARED_SCOPE_PERSON: Final = b"shared-scope"


def cache_salt(workspace: WorkspaceId, version: WeightVersion) -> str:
    """Return the salt of all prefixes of one workspace and weight version.

    Each name is preceded by its length, so that different pairs of names never
    give the same hash input.

    Returns
    -------
    salt : str
        Hexadecimal digest.
    """
    digest = blake2b(digest_size=DIGEST_SIZE_BYTES)
    for name in (workspace, version):
        encoded = name.encode()
        digest.update(len(encoded).to_bytes(LENGTH_SIZE_BYTES, "big"))
        digest.update(encoded)
    return digest.hexdigest()


def chained_piece_hashes(
    prompt: bytes, piece_bytes: int, salt: str
) -> tuple[PrefixHash, ...]:
    """Return one hash for each prefix of whole pieces.

    Parameters
    ----------
    prompt : bytes
        Prompt in the form in which it is sent.
    piece_bytes : int
        Size of a piece, in bytes; the remainder at the end has no hash.
    salt : str
        Salt from `cache_salt`.

    Returns
    -------
    hashes : tuple of PrefixHash
        The hash at index n identifies the first n + 1 pieces and depends on all of
        them.

    Raises
    ------
    ValueError
        If ``piece_bytes`` is not positive.
    """
    if piece_bytes <= 0:
        raise ValueError("piece_bytes must be > 0")
    hashes: list[PrefixHash] = []
    parent = bytes.fromhex(salt)
    view = memoryview(prompt)
    for end in range(piece_bytes, len(prompt) + 1, piece_bytes):
        digest = blake2b(parent, digest_size=DIGEST_SIZE_BYTES)
        digest.update(view[end - piece_bytes : end])
        parent = digest.digest()
        hashes.append(PrefixHash(parent.hex()))
    return tuple(hashes)


def prefix_key(prefix: PrefixHash) -> int:
    """Return the first 64 bits of a hash as a compact index key."""
    return int(prefix[:16], 16)


@lru_cache(maxsize=KEY_CACHE_SIZE)
def prefix_keys(piece_hashes: tuple[PrefixHash, ...]) -> tuple[int, ...]:
    """Return the compact keys of a hash chain; recently used chains are cached."""
    return tuple([prefix_key(piece_hash) for piece_hash in piece_hashes])


def versioned_cache_salt(model: str, version: int, scope: str = "") -> str:
    """Return a salt from which the weight version and the model can be read back.

    Parameters
    ----------
    scope : str
        Result of `isolated_scope` or `shared_scope`.
    """
    salt = f"{version}-{salt_model(model)}"
    return f"{salt}-{scope}" if scope else salt


@lru_cache(maxsize=KEY_CACHE_SIZE)
def isolated_scope(workspace: WorkspaceId) -> str:
    """Return the scope of the prefixes of an isolated workspace."""
    digest = blake2b(workspace.encode(), digest_size=SALT_DIGEST_BYTES)
    return digest.hexdigest()


def shared_scope(isolated: Iterable[WorkspaceId]) -> str:
    """Return the scope of the prefixes that all other workspaces share.

    It depends on which workspaces are isolated. A workspace that becomes isolated has
    left parts in the earlier scope, and it isn't known which parts are its own.

    Parameters
    ----------
    isolated : iterable of WorkspaceId
        All isolated workspaces.
    """
    names = sorted(set(isolated))
    if not names:
        return ""
    digest = blake2b(digest_size=SALT_DIGEST_BYTES, person=SHARED_SCOPE_PERSON)
    for name in names:
        encoded = name.encode()
        digest.update(len(encoded).to_bytes(LENGTH_SIZE_BYTES, "big") + encoded)
    return digest.hexdigest()


@lru_cache(maxsize=KEY_CACHE_SIZE)
def salt_model(model: str) -> str:
    """Return the identifier of a model in its salts."""
    digest = blake2b(digest_size=SALT_DIGEST_BYTES)
    digest.update(len(model).to_bytes(LENGTH_SIZE_BYTES, "big") + model.encode())
    return digest.hexdigest()


def salt_version(salt: str) -> int | None:
    """Return the weight version of a salt from `versioned_cache_salt`.

    The result is ``None`` for any other salt.
    """
    version, _, digest = salt.partition("-")
    return int(version) if digest and version.isdecimal() else None


def model_in_salt(salt: str) -> str:
    """Return the `salt_model` of a salt from `versioned_cache_salt`.

    Salts of isolated workspaces from earlier software versions have another text in
    its place.
    """
    _, _, digests = salt.partition("-")
    return digests.partition("-")[0]
