"""Record of every request of a fault run and of how it ended."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

MAX_EXAMPLES = 20


class RequestOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOST = "lost"
    WRONG = "wrong"


@dataclass(frozen=True, slots=True)
class PlainRecord:
    """A call of a plain service.

    Parameters
    ----------
    may_have_run : bool
        Whether any try ended without a truthful "not run".
    """

    digest: str
    outcome: RequestOutcome
    may_have_run: bool


@dataclass(slots=True)
class Ledger:
    """Counts and the records that are checked at the end."""

    offered: int = 0
    endings: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    resumed_streams: int = 0
    plain: list[PlainRecord] = field(default_factory=list)
    examples: list[str] = field(default_factory=list)

    @property
    def completed(self) -> int:
        """Requests that have ended."""
        return sum(self.endings.values())

    def record_outcome(
        self, kind: str, outcome: RequestOutcome, note: str = ""
    ) -> None:
        """Note the end of one request."""
        self.endings[f"{kind} {outcome.value}"] += 1
        if outcome in {RequestOutcome.LOST, RequestOutcome.WRONG}:
            self.note_example(f"{kind} {outcome.value}: {note}")

    def note_example(self, text: str) -> None:
        """Keep a few descriptions of violations."""
        if len(self.examples) < MAX_EXAMPLES:
            self.examples.append(text)

    def total(self, outcome: RequestOutcome) -> int:
        """Return the number of requests that ended so."""
        return sum(
            count
            for name, count in self.endings.items()
            if name.endswith(f" {outcome.value}")
        )


@dataclass(frozen=True, slots=True)
class Violations:
    """Requests that broke a condition; all must be 0.

    Parameters
    ----------
    unaccounted : int
        Requests without an end.
    lost : int
        Answers that never came, or came for a call that did not run.
    doubled : int
        Calls that ran more than once.
    wrong : int
        Answers with missing, doubled, foreign or reordered content.
    untrue_refusals : int
        Calls refused as "not run" that had run.
    foreign_cache_uses : int
        Uses of cache of another weight version or workspace, seen by the engines.
    """

    unaccounted: int
    lost: int
    doubled: int
    wrong: int
    untrue_refusals: int
    foreign_cache_uses: int

    @property
    def count(self) -> int:
        """Number of all violations."""
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
    """Compare the ledger with what the plain services executed."""
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
    """Return how many calls of unknown outcome had run and had not."""
    counts = Counter(
        "ran" if executions.get(record.digest, 0) else "not_run"
        for record in ledger.plain
        if record.outcome is RequestOutcome.UNKNOWN
    )
    return dict(sorted(counts.items()))
