"""Differences between two contents, decoded as far as the view needs them."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from banyanswitch.components.configuration.errors import ContentError
from banyanswitch.components.configuration.key_index import KeyEntry, key_entry
from banyanswitch.components.configuration.packed_records import PackedRecords
from banyanswitch.config.records import RecordKind, decode_record

WORKSPACE_PREFIX: Final = f"{RecordKind.WORKSPACE.value}/"


@dataclass(frozen=True, slots=True)
class DecodedChange:
    """A changed record that is not a workspace.

    Parameters
    ----------
    record : object or None
        Decoded configuration object; ``None`` if it was removed.
    """

    key: str
    record: Any


@dataclass(frozen=True, slots=True)
class ContentChanges:
    """Differences between two contents.

    For workspaces only record keys and index entries are stored, since there may be
    many workspaces.

    Parameters
    ----------
    replaced_workspaces : list of str
        Record keys of the workspaces that were changed or removed.
    removed_keys : list of KeyEntry
        Index entries of the bearer keys that the differing workspaces had before.
    added_keys : list of KeyEntry
        Index entries of the bearer keys that they have after the change.
    """

    records: list[DecodedChange] = field(default_factory=list)
    replaced_workspaces: list[str] = field(default_factory=list)
    removed_keys: list[KeyEntry] = field(default_factory=list)
    added_keys: list[KeyEntry] = field(default_factory=list)


def content_changes(before: PackedRecords, after: PackedRecords) -> ContentChanges:
    """Return the differences between two contents.

    Raises
    ------
    ContentError
        If a record can't be decoded.
    """
    changes = ContentChanges()
    for bucket in before.differing_buckets(after):
        old = dict(before.bucket_items(bucket))
        new = dict(after.bucket_items(bucket))
        for key in sorted(old.keys() | new.keys()):
            if old.get(key) != new.get(key):
                _add_change(changes, bucket, key, old.get(key), new.get(key))
    return changes


def _add_change(
    changes: ContentChanges,
    bucket: int,
    key: str,
    before: bytes | None,
    after: bytes | None,
) -> None:
    if not key.startswith(WORKSPACE_PREFIX):
        changes.records.append(DecodedChange(key, _decode(key, after)))
        return
    if before is not None:
        changes.replaced_workspaces.append(key)
    changes.removed_keys.extend(_key_entries(bucket, _decode(key, before)))
    changes.added_keys.extend(_key_entries(bucket, _decode(key, after)))


def _key_entries(bucket: int, workspace: Any) -> Iterator[KeyEntry]:
    if workspace is None:
        return
    for key_digest in workspace.key_digests:
        yield key_entry(key_digest, bucket)


def _decode(key: str, value: bytes | None) -> Any:
    if value is None:
        return None
    try:
        return decode_record(key, value)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ContentError(f"record {key} can't be decoded: {error}") from error
