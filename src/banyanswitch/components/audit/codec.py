"""Keys and encoding of audit records in the table service."""

from typing import Final

import msgspec

from banyanswitch.components.audit.const import AUDIT_PREFIX, MILLISECONDS_PER_S
from banyanswitch.components.audit.models import AuditRecord

_DECODER: Final = msgspec.msgpack.Decoder(tuple[AuditRecord, ...])


def time_key(at_unix_s: float) -> str:
    """Return the key prefix of items whose first record has this time."""
    return f"{AUDIT_PREFIX}{int(at_unix_s * MILLISECONDS_PER_S):013d}"


def batch_key(records: tuple[AuditRecord, ...]) -> str:
    """Return the key of the item for a batch, from the batch's first record."""
    return f"{time_key(records[0].at_unix_s)}-{records[0].identity}"


def encode_batch(records: tuple[AuditRecord, ...]) -> bytes:
    """Encode a batch of records as the value of an item."""
    return msgspec.msgpack.encode(records)


def decode_batch(value: bytes) -> tuple[AuditRecord, ...]:
    """Decode the records of an item."""
    return _DECODER.decode(value)
