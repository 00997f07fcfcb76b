"""The checks of the demo and of the fault run detect injected violations."""

import pytest
from bench.callers import StreamedAnswer, WrongAnswerError
from bench.faults.ledger import Ending, Ledger, PlainRecord, find_violations

from banyanswitch_standins.engine.models import expected_token

BODY = b"body"
DIGEST = "230d8358dc8e8890b4c58deeb62912ee2f20357ae92a5cc861b98e68fe31acb5"
TOKENS = [expected_token("v1", DIGEST, offset) for offset in range(4)]
FOREIGN = expected_token("v1", "0" * 64, 1)
OTHER_VERSION = expected_token("v2", DIGEST, 1)


@pytest.mark.parametrize(
    "tokens",
    [
        TOKENS[:3],
        [*TOKENS, TOKENS[3]],
        [TOKENS[0], TOKENS[0], *TOKENS[2:]],
        [TOKENS[1], TOKENS[0], *TOKENS[2:]],
        [TOKENS[0], FOREIGN, *TOKENS[2:]],
        [TOKENS[0], OTHER_VERSION, *TOKENS[2:]],
    ],
)
def test_wrong_responses_are_detected(tokens: list[str]) -> None:
    StreamedAnswer(BODY, "v1", tokens=TOKENS, is_done=True).check(4)
    with pytest.raises(WrongAnswerError):
        StreamedAnswer(BODY, "v1", tokens=tokens, is_done=True).check(4)


def test_response_without_its_last_event_is_detected() -> None:
    with pytest.raises(WrongAnswerError):
        StreamedAnswer(BODY, "v1", tokens=TOKENS).check(4)


@pytest.mark.parametrize(
    ("ending", "was_maybe_sent", "executions", "violation"),
    [
        (Ending.ANSWERED, False, 1, None),
        (Ending.ANSWERED, False, 2, "doubled"),
        (Ending.ANSWERED, False, 0, "lost"),
        (Ending.UNKNOWN, True, 0, None),
        (Ending.UNKNOWN, True, 1, None),
        (Ending.UNKNOWN, True, 2, "doubled"),
        (Ending.REFUSED, False, 0, None),
        (Ending.REFUSED, False, 1, "untrue_refusals"),
        (Ending.WRONG, False, 1, "wrong"),
        (Ending.LOST, True, 0, "lost"),
    ],
)
def test_violations_of_requests_are_detected(
    ending: Ending, was_maybe_sent: bool, executions: int, violation: str | None
) -> None:
    ledger = Ledger(offered=1, plain=[PlainRecord(DIGEST, ending, was_maybe_sent)])
    ledger.end("plain", ending)
    found = find_violations(ledger, {DIGEST: executions}, 0)
    assert found.count == (0 if violation is None else 1)
    if violation is not None:
        assert getattr(found, violation) == 1


def test_request_without_an_outcome_is_detected() -> None:
    assert find_violations(Ledger(offered=1), {}, 0).unaccounted == 1
