"""Compact index from the digests of bearer keys to buckets."""

from array import array
from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import Final, NamedTuple

_PREFIX_HEX_DIGITS: Final = 16
_MAX_SINGLE_INSERTS: Final = 64
"""Maximum number of new entries inserted one by one; for more, the index is rebuilt."""


class KeyEntry(NamedTuple):
    """A key and the bucket of its workspace.

    Parameters
    ----------
    prefix : int
        First 64 bits of the SHA-256 digest of the key.
    bucket : int
        Index of the bucket.
    """

    prefix: int
    bucket: int


class KeyIndex:
    """Find the buckets that may contain the workspace of a key.

    Each key takes ten bytes: the first 64 bits of its digest and a bucket number.
    Different keys may share these 64 bits, so callers must compare full digests.
    """

    __slots__ = ("_buckets", "_prefixes")

    def __init__(self) -> None:
        self._prefixes = array("Q")
        self._buckets = array("H")

    def update(self, removed: Sequence[KeyEntry], added: Sequence[KeyEntry]) -> None:
        """Remove existing entries, then add new ones."""
        for entry in removed:
            self._remove(entry)
        if len(added) <= _MAX_SINGLE_INSERTS:
            for entry in added:
                self._add(entry)
            return
        known = zip(self._prefixes, self._buckets, strict=True)
        ordered = sorted([*known, *added])
        self._prefixes = array("Q", (prefix for prefix, _ in ordered))
        self._buckets = array("H", (bucket for _, bucket in ordered))

    def buckets(self, key_digest: str) -> Iterator[int]:
        """Yield the buckets that may contain the workspace with this key."""
        for position in self._positions(_prefix(key_digest)):
            yield self._buckets[position]

    def _add(self, entry: KeyEntry) -> None:
        position = bisect_left(self._prefixes, entry.prefix)
        self._prefixes.insert(position, entry.prefix)
        self._buckets.insert(position, entry.bucket)

    def _remove(self, entry: KeyEntry) -> None:
        for position in self._positions(entry.prefix):
            if self._buckets[position] == entry.bucket:
                self._prefixes.pop(position)
                self._buckets.pop(position)
                return

    def _positions(self, prefix: int) -> Iterator[int]:
        position = bisect_left(self._prefixes, prefix)
        while position < len(self._prefixes) and self._prefixes[position] == prefix:
            yield position
            position += 1


def key_entry(key_digest: str, bucket: int) -> KeyEntry:
    """Return the index entry of a key.

    Parameters
    ----------
    key_digest : str
        SHA-256 digest of the key in hexadecimal.
    """
    return KeyEntry(_prefix(key_digest), bucket)


def _prefix(key_digest: str) -> int:
    return int(key_digest[:_PREFIX_HEX_DIGITS], 16)
