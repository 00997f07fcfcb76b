"""Records of the requests of a fault run and their outcomes."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

MAX_EXAMPLES = 20


class RequestOutcome(Enum):
    """Outcome of a request as its caller saw it, after its last attempt.

    Attributes
    ----------
    UNKNOWN
        The request may have run, but its caller has no complete response.
    LOST
        The last attempt broke off, so its caller has no complete response.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class PlainRecord:
    """Outcome of one call of a plain service.

    Parameters
    ----------
    digest : str
        SHA-256 of the body of the call, in hexadecimal.
    may_have_run : bool
        Whether an attempt failed without a response that the call was not run.
    """

    digest: str
    outcome: RequestOutcome
    may_have_run: bool


@dataclass(slots=True)
class Ledger:
    """Counters and the records that are checked after the run.

    Parameters
    ----------
    offered : int
        Requests that callers have started.
    outcome_counts : Counter of str
        Completed requests by kind and outcome.
    refusals : Counter of str
        Refused attempts by code.
    resumed_streams : int
        Attempts to resume a stream.
    plain : list of PlainRecord
        Completed calls of plain services.
    examples : list of str
        Descriptions of the first violations, at most `MAX_EXAMPLES`.
    """

    offered: int = 0
    outcome_counts: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    resumed_streams: int = 0
    plain: list[PlainRecord] = field(default_factory=list)
    examples: list[str] = field(default_factory=list)

    @property
    def completed(self) -> int:
        """Number of completed requests."""
        return sum(self.outcome_counts.values())

    def record_outcome(
        self, kind: str, outcome: RequestOutcome, note: str = ""
    ) -> None:
        """Record the outcome of one request."""
        self.outcome_counts[f"{kind} {outcome.value}"] += 1
        if outcome in {RequestOutcome.LOST, RequestOutcome.WRONG}:
            self.note_example(f"{kind} {outcome.value}: {note}")

    def note_example(self, text: str) -> None:
        """Store the description of a violation, up to `MAX_EXAMPLES`."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(text)

    def total(self, outcome: RequestOutcome) -> int:
        """Return the number of requests with an outcome."""
        return sum(
            count
            for name, count in self.outcome_counts.items()
            if name.endswith(f" {outcome.value}")
        )


@dataclass(frozen=True, slots=True)
class Violations:
    """Numbers of requests that violated a condition; all must be 0.

    Parameters
    ----------
    unaccounted : int
        Requests without a recorded outcome.
    lost : int
        Requests without a complete response, and plain calls that were answered but
        did not run.
    doubled : int
        Plain calls that ran more than once.
    wrong : int
        Streams with missing, duplicated, foreign or reordered content, and responses
        of plain calls with another body digest or an execution number other than 1.
    untrue_refusals : int
        Plain calls refused as "not run" that had run.
    foreign_cache_uses : int
        Uses of cached pieces of another weight version or workspace, as counted by
        the engines.
    """

    unaccounted: int
    lost: int
    doubled: int
    wrong: int
    untrue_refusals: int
    foreign_cache_uses: int

    @property
    def count(self) -> int:
        """Total number of violations."""
        return (
            self.unaccounted
            + self.lost
            + self.doubled
            + self.wrong
            + self.untrue_refusals
            + self.foreign_cache_uses
        )


def find_violations(
    ledger: Ledger, executions: dict[str, int], foreign_cache_uses: int
) -> Violations:
    """Compare the records with the executions that the plain services counted.

    Parameters
    ----------
    executions : dict of str to int
        Executions by digest of the body.
    foreign_cache_uses : int
        Value of `Violations.foreign_cache_uses`.
    """
    lost = ledger.total(RequestOutcome.LOST)
    doubled = 0
    untrue_refusals = 0
    for record in ledger.plain:
        count = executions.get(record.digest, 0)
        if count > 1:
            doubled += 1
            ledger.note_example(f"plain call {record.digest} ran {count} times")
        if record.outcome is RequestOutcome.ANSWERED and count == 0:
            lost += 1
            ledger.note_example(f"plain call {record.digest} answered but not run")
        if (
            record.outcome is RequestOutcome.REFUSED
            and not record.may_have_run
            and count
        ):
            untrue_refusals += 1
            ledger.note_example(f"plain call {record.digest} refused but run")
    return Violations(
        unaccounted=ledger.offered - ledger.completed,
        lost=lost,
        doubled=doubled,
        wrong=ledger.total(RequestOutcome.WRONG),
        untrue_refusals=untrue_refusals,
        foreign_cache_uses=foreign_cache_uses,
    )


def count_unknown_by_execution(
    ledger: Ledger, executions: dict[str, int]
) -> dict[str, int]:
    """Count the calls of unknown outcome that did and did not run."""
    counts = Counter(
        "ran" if executions.get(record.digest, 0) else "not_run"
        for record in ledger.plain
        if record.outcome is RequestOutcome.UNKNOWN
    )
    return dict(sorted(counts.items()))
