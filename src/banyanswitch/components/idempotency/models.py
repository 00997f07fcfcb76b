"""Record of a call that may not be repeated."""

import hashlib
from dataclasses import dataclass
from enum import Enum

import msgspec

from banyanswitch.components.idempotency.const import ANSWER_PREFIX, CLAIM_PREFIX
from banyanswitch.exceptions import PlatformError
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import StoredAnswer


class RecordState(Enum):
    """State of a record as kept in the table service."""

    PENDING = "pending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    RELEASED = "released"


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Content of one record.

    Parameters
    ----------
    attempt : str
        The one attempt that may send the call.
    pending_until_unix_s : float
        Time from which a pending record counts as outcome unknown.
    expires_at_unix_s : float
        Time until which the key is honoured.
    answer : StoredAnswer, optional
        Answer that is kept in the record.
    answer_object : str, optional
        Name of the object that holds an answer too large for the record.
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
    """A claim of this process that has no result yet.

    Parameters
    ----------
    revision : int or None
        Revision of the record; ``None`` if the outcome of its write is unknown.
    lapses_at_s : float
        Loop time from which the call must not be sent any more.
    replaced_revision : int
        Revision that the claim's write expected; 0 for an absent record.
    may_stand : bool
        Whether the record may exist, now or later, although the claim failed.
    """

    record_key: str
    record: ClaimRecord
    revision: int | None
    lapses_at_s: float
    replaced_revision: int = 0
    may_stand: bool = False


@dataclass(frozen=True, slots=True)
class AnswerObject:
    """An answer that is too large for a record."""

    name: str
    content: bytes


@dataclass(frozen=True, slots=True)
class Settlement:
    """What the record of a claim is to become.

    Parameters
    ----------
    record : ClaimRecord
        New content.
    answer_object : AnswerObject, optional
        Object that the record names; it is stored before the record.
    """

    record: ClaimRecord
    answer_object: AnswerObject | None = None


def claim_key(workspace: WorkspaceId, key: str) -> str:
    """Return the key of the record of a call."""
    return f"{CLAIM_PREFIX}{workspace}/{hashlib.sha256(key.encode()).hexdigest()}"


def answer_object_name(record_key: str, attempt: str) -> str:
    """Return the name of the object that holds the answer of an attempt."""
    suffix = hashlib.sha256(attempt.encode()).hexdigest()[:16]
    return ANSWER_PREFIX + record_key.removeprefix(CLAIM_PREFIX) + "/" + suffix


def encode_record(record: ClaimRecord) -> bytes:
    """Return the content of the item that holds a record."""
    return msgspec.msgpack.encode(record)


def decode_record(content: bytes) -> ClaimRecord:
    """Return the record that an item holds.

    Raises
    ------
    PlatformError
        If the item holds something else.
    """
    try:
        return msgspec.msgpack.decode(content, type=ClaimRecord)
    except msgspec.DecodeError as error:
        raise PlatformError(f"unreadable claim record: {error}") from error


def encode_answer(answer: StoredAnswer) -> bytes:
    """Return the content of the object that holds an answer."""
    return msgspec.msgpack.encode(answer)


def decode_answer(content: bytes) -> StoredAnswer:
    """Return the answer that an object holds.

    Raises
    ------
    PlatformError
        If the object holds something else.
    """
    try:
        return msgspec.msgpack.decode(content, type=StoredAnswer)
    except msgspec.DecodeError as error:
        raise PlatformError(f"unreadable answer object: {error}") from error
