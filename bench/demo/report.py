"""Results of the demo steps and their rows in the printed table."""

from dataclasses import dataclass

NAME_WIDTH = 32


@dataclass(frozen=True, slots=True)
class StepResult:
    """Result of one step of the demo.

    Parameters
    ----------
    has_passed : bool
        Whether the step passed.
    details : str
        Measurements of the step, or its error.
    """

    name: str
    has_passed: bool
    details: str


class ClaimFailedError(Exception):
    """A requirement of a demo step is not met."""


def require(is_true: bool, reason: str) -> None:
    """Fail the step if a requirement is not met.

    Raises
    ------
    ClaimFailedError
        If ``is_true`` is false.
    """
    if not is_true:
        raise ClaimFailedError(reason)


def format_line(result: StepResult) -> str:
    """Return the table row of a step."""
    verdict = "ok" if result.has_passed else "FAILED"
    return f"{result.name:<{NAME_WIDTH}} {verdict:<7} {result.details}"
