"""Audit records."""

from dataclasses import dataclass
from enum import Enum


class AuditKind(Enum):
    """Kind of change that a record describes."""

    CONFIGURATION = "configuration"
    WEIGHT_ORDER = "weight_order"
    LEASE = "lease"


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """One change and its actor.

    Parameters
    ----------
    at_unix_s : float
        Time of the change, in seconds since the Unix epoch.
    actor : str
        Operator or instance that made the change.
    subject : str
        Changed object, for example ``revision 12`` or an upstream.
    detail : str
        Description of the change in one sentence.
    identity : str
        Identifier that distinguishes records of the same time. The key of an item
        contains the time and identity of its first record, so a batch of records that
        is written again replaces the first copy.
    """

    at_unix_s: float
    kind: AuditKind
    actor: str
    subject: str
    detail: str
    identity: str
