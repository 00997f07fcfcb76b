"""Changes between two contents, decoded."""

from dataclasses import dataclass
from typing import Any

import msgspec

from banyanswitch.components.configuration.errors import ContentError
from banyanswitch.components.configuration.packed_records import PackedRecords
from banyanswitch.config.records import decode_record


@dataclass(frozen=True, slots=True)
class DecodedChange:
    """One record that differs between two contents.

    Parameters
    ----------
    bucket : int
        Bucket of the record.
    before, after : object or None
        Configuration object, or ``None`` if there is none.
    """

    key: str
    bucket: int
    before: Any
    after: Any


def decoded_changes(
    before: PackedRecords, after: PackedRecords
) -> tuple[DecodedChange, ...]:
    """Return the differing records, bucket by bucket.

    Raises
    ------
    ContentError
        If a record can't be decoded.
    """
    changes: list[DecodedChange] = []
    for bucket in before.differing_buckets(after):
        old = dict(before.bucket_items(bucket))
        new = dict(after.bucket_items(bucket))
        for key in sorted(old.keys() | new.keys()):
            if old.get(key) == new.get(key):
                continue
            old_record = _decode(key, old.get(key))
            changes.append(
                DecodedChange(key, bucket, old_record, _decode(key, new.get(key)))
            )
    return tuple(changes)


def _decode(key: str, value: bytes | None) -> Any:
    if value is None:
        return None
    try:
        return decode_record(key, value)
    except (msgspec.MsgspecError, ValueError) as error:
        raise ContentError(f"record {key} can't be decoded: {error}") from error
