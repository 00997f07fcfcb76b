"""Transfer of a complete content in buckets that are verified one by one."""

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
    """Collect the buckets in which a target content differs from the active one.

    Parameters
    ----------
    revision : int
        Revision of the target content.
    manifest : bytes
        Digests of its buckets.
    base : PackedRecords
        Content that is active on this instance.
    received : dict of int to bytes
        Compressed buckets from an earlier transfer; those that match the manifest
        are reused.

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
        """Whether all differing buckets were received."""
        return not self._missing

    def next_indexes(self) -> tuple[int, ...]:
        """Return the indexes of the buckets to request next."""
        return tuple(sorted(self._missing)[:BUCKETS_PER_REQUEST])

    def add_all(self, buckets: Iterable[Bucket]) -> int:
        """Add buckets and return how many of them were missing and valid."""
        return sum(self.add(bucket) for bucket in buckets)

    def add(self, bucket: Bucket) -> bool:
        """Add a bucket if it is missing and matches its digest."""
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
        """Return the target content; call only after the transfer is complete."""
        return base.with_buckets(self.received)
