"""Idempotency record of a call that must not be repeated."""

import hashlib
from dataclasses import dataclass
from enum import Enum

import msgspec

from banyanswitch.components.idempotency.const import ANSWER_PREFIX, CLAIM_PREFIX
from banyanswitch.exceptions import PlatformError
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import StoredAnswer


class RecordState(Enum):
    """State of a record in the table service."""

    PENDING = "pending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one record.

    Parameters
    ----------
    attempt : str
        The only attempt that is allowed to send the call.
    pending_until_unix_s : float
        Time from which the outcome of a pending record counts as unknown, in
        seconds since the Unix epoch.
    expires_at_unix_s : float
        Time until which the key is valid, in seconds since the Unix epoch. A released
        record can be deleted from then on.
    answer : StoredAnswer, optional
        Response that is stored in the record itself.
    answer_object : str, optional
        Name of the object that holds a response too large for the record.
    """

    state: RecordState
    request_digest: str
    attempt: str
    pending_until_unix_s: float
    expires_at_unix_s: float
    answer: StoredAnswer | None = None
    answer_object: str | None = None


@dataclass(slots=True)
class OpenClaim:
    """Claim of this process that has no result yet.

    Parameters
    ----------
    revision : int or None
        Revision of the record; ``None`` if the outcome of its write is unknown.
    send_deadline_s : float
        Loop time from which the call must no longer be sent, in seconds.
    replaced_revision : int
        Revision that the write of the claim expected; 0 for an absent record.
    may_be_stored : bool
        Whether the write may have been applied, or may be applied later, although
        the claim failed.
    """

    record_key: str
    record: ClaimRecord
    revision: int | None
    send_deadline_s: float
    replaced_revision: int = 0
    may_be_stored: bool = False


@dataclass(frozen=True, slots=True)
class AnswerObject:
    """Response that is too large for a record."""

    name: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Settlement:
    """New content of the record of a claim.

    Parameters
    ----------
    record : ClaimRecord
        Record to write.
    answer_object : AnswerObject, optional
        Object that the record refers to; it is stored before the record.
    """

    record: ClaimRecord
    answer_object: AnswerObject | None = None


def claim_key(workspace: WorkspaceId, key: str) -> str:
    """Return the table key of the record of a call."""
    return f"{CLAIM_PREFIX}{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


def answer_object_name(record_key: str, attempt: str) -> str:
    """Return the name of the object that holds the response of an attempt."""
    suffix = hashlib.sha256(attempt.encode()).hexdigest()[:16]
    return ANSWER_PREFIX + record_key.removeprefix(CLAIM_PREFIX) + "/" + suffix


def encode_record(record: ClaimRecord) -> bytes:
    """Encode a record for the table service."""
    return msgspec.msgpack.encode(record)


def decode_record(content: bytes) -> ClaimRecord:
    """Decode a record from the content of an item.

    Raises
    ------
    PlatformError
        If the content is not a valid record.
    """
    try:
        return msgspec.msgpack.decode(content, type=ClaimRecord)
    except msgspec.DecodeError as error:
        raise PlatformError(f"invalid claim record: {error}") from error


def encode_answer(answer: StoredAnswer) -> bytes:
    """Encode a response for the object store."""
    return msgspec.msgpack.encode(answer)


def decode_answer(content: bytes) -> StoredAnswer:
    """Decode a response from the content of an object.

    Raises
    ------
    PlatformError
        If the content is not a valid response.
    """
    try:
        return msgspec.msgpack.decode(content, type=StoredAnswer)
    except msgspec.DecodeError as error:
        raise PlatformError(f"invalid stored response: {error}") from error
