"""Read access to the accepted configuration on the platform."""

import asyncio
import hashlib
from dataclasses import dataclass
from typing import Final

import msgspec

from banyanswitch.components.configuration.codec import (
    decode_delta,
    decode_head,
    decode_snapshot,
    delta_key,
)
from banyanswitch.components.configuration.const import (
    DELTA_PREFIX,
    HEAD_KEY,
)
from banyanswitch.components.configuration.errors import ContentError
from banyanswitch.components.configuration.models import Delta, Head, Snapshot
from banyanswitch.components.configuration.packed_records import (
    BucketError,
    PackedRecords,
    packed_digest,
    split_manifest,
)
from banyanswitch.interfaces import ObjectStore, TableStore

DELTAS_PER_QUERY: Final = 64
MAX_PARALLEL_TRANSFERS: Final = 8


@dataclass(frozen=True, slots=True)
class AcceptedHead:
    """Head and revision of its table item, for a conditional write."""

    head: Head | None
    item_revision: int


@dataclass(frozen=True, slots=True)
class Content:
    """Content of one revision."""

    revision: int
    records: PackedRecords

    def with_delta(self, delta: Delta) -> "Content | None":
        """Return the content after a delta, or ``None`` if the delta doesn't apply."""
        if delta.revision != self.revision + 1 or delta.changes is None:
            return None
        if delta.base_digest != self.records.digest:
            return None
        records = self.records.with_changes(delta.changes)
        if records.digest != delta.digest:
            return None
        return Content(delta.revision, records)


EMPTY_CONTENT: Final = Content(0, PackedRecords.empty())


class ConfigurationRepository:
    """Reader of accepted revisions in the table service and the object store."""

    def __init__(self, table: TableStore, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def async_head(self) -> AcceptedHead:
        """Return the latest head."""
        items = await self._table.async_get([HEAD_KEY])
        if not items:
            return AcceptedHead(None, 0)
        return AcceptedHead(decode_head(items[0].value), items[0].revision)

    async def async_delta(self, revision: int) -> Delta | None:
        """Return the delta of a revision, or ``None`` if it is not stored."""
        items = await self._table.async_get([delta_key(revision)])
        return decode_delta(items[0].value) if items else None

    async def async_deltas(
        self, after_revision: int, limit: int = DELTAS_PER_QUERY
    ) -> tuple[Delta, ...]:
        """Return the deltas after a revision, oldest first."""
        items = await self._table.async_query(
            DELTA_PREFIX, after=delta_key(after_revision), limit=limit
        )
        return tuple(decode_delta(item.value) for item in items)

    async def async_content(self, head: Head, base: Content) -> Content:
        """Return the content of a head, reading only the differences to ``base``.

        Raises
        ------
        ContentError
            If a delta or an object is missing or does not match its digest.
        PlatformError
            If the platform can't be read.
        """
        content = base
        if base.revision < head.snapshot_revision:
            content = await self._async_snapshot(head, base)
        while content.revision < head.revision:
            missing = head.revision - content.revision
            deltas = await self.async_deltas(
                content.revision, limit=min(DELTAS_PER_QUERY, missing)
            )
            content = _with_deltas(content, deltas)
        return content

    async def async_snapshot(self, head: Head) -> Snapshot:
        """Return the snapshot that a head refers to.

        Raises
        ------
        ContentError
            If it is missing or does not match its digest.
        """
        content = await self._objects.async_get_object(head.snapshot_name)
        if content is None:
            raise ContentError(f"object {head.snapshot_name} is missing")
        try:
            snapshot = decode_snapshot(content)
        except msgspec.MsgspecError as error:
            raise ContentError(f"object {head.snapshot_name} is damaged") from error
        if hashlib.sha256(snapshot.manifest).digest() != head.snapshot_digest:
            raise ContentError(f"object {head.snapshot_name} is damaged")
        return snapshot

    async def _async_snapshot(self, head: Head, base: Content) -> Content:
        snapshot = await self.async_snapshot(head)
        digests = split_manifest(snapshot.manifest)
        differing = [
            index
            for index, digest in enumerate(digests)
            if digest != base.records.bucket_digest(index)
        ]
        limit = asyncio.Semaphore(MAX_PARALLEL_TRANSFERS)
        buckets = await asyncio.gather(
            *(
                self._async_bucket(snapshot.objects[index], digests[index], limit)
                for index in differing
            )
        )
        replacements = dict(zip(differing, buckets, strict=True))
        records = base.records.with_buckets(replacements)
        return Content(head.snapshot_revision, records)

    async def _async_bucket(
        self, name: str, digest: bytes, limit: asyncio.Semaphore
    ) -> bytes:
        if not name and digest == EMPTY_BUCKET_DIGEST:
            return b""
        async with limit:
            packed = await self._objects.async_get_object(name)
        if packed is None or not _is_bucket(packed, digest):
            raise ContentError(f"object {name} is missing or damaged")
        return packed


EMPTY_BUCKET_DIGEST: Final = hashlib.sha256(b"").digest()


def _is_bucket(packed: bytes, digest: bytes) -> bool:
    try:
        return packed_digest(packed) == digest
    except BucketError:
        return False


def _with_deltas(content: Content, deltas: tuple[Delta, ...]) -> Content:
    if not deltas:
        raise ContentError(f"no delta follows revision {content.revision}")
    for delta in deltas:
        updated = content.with_delta(delta)
        if updated is None:
            break
        content = updated
    else:
        return content
    if content.revision + 1 == deltas[0].revision:
        raise ContentError(f"the delta of revision {deltas[0].revision} does not fit")
    return content
