"""Non-repeatable calls are sent at most once; refusals state the right outcome."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import pytest

from banyanswitch.components.routing.calls import PlainCall
from banyanswitch.components.routing.const import MAX_PLAIN_ATTEMPTS
from banyanswitch.components.routing.models import (
    Attempt,
    CompleteResponse,
    UpstreamDeclinedError,
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
ANSWER = CompleteResponse(200, "application/json", b"{}", RunId("r"))
STORED = StoredAnswer(200, "application/json", b"{}")


@dataclass
class _FakeAttemptPlacer:
    """Returns an attempt at a new upstream each time."""

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
class _FakeClient:
    """Raises the scripted errors in order, then returns `ANSWER`."""

    script: list[Exception] = field(default_factory=list)
    sent: int = 0
    on_sent: Callable[[], None] = lambda: None

    async def async_call_once(self, *_arguments: object) -> CompleteResponse:
        self.sent += 1
        self.on_sent()
        if self.script:
            raise self.script.pop(0)
        return ANSWER


@dataclass
class _FakeIdempotencyStore:
    """Records the operations on the claim."""

    claim: ClaimResult | Exception = field(
        default_factory=lambda: ClaimResult(ClaimState.CLAIMED, "attempt-1")
    )
    check_error: Exception | None = None
    complete_error: Exception | None = None
    events: list[str] = field(default_factory=list)

    async def async_claim(self, *_arguments: object) -> ClaimResult:
        if isinstance(self.claim, Exception):
            raise self.claim
        return self.claim

    async def async_check_claim(self, *_arguments: object) -> None:
        if self.check_error is not None:
            raise self.check_error
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


def _calls(records: _FakeIdempotencyStore, script: Sequence[Exception] = ()) -> tuple:
    client = _FakeClient(list(script))
    calls = PlainCalls(_FakeAttemptPlacer(), client, records, lambda _upstream: None)
    return calls, client


@pytest.mark.parametrize(
    ("fault", "sends", "outcome", "events"),
    [
        (UpstreamBrokenError("cut"), 1, RunOutcome.UNKNOWN, ["sent", "abandon"]),
        (IdentityMismatchError("x"), 1, RunOutcome.UNKNOWN, ["sent", "abandon"]),
    ],
)
async def test_call_that_may_have_run_is_not_sent_again(
    fault: Exception, sends: int, outcome: RunOutcome, events: list[str]
) -> None:
    records = _FakeIdempotencyStore()
    calls, client = _calls(records, [fault])
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.outcome is outcome
    assert client.sent == sends
    assert records.events == events


@pytest.mark.parametrize(
    "fault", [UpstreamNotSentError("down"), UpstreamDeclinedError("leaving")]
)
async def test_call_that_did_not_run_is_sent_to_another_upstream(
    fault: Exception,
) -> None:
    records = _FakeIdempotencyStore()
    calls, client = _calls(records, [fault, fault])
    assert await calls.async_call(_call()) == STORED
    assert client.sent == 3
    assert records.events == ["sent", "sent", "sent", "complete"]


async def test_claim_is_released_when_no_upstream_accepts_the_call() -> None:
    records = _FakeIdempotencyStore()
    calls, _client = _calls(records, [UpstreamNotSentError("down")] * 9)
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.outcome is RunOutcome.NOT_RUN
    assert records.events == ["sent"] * MAX_PLAIN_ATTEMPTS + ["release"]


# Guards against sending a call whose claim has expired during earlier attempts.
async def test_claim_is_checked_before_each_attempt() -> None:
    records = _FakeIdempotencyStore()
    calls, client = _calls(records, [UpstreamNotSentError("down")])
    client.on_sent = lambda: setattr(
        records, "check_error", PlatformUnavailableError("expired")
    )
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.code == "claim_lapsed"
    assert raised.value.outcome is RunOutcome.NOT_RUN
    assert client.sent == 1
    assert records.events == ["sent", "release"]


@pytest.mark.parametrize(
    ("records", "code"),
    [
        (
            _FakeIdempotencyStore(claim=PlatformUnavailableError("down")),
            "claim_not_recorded",
        ),
        (
            _FakeIdempotencyStore(claim=PlatformOutcomeUnknownError("lost")),
            "claim_not_recorded",
        ),
        (
            _FakeIdempotencyStore(check_error=PlatformUnavailableError("old")),
            "claim_lapsed",
        ),
    ],
)
async def test_call_without_a_claim_is_not_sent(
    records: _FakeIdempotencyStore, code: str
) -> None:
    calls, client = _calls(records)
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.code == code
    assert raised.value.outcome is RunOutcome.NOT_RUN
    assert raised.value.retry_after_s is not None
    assert client.sent == 0


async def test_response_is_returned_when_recording_it_fails() -> None:
    records = _FakeIdempotencyStore(complete_error=PlatformUnavailableError("down"))
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
async def test_call_with_a_used_key_is_not_sent_again(
    state: ClaimState, outcome: RunOutcome
) -> None:
    calls, client = _calls(_FakeIdempotencyStore(claim=ClaimResult(state, "attempt-0")))
    with pytest.raises(RefusalError) as raised:
        await calls.async_call(_call())
    assert raised.value.outcome is outcome
    assert client.sent == 0


async def test_stored_response_is_returned_again() -> None:
    claim = ClaimResult(ClaimState.ANSWERED, "attempt-0", STORED)
    calls, client = _calls(_FakeIdempotencyStore(claim=claim))
    assert await calls.async_call(_call()) == STORED
    assert client.sent == 0


async def test_call_without_key_is_sent_once() -> None:
    calls, client = _calls(_FakeIdempotencyStore(), [UpstreamBrokenError("cut")])
    with pytest.raises(RefusalError):
        await calls.async_call(_call(key=None))
    assert client.sent == 1


async def test_repeatable_call_is_tried_again() -> None:
    calls, client = _calls(_FakeIdempotencyStore(), [UpstreamBrokenError("cut")])
    assert await calls.async_call(_call(key=None, method="GET")) == STORED
    assert client.sent == 2
