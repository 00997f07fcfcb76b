"""The checks of the demo and of the fault run detect injected violations."""

import pytest
from bench.callers import StreamedResponse, WrongResponseError
from bench.faults.ledger import Ledger, PlainRecord, RequestOutcome, find_violations

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
    StreamedResponse(BODY, "v1", tokens=TOKENS, is_done=True).check(4)
    with pytest.raises(WrongResponseError):
        StreamedResponse(BODY, "v1", tokens=tokens, is_done=True).check(4)


def test_response_without_its_last_event_is_detected() -> None:
    with pytest.raises(WrongResponseError):
        StreamedResponse(BODY, "v1", tokens=TOKENS).check(4)


@pytest.mark.parametrize(
    ("outcome", "may_have_run", "executions", "violation"),
    [
        (RequestOutcome.ANSWERED, False, 1, None),
        (RequestOutcome.ANSWERED, False, 2, "doubled"),
        (RequestOutcome.ANSWERED, False, 0, "lost"),
        (RequestOutcome.UNKNOWN, True, 0, None),
        (RequestOutcome.UNKNOWN, True, 1, None),
        (RequestOutcome.UNKNOWN, True, 2, "doubled"),
        (RequestOutcome.REFUSED, False, 0, None),
        (RequestOutcome.REFUSED, False, 1, "untrue_refusals"),
        (RequestOutcome.WRONG, False, 1, "wrong"),
        (RequestOutcome.LOST, True, 0, "lost"),
    ],
)
def test_violations_of_requests_are_detected(
    outcome: RequestOutcome, may_have_run: bool, executions: int, violation: str | None
) -> None:
    ledger = Ledger(offered=1, plain=[PlainRecord(DIGEST, outcome, may_have_run)])
    ledger.record_outcome("plain", outcome)
    found = find_violations(ledger, {DIGEST: executions}, 0)
    assert found.count == (0 if violation is None else 1)
    if violation is not None:
        assert getattr(found, violation) == 1


def test_request_without_an_outcome_is_detected() -> None:
    assert find_violations(Ledger(offered=1), {}, 0).unaccounted == 1
