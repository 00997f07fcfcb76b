"""Transfer of a whole content, bucket by bucket, each checked on its own."""

import hashlib
from collections.abc import Iterable

from banyanswitch.components.configuration.const import BUCKETS_PER_REQUEST
from banyanswitch.components.configuration.models import Bucket
from banyanswitch.components.configuration.packed_records import (
    BucketError,
    PackedRecords,
    packed_digest,
    split_manifest,
)


class BucketSync:
    """Collect the buckets in which a wanted content differs from the one held.

    Parameters
    ----------
    revision : int
        Revision of the wanted content.
    manifest : bytes
        Digests of its buckets.
    held : PackedRecords
        Content in force here.
    received : dict of int to bytes
        Compressed buckets that an earlier transfer brought; those that still fit
        are used again.

    Raises
    ------
    BucketError
        If the manifest is malformed.
    """

    def __init__(
        self,
        revision: int,
        manifest: bytes,
        base: PackedRecords,
        received: dict[int, bytes] | None = None,
    ) -> None:
        self.revision = revision
        self.digest = hashlib.sha256(manifest).digest()
        self._digests = split_manifest(manifest)
        self._missing = {
            index
            for index, digest in enumerate(self._digests)
            if digest != base.bucket_digest(index)
        }
        self.received: dict[int, bytes] = {}
        for index, packed in (received or {}).items():
            self.add(Bucket(index, packed))

    @property
    def is_complete(self) -> bool:
        """Whether no bucket is missing."""
        return not self._missing

    def next_indexes(self) -> tuple[int, ...]:
        """Return the buckets to ask for next."""
        return tuple(sorted(self._missing)[:BUCKETS_PER_REQUEST])

    def add_all(self, buckets: Iterable[Bucket]) -> int:
        """Take buckets over and return how many were missing and fit."""
        return sum(self.add(bucket) for bucket in buckets)

    def add(self, bucket: Bucket) -> bool:
        """Take a bucket over if it is missing and matches its digest."""
        if bucket.index not in self._missing:
            return False
        try:
            digest = packed_digest(bucket.content)
        except BucketError:
            return False
        if digest != self._digests[bucket.index]:
            return False
        self.received[bucket.index] = bucket.content
        self._missing.discard(bucket.index)
        return True

    def assemble(self, base: PackedRecords) -> PackedRecords:
        """Return the wanted content; all buckets must be there."""
        return base.with_buckets(self.received)
