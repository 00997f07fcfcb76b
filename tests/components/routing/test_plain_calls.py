"""Calls that must not be repeated are sent at most once, and refusals are true."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import pytest

from banyanswitch.components.routing.calls import PlainCall
from banyanswitch.components.routing.models import (
    Attempt,
    UpstreamDeclinedError,
    WholeAnswer,
)
from banyanswitch.components.routing.plain_calls import PlainCalls
from banyanswitch.config.models import Priority, Service, ServiceKind, Workspace
from banyanswitch.decisions.placement import Place, PlacementRequest
from banyanswitch.exceptions import (
    IdentityMismatchError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    RefusalError,
    RunOutcome,
    UpstreamBrokenError,
    UpstreamNotSentError,
)
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import (
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)
from banyanswitch.interfaces import ClaimResult, ClaimState, StoredAnswer

WORKSPACE = Workspace(name=WorkspaceId("w1"), key_digests=())
SERVICE = Service(name=ServiceName("counter"), kind=ServiceKind.PLAIN)
ANSWER = WholeAnswer(200, "application/json", b"{}", RunId("r"))
STORED = StoredAnswer(200, "application/json", b"{}")


@dataclass
class _Placements:
    """Gives one upstream after another."""

    placed: list[UpstreamId] = field(default_factory=list)

    def plain_request(self, *_arguments: object) -> PlacementRequest:
        return PlacementRequest(
            run=RunId(""),
            workspace=WORKSPACE.name,
            service=SERVICE.name,
            weight_version=None,
        )

    async def async_attempt(
        self, request: PlacementRequest, *_arguments: object
    ) -> Attempt:
        upstream = UpstreamId(f"c{len(self.placed)}")
        self.placed.append(upstream)
        identity = RunIdentity(
            upstream, SERVICE.name, WORKSPACE.name, WeightVersion(""), 1
        )
        place = Place(
            run=RunId("r"),
            upstream=upstream,
            expected_first_token_s=0.0,
            expected_cached_pieces=0,
            prefill_tokens=0,
        )
        return Attempt(RunId("r"), identity, place, request, "http://upstream")

    def note_finished(self, *_arguments: object) -> None:
        return None


@dataclass
class _Client:
    """Answers as scripted, then with the answer."""

    script: list[Exception] = field(default_factory=list)
    sent: int = 0

    async def async_call_once(self, *_arguments: object) -> WholeAnswer:
        self.sent += 1
        if self.script:
            raise self.script.pop(0)
        return ANSWER


@dataclass
class _Records:
    """Notes what happens to the claim."""

    claim: ClaimResult | Exception = field(
        default_factory=lambda: ClaimResult(ClaimState.CLAIMED, "attempt-1")
    )
    mark_error: Exception | None = None
    complete_error: Exception | None = None
    events: list[str] = field(default_factory=list)

    async def async_claim(self, *_arguments: object) -> ClaimResult:
        if isinstance(self.claim, Exception):
            raise self.claim
        return self.claim

    async def async_mark_sent(self, *_arguments: object) -> None:
        if self.mark_error is not None:
            raise self.mark_error
        self.events.append("sent")

    async def async_complete(self, *_arguments: object) -> None:
        self.events.append("complete")
        if self.complete_error is not None:
            raise self.complete_error

    async def async_release(self, *_arguments: object) -> None:
        self.events.append("release")

    async def async_abandon(self, *_arguments: object) -> None:
        self.events.append("abandon")


def _call(key: str | None = "k1", method: str = "POST") -> PlainCall:
    return PlainCall(
        workspace=WORKSPACE,
        service=SERVICE,
        method=method,
        path="/payout",
        content_type="application/json",
        body=b"{}",
        idempotency_key=key,
        priority=Priority.INTERACTIVE,
        latest_start_s=1e9,
    )


def _calls(records: _Records, script: Sequence[Exception] = ()) -> tuple:
    client = _Client(list(script))
    calls = PlainCalls(_Placements(), client, records, lambda _upstream: None)
    return calls, client


@pytest.mark.parametrize(
    ("fault", "sends", "outcome", "events"),
    [
        (UpstreamBrokenError("cut"), 1, RunOutcome.UNKNOWN, ["sent", "abandon"]),
        (IdentityMismatchError("x"), 1, RunOutcome.UNKNOWN, ["sent", "abandon"]),
    ],
)
async def test_what_may_have_run_is_not_sent_again(
    fault: Exception, sends: int, outcome: RunOutcome, events: list[str]
) -> None:
    records = _Records()
    calls, client = _calls(records, [fault])
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.outcome is outcome
    assert client.sent == sends
    assert records.events == events


@pytest.mark.parametrize(
    "fault", [UpstreamNotSentError("down"), UpstreamDeclinedError("leaving")]
)
async def test_what_did_not_run_goes_to_another_upstream(fault: Exception) -> None:
    records = _Records()
    calls, client = _calls(records, [fault, fault])
    assert await calls.async_call(_call()) == STORED
    assert client.sent == 3
    assert records.events == ["sent", "complete"]


async def test_claim_is_released_when_no_upstream_took_the_call() -> None:
    records = _Records()
    calls, _client = _calls(records, [UpstreamNotSentError("down")] * 9)
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.outcome is RunOutcome.NOT_RUN
    assert records.events == ["sent", "release"]


@pytest.mark.parametrize(
    ("records", "code"),
    [
        (_Records(claim=PlatformUnavailableError("down")), "claim_not_recorded"),
        (_Records(claim=PlatformOutcomeUnknownError("lost")), "claim_not_recorded"),
        (_Records(mark_error=PlatformUnavailableError("old")), "claim_lapsed"),
    ],
)
async def test_without_a_claim_nothing_is_sent(records: _Records, code: str) -> None:
    calls, client = _calls(records)
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.code == code
    assert raised.value.outcome is RunOutcome.NOT_RUN
    assert raised.value.retry_after_s is not None
    assert client.sent == 0


async def test_answer_reaches_the_caller_when_its_record_fails() -> None:
    records = _Records(complete_error=PlatformUnavailableError("down"))
    calls, _client = _calls(records)
    assert await calls.async_call(_call()) == STORED
    assert records.events == ["sent", "complete"]


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        (ClaimState.PENDING, RunOutcome.UNKNOWN),
        (ClaimState.OUTCOME_UNKNOWN, RunOutcome.UNKNOWN),
        (ClaimState.EXPIRED, RunOutcome.UNKNOWN),
        (ClaimState.DIGEST_MISMATCH, RunOutcome.NOT_RUN),
    ],
)
async def test_known_keys_are_not_sent_again(
    state: ClaimState, outcome: RunOutcome
) -> None:
    calls, client = _calls(_Records(claim=ClaimResult(state, "attempt-0")))
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.outcome is outcome
    assert client.sent == 0


async def test_stored_answer_is_given_again() -> None:
    claim = ClaimResult(ClaimState.ANSWERED, "attempt-0", STORED)
    calls, client = _calls(_Records(claim=claim))
    assert await calls.async_call(_call()) == STORED
    assert client.sent == 0


async def test_call_without_key_is_sent_once() -> None:
    calls, client = _calls(_Records(), [UpstreamBrokenError("cut")])
    with pytest.raises(RefusalError):
        await calls.async_call(_call(key=None))
    assert client.sent == 1


async def test_repeatable_call_is_tried_again() -> None:
    calls, client = _calls(_Records(), [UpstreamBrokenError("cut")])
    assert await calls.async_call(_call(key=None, method="GET")) == STORED
    assert client.sent == 2
