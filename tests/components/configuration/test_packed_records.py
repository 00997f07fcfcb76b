"""Packed records behave as a mapping, and their digest identifies the content."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.components.configuration.bucket_sync import BucketSync
from banyanswitch.components.configuration.models import Bucket
from banyanswitch.components.configuration.packed_records import (
    BucketError,
    PackedRecords,
    packed_digest,
)
from banyanswitch.config.records import RecordChange, to_records
from tests.components.configuration.builders import make_configuration

KEYS = st.integers(0, 40).map(lambda number: f"workspace/{number}")
VALUES = st.none() | st.integers(0, 3).map(lambda number: bytes([number]))
CHANGES = st.lists(st.builds(RecordChange, KEYS, VALUES), max_size=60)


@settings(derandomize=True, max_examples=100)
@given(CHANGES)
def test_packed_records_behave_as_a_mapping(changes: list[RecordChange]) -> None:
    packed = PackedRecords.empty()
    expected: dict[str, bytes] = {}
    for change in changes:
        packed = packed.with_changes([change])
        if change.value is None:
            expected.pop(change.key, None)
        else:
            expected[change.key] = change.value
    assert dict(packed.items()) == expected
    assert packed.digest == PackedRecords.from_records(expected).digest
    assert all(packed.get(key) == value for key, value in expected.items())


def test_different_contents_have_different_digests() -> None:
    one = PackedRecords.from_records({"workspace/a": b"\x01"})
    other = PackedRecords.from_records({"workspace/a": b"\x02"})
    assert one.digest != other.digest


@pytest.mark.parametrize("content", [b"junk", PackedRecords.empty().manifest])
def test_malformed_buckets_are_rejected(content: bytes) -> None:
    with pytest.raises(BucketError):
        packed_digest(content)


def test_truncated_bucket_is_rejected() -> None:
    records = PackedRecords.from_records({"workspace/a": b"\x01" * 1})
    index = next(i for i in records.bucket_indexes() if records.packed_bucket(i))
    with pytest.raises(BucketError):
        packed_digest(records.packed_bucket(index)[:-1])


def test_transfer_accepts_only_missing_buckets() -> None:
    records = PackedRecords.from_records({"workspace/a": b"\x01"})
    other = PackedRecords.from_records({"workspace/a": b"\x02"})
    index = next(i for i in records.bucket_indexes() if records.packed_bucket(i))
    sync = BucketSync(1, records.manifest, PackedRecords.empty())
    assert sync.next_indexes() == (index,)
    assert not sync.add(Bucket(index, other.packed_bucket(index)))
    assert not sync.add(Bucket(index, b"junk"))
    assert not sync.is_complete
    assert sync.add(Bucket(index, records.packed_bucket(index)))
    assert sync.assemble(PackedRecords.empty()).digest == records.digest


def test_workspaces_fit_into_the_memory_budget() -> None:
    packed = PackedRecords.from_records(to_records(make_configuration(2000)))
    assert packed.size_bytes / 2000 < 8 * 1024 * 1024 / 35_000
