"""Encoding of the items in the table service and the snapshot objects."""

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
    """Encode a head."""
    return msgspec.msgpack.encode(head)


def decode_head(value: bytes) -> Head:
    """Decode the head from an item's value."""
    return _HEAD_DECODER.decode(value)


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta."""
    return msgspec.msgpack.encode(delta)


def decode_delta(value: bytes) -> Delta:
    """Decode a delta from an item's value."""
    return _DELTA_DECODER.decode(value)


def delta_key(revision: int) -> str:
    """Return the key of the item with the delta of a revision."""
    return f"{DELTA_PREFIX}{revision:012d}"


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(content: bytes) -> Snapshot:
    """Decode a snapshot from an object's content."""
    return _SNAPSHOT_DECODER.decode(content)


def encode_superseded(superseded: SupersededObjects) -> bytes:
    """Encode a list of superseded objects."""
    return msgspec.msgpack.encode(superseded)


def decode_superseded(value: bytes) -> SupersededObjects:
    """Decode a list of superseded objects from an item's value."""
    return _SUPERSEDED_DECODER.decode(value)


def superseded_key(revision: int) -> str:
    """Return the key of the item that lists the objects a revision superseded."""
    return f"{SUPERSEDED_PREFIX}{revision:012d}"
