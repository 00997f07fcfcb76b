"""Write access to snapshots in the object store."""

import asyncio
from dataclasses import dataclass

from banyanswitch.components.configuration.codec import encode_snapshot
from banyanswitch.components.configuration.const import (
    BUCKET_OBJECT_PREFIX,
    SNAPSHOT_OBJECT_PREFIX,
)
from banyanswitch.components.configuration.models import Head, Snapshot
from banyanswitch.components.configuration.packed_records import (
    PackedRecords,
    split_manifest,
)
from banyanswitch.components.configuration.repository import (
    MAX_PARALLEL_TRANSFERS,
    ConfigurationRepository,
)
from banyanswitch.interfaces import ObjectStore


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """Result of writing a snapshot.

    Parameters
    ----------
    written : tuple of str
        Objects that were written for it, including the snapshot object.
    superseded : tuple of str
        Objects of the previous snapshot that it does not reuse, including the
        previous snapshot object.
    """

    name: str
    written: tuple[str, ...]
    superseded: tuple[str, ...]


class SnapshotWriter:
    """Write contents as objects, reusing the objects of unchanged buckets."""

    def __init__(
        self, objects: ObjectStore, repository: ConfigurationRepository
    ) -> None:
        self._objects = objects
        self._repository = repository

    async def async_write(
        self, head: Head | None, records: PackedRecords, attempt: str
    ) -> StoredSnapshot:
        """Write a snapshot; it is not in use until a head refers to it."""
        previous: Snapshot | None = None
        if head is not None and head.snapshot_name:
            previous = await self._repository.async_snapshot(head)
        names = _object_names(previous, records, attempt)
        known = set(previous.objects) if previous is not None else set()
        new = [index for index, name in enumerate(names) if name and name not in known]
        limit = asyncio.Semaphore(MAX_PARALLEL_TRANSFERS)
        await asyncio.gather(
            *(
                self._async_put(names[index], records.packed_bucket(index), limit)
                for index in new
            )
        )
        snapshot_name = SNAPSHOT_OBJECT_PREFIX + attempt
        content = encode_snapshot(Snapshot(records.manifest, names))
        await self._objects.async_put(snapshot_name, content)
        written = (*(names[index] for index in new), snapshot_name)
        superseded = _superseded(head, previous, names)
        return StoredSnapshot(snapshot_name, written, superseded)

    async def _async_put(
        self, name: str, content: bytes, limit: asyncio.Semaphore
    ) -> None:
        async with limit:
            await self._objects.async_put(name, content)


def _object_names(
    previous: Snapshot | None, records: PackedRecords, attempt: str
) -> tuple[str, ...]:
    known = split_manifest(previous.manifest) if previous is not None else ()
    names: list[str] = []
    for index in records.bucket_indexes():
        if previous is not None and known[index] == records.bucket_digest(index):
            names.append(previous.objects[index])
        elif not records.packed_bucket(index):
            names.append("")
        else:
            names.append(f"{BUCKET_OBJECT_PREFIX}{attempt}-{index:03d}")
    return tuple(names)


def _superseded(
    head: Head | None, previous: Snapshot | None, names: tuple[str, ...]
) -> tuple[str, ...]:
    if head is None or previous is None:
        return ()
    used = set(names)
    unused = [name for name in previous.objects if name and name not in used]
    return (*unused, head.snapshot_name)
