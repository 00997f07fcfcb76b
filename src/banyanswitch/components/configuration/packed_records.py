"""Records of a configuration, packed so that many workspaces need little memory.

The records are distributed over buckets by a hash of their keys. A bucket is one
byte string with its records sorted by key. The manifest lists the digests of all
buckets, and its digest identifies the complete content. Therefore the change of a
record rewrites only one bucket, and each bucket can be verified separately.
"""

import hashlib
import zlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import msgspec
import xxhash

from banyanswitch.components.configuration.const import (
    BUCKET_COUNT,
    COMPRESSION_LEVEL,
    DIGEST_BYTES,
)
from banyanswitch.config.records import RecordChange

MAX_BUCKET_BYTES: Final = 16 * 1024 * 1024
"""Maximum size of the decompressed content of a bucket."""

_EMPTY_BUCKET: Final = b""
_DECODER: Final = msgspec.msgpack.Decoder(dict[str, msgspec.Raw])


class BucketError(ValueError):
    """A bucket or a manifest is malformed."""


class PackedRecords:
    """Immutable mapping of keys to encoded records.

    Parameters
    ----------
    buckets : tuple of bytes
        Compressed content of each bucket.
    digests : tuple of bytes
        SHA-256 digest of each bucket's content before compression.
    """

    __slots__ = ("_buckets", "_digests", "_digest")

    def __init__(self, buckets: tuple[bytes, ...], digests: tuple[bytes, ...]) -> None:
        self._buckets = buckets
        self._digests = digests
        self._digest = hashlib.sha256(self.manifest).digest()

    @classmethod
    def empty(cls) -> "PackedRecords":
        """Return a content without records."""
        empty_digest = hashlib.sha256(_EMPTY_BUCKET).digest()
        return cls((_EMPTY_BUCKET,) * BUCKET_COUNT, (empty_digest,) * BUCKET_COUNT)

    @classmethod
    def from_records(cls, records: Mapping[str, bytes]) -> "PackedRecords":
        """Pack records."""
        changes = (RecordChange(key, value) for key, value in records.items())
        return cls.empty().with_changes(changes)

    @property
    def digest(self) -> bytes:
        """SHA-256 digest of the manifest, which identifies the content."""
        return self._digest

    @property
    def manifest(self) -> bytes:
        """Concatenated digests of all buckets."""
        return b"".join(self._digests)

    @property
    def size_bytes(self) -> int:
        """Size of the compressed buckets in bytes."""
        return sum(len(bucket) for bucket in self._buckets)

    def get(self, key: str) -> bytes | None:
        """Return an encoded record, or ``None`` if it does not exist."""
        value = self._records(bucket_index(key)).get(key)
        return None if value is None else bytes(value)

    def items(self) -> Iterator[tuple[str, bytes]]:
        """Yield all records, bucket by bucket."""
        for index in range(BUCKET_COUNT):
            for key, value in self._records(index).items():
                yield key, bytes(value)

    def bucket_items(self, index: int) -> Iterator[tuple[str, bytes]]:
        """Yield the records of one bucket."""
        for key, value in self._records(index).items():
            yield key, bytes(value)

    def packed_bucket(self, index: int) -> bytes:
        """Return the compressed content of a bucket."""
        return self._buckets[index]

    def bucket_digest(self, index: int) -> bytes:
        """Return the digest of a bucket."""
        return self._digests[index]

    def differing_buckets(self, other: "PackedRecords") -> tuple[int, ...]:
        """Return the indexes of the buckets whose content differs."""
        return tuple(
            index
            for index in range(BUCKET_COUNT)
            if self._digests[index] != other.bucket_digest(index)
        )

    def bucket_indexes(self) -> range:
        """Return the indexes of all buckets."""
        return range(BUCKET_COUNT)

    def with_changes(self, changes: Iterable[RecordChange]) -> "PackedRecords":
        """Return the content with some changes applied."""
        grouped: dict[int, list[RecordChange]] = {}
        for change in changes:
            grouped.setdefault(bucket_index(change.key), []).append(change)
        contents = {
            index: self._encode_changed_bucket(index, bucket_changes)
            for index, bucket_changes in grouped.items()
        }
        digests = list(self._digests)
        buckets = list(self._buckets)
        for index, content in contents.items():
            digests[index] = hashlib.sha256(content).digest()
            buckets[index] = _compress(content)
        return PackedRecords(tuple(buckets), tuple(digests))

    def with_buckets(self, replacements: Mapping[int, bytes]) -> "PackedRecords":
        """Return the content with some compressed buckets replaced.

        Raises
        ------
        BucketError
            If a bucket can't be decompressed.
        """
        digests = list(self._digests)
        buckets = list(self._buckets)
        for index, packed in replacements.items():
            digests[index] = packed_digest(packed)
            buckets[index] = packed
        return PackedRecords(tuple(buckets), tuple(digests))

    def _records(self, index: int) -> dict[str, msgspec.Raw]:
        packed = self._buckets[index]
        return _DECODER.decode(zlib.decompress(packed)) if packed else {}

    def _encode_changed_bucket(self, index: int, changes: list[RecordChange]) -> bytes:
        records = self._records(index)
        for change in changes:
            if change.value is None:
                records.pop(change.key, None)
                continue
            records[change.key] = msgspec.Raw(change.value)
        if not records:
            return _EMPTY_BUCKET
        return msgspec.msgpack.encode(dict(sorted(records.items())))


def bucket_index(key: str) -> int:
    """Return the index of the bucket of a key."""
    return xxhash.xxh64_intdigest(key.encode()) % BUCKET_COUNT


def packed_digest(packed: bytes) -> bytes:
    """Return the digest of the decompressed content of a bucket.

    Raises
    ------
    BucketError
        If the bucket can't be decompressed or is too large.
    """
    if not packed:
        return hashlib.sha256(_EMPTY_BUCKET).digest()
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(packed, MAX_BUCKET_BYTES)
    except zlib.error as error:
        raise BucketError("content can't be decompressed") from error
    if not decompressor.eof:
        raise BucketError("content is truncated or too large")
    return hashlib.sha256(content).digest()


def split_manifest(manifest: bytes) -> tuple[bytes, ...]:
    """Return the digests of a manifest.

    Raises
    ------
    BucketError
        If the manifest does not have one digest per bucket.
    """
    if len(manifest) != BUCKET_COUNT * DIGEST_BYTES:
        raise BucketError("manifest has the wrong length")
    return tuple(
        manifest[offset : offset + DIGEST_BYTES]
        for offset in range(0, len(manifest), DIGEST_BYTES)
    )


def _compress(content: bytes) -> bytes:
    return zlib.compress(content, COMPRESSION_LEVEL) if content else _EMPTY_BUCKET
