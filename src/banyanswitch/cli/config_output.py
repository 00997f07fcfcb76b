"""Output and exit statuses of ``banyanswitch-config``."""

import sys
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any, Final, NoReturn

import msgspec

from banyanswitch.components.configuration.errors import RevisionConflictError
from banyanswitch.components.configuration.models import Delta
from banyanswitch.config.records import RecordChange
from banyanswitch.exceptions import ConfigurationError

EXIT_FINDINGS: Final = 1
EXIT_CONFLICT: Final = 3
EXIT_UNKNOWN: Final = 4
EXIT_UNAVAILABLE: Final = 5
EXIT_DIFFERENT: Final = 6


@dataclass(frozen=True, slots=True)
class ChangeLine:
    """One changed record, as printed."""

    change: str
    key: str


@dataclass(frozen=True, slots=True)
class DifferenceReport:
    """Changes that applying a document would make."""

    revision: int
    changes: tuple[ChangeLine, ...]


@dataclass(frozen=True, slots=True)
class AcceptanceReport:
    """Result of applying a document."""

    revision: int
    changed_records: int
    attempt: str


@dataclass(frozen=True, slots=True)
class RevisionReport:
    """Active configuration, with its revision."""

    revision: int
    digest: str
    configuration: Any


@dataclass(frozen=True, slots=True)
class HistoryLine:
    """One accepted revision, as printed."""

    revision: int
    accepted_at: str
    operator: str
    attempt: str
    changed_records: int


def print_json(content: object) -> None:
    """Print an object as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(content), indent=2).decode())


def report_findings(error: ConfigurationError, *, is_json: bool) -> NoReturn:
    """Print all findings and exit with `EXIT_FINDINGS`."""
    if is_json:
        print_json(error.findings)
    else:
        for finding in error.findings:
            print(finding, file=sys.stderr)
    raise SystemExit(EXIT_FINDINGS)


def change_lines(
    changes: tuple[RecordChange, ...], before: dict[str, bytes]
) -> tuple[ChangeLine, ...]:
    """Return the printed form of changes.

    Parameters
    ----------
    before : dict of str to bytes
        Records before the changes, which tell a changed record from an added one.
    """
    return tuple(_change_line(change, before) for change in changes)


def history_line(delta: Delta) -> HistoryLine:
    """Return the printed form of an accepted revision."""
    return HistoryLine(
        delta.revision,
        iso_time(delta.accepted_at_unix_s),
        delta.operator,
        delta.attempt,
        delta.change_count,
    )


def conflict_text(error: RevisionConflictError) -> str:
    """Return the message for an operator whose change was not accepted."""
    at = iso_time(error.accepted_at_unix_s)
    return (
        f"not accepted: {error.operator} made revision {error.revision} first, at {at}"
    )


def iso_time(unix_s: float) -> str:
    """Return a time in ISO 8601 format, in UTC with a resolution of one second."""
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")


def _change_line(change: RecordChange, before: dict[str, bytes]) -> ChangeLine:
    if change.value is None:
        return ChangeLine("remove", change.key)
    return ChangeLine("change" if change.key in before else "add", change.key)
