"""Encoding of the items that the table service keeps."""

from typing import Final

import msgspec

from banyanswitch.components.configuration.const import (
    DELTA_PREFIX,
    SUPERSEDED_PREFIX,
)
from banyanswitch.components.configuration.models import (
    Delta,
    Head,
    Snapshot,
    SupersededObjects,
)

_HEAD_DECODER: Final = msgspec.msgpack.Decoder(Head)
_DELTA_DECODER: Final = msgspec.msgpack.Decoder(Delta)
_SNAPSHOT_DECODER: Final = msgspec.msgpack.Decoder(Snapshot)
_SUPERSEDED_DECODER: Final = msgspec.msgpack.Decoder(SupersededObjects)


def encode_head(head: Head) -> bytes:
    """Return the encoded form of a head."""
    return msgspec.msgpack.encode(head)


def decode_head(value: bytes) -> Head:
    """Return the head of an item."""
    return _HEAD_DECODER.decode(value)


def encode_delta(delta: Delta) -> bytes:
    """Return the encoded form of a delta."""
    return msgspec.msgpack.encode(delta)


def decode_delta(value: bytes) -> Delta:
    """Return the delta of an item."""
    return _DELTA_DECODER.decode(value)


def delta_key(revision: int) -> str:
    """Return the key of the item that holds a revision's delta."""
    return f"{DELTA_PREFIX}{revision:012d}"


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the encoded form of a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(content: bytes) -> Snapshot:
    """Return the snapshot of an object."""
    return _SNAPSHOT_DECODER.decode(content)


def encode_superseded(superseded: SupersededObjects) -> bytes:
    """Return the encoded form of a list of objects."""
    return msgspec.msgpack.encode(superseded)


def decode_superseded(value: bytes) -> SupersededObjects:
    """Return the list of objects of an item."""
    return _SUPERSEDED_DECODER.decode(value)


def superseded_key(revision: int) -> str:
    """Return the key of the item that lists what a revision superseded."""
    return f"{SUPERSEDED_PREFIX}{revision:012d}"
