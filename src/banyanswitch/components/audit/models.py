"""Audit records."""

from dataclasses import dataclass
from enum import Enum


class AuditKind(Enum):
    """What kind of change a record is about."""

    CONFIGURATION = "configuration"
    WEIGHT_ORDER = "weight_order"
    LEASE = "lease"


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """One change, with who made it.

    Parameters
    ----------
    at_unix_s : float
        When, in seconds since the Unix epoch.
    actor : str
        Operator or instance that made the change.
    subject : str
        What was changed, for example ``revision 12`` or an upstream.
    detail : str
        The change in one sentence.
    identity : str
        Distinguishes records of the same time; a record that is written again
        with the same identity replaces itself.
    """

    at_unix_s: float
    kind: AuditKind
    actor: str
    subject: str
    detail: str
    identity: str
