from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.config.models import Limits, Priority
from banyanswitch.decisions.admission import (
    AdmissionController,
    AdmissionPolicy,
    AdmissionRefusal,
    AdmissionRequest,
    Admitted,
    NotAdmitted,
    Queued,
)
from banyanswitch.identifiers import RunId, WorkspaceId

HIGH_LIMITS = Limits(requests_per_s=1e6, concurrent_requests=10_000)


def make_request(run: str, **changes: object) -> AdmissionRequest:
    values: dict[str, object] = {
        "workspace": WorkspaceId("w"),
        "limits": HIGH_LIMITS,
        "serving_entries": 1,
        "priority": Priority.INTERACTIVE,
        "latest_start_s": 1e9,
    }
    return AdmissionRequest(run=RunId(run), **(values | changes))  # type: ignore[arg-type]


def test_limits_are_divided_among_the_entries_that_serve_a_workspace() -> None:
    cases = (
        (
            Limits(requests_per_s=6, concurrent_requests=1000),
            AdmissionRefusal.RATE_LIMITED,
        ),
        (
            Limits(requests_per_s=1e6, concurrent_requests=12),
            AdmissionRefusal.TOO_MANY_CONCURRENT,
        ),
    )
    for limits, reason in cases:
        admission = AdmissionController(AdmissionPolicy(capacity=1000))
        answers = [
            admission.admit(make_request(str(n), limits=limits, serving_entries=3), 0.0)
            for n in range(20)
        ]
        refused = [answer for answer in answers if isinstance(answer, NotAdmitted)]
        assert len(answers) - len(refused) == 4
        assert {answer.reason for answer in refused} == {reason}
        assert all(answer.retry_after_s > 0 for answer in refused)


def test_batch_leaves_room_for_interactive_and_is_not_starved() -> None:
    policy = AdmissionPolicy(capacity=8, batch_share=0.5, batch_every=4)
    admission = AdmissionController(policy)
    for number in range(8):
        admission.admit(make_request(f"b{number}", priority=Priority.BATCH), 0.0)
    assert admission.running_count == 4
    assert isinstance(admission.admit(make_request("i0"), 0.0), Admitted)
    for number in range(1, 60):
        admission.admit(make_request(f"i{number}"), 0.0)
    started = []
    running = [f"b{number}" for number in range(4)] + ["i0", "i1", "i2", "i3"]
    for step in range(16):
        admission.on_finished(RunId(running.pop(0)), float(step))
        new = [result.run for result in admission.advance(float(step))]
        started += new
        running += new
    assert sum(name.startswith("b") for name in started) == 4


def test_request_expected_to_start_too_late_is_refused_immediately() -> None:
    admission = AdmissionController(AdmissionPolicy(capacity=1))
    admission.admit(make_request("r0"), 0.0)
    admission.admit(make_request("r1"), 0.0)
    for step in range(1, 40):
        admission.on_finished(RunId(f"r{step - 1}"), float(step))
        admission.advance(float(step))
        admission.admit(make_request(f"r{step + 1}"), float(step))
    answer = admission.admit(make_request("late", latest_start_s=39.2), 39.0)
    assert (
        isinstance(answer, NotAdmitted) and answer.reason is AdmissionRefusal.OVERLOADED
    )
    assert answer.retry_after_s >= 1.0


def test_queued_request_past_its_latest_start_is_refused_once() -> None:
    admission = AdmissionController(AdmissionPolicy(capacity=1))
    admission.admit(make_request("r0"), 0.0)
    assert isinstance(
        admission.admit(make_request("r1", latest_start_s=2.0), 0.0), Queued
    )
    assert admission.advance(1.9) == ()
    (result,) = admission.advance(2.1)
    assert isinstance(result, NotAdmitted) and result.run == "r1"
    assert admission.advance(3.0) == ()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["admit", "finish", "advance", "busy"]),
        st.integers(0, 9),
        st.sampled_from(Priority),
        st.floats(0, 2),
    ),
    max_size=60,
)


@settings(derandomize=True, max_examples=200)
@given(STEPS, st.integers(1, 5))
def test_every_request_gets_exactly_one_final_answer(
    steps: list[tuple[str, int, Priority, float]], capacity: int
) -> None:
    policy = AdmissionPolicy(capacity=capacity, max_queued=3)
    admission = AdmissionController(policy)
    running: list[str] = []
    queued: set[str] = set()
    now_s = 0.0
    for number, (action, choice, priority, elapsed_s) in enumerate(steps):
        now_s += elapsed_s
        if action == "admit":
            request = make_request(
                f"r{number}", priority=priority, latest_start_s=now_s + choice / 3
            )
            answer = admission.admit(request, now_s)
            if isinstance(answer, Admitted):
                running.append(request.run)
            if isinstance(answer, Queued):
                queued.add(request.run)
        elif action == "finish" and running:
            run = running.pop(choice % len(running))
            admission.on_finished(RunId(run), now_s)
        elif action == "busy" and running:
            run = running.pop(choice % len(running))
            if isinstance(admission.on_busy(RunId(run), now_s), Queued):
                queued.add(run)
        for result in admission.advance(now_s):
            assert result.run in queued
            queued.remove(result.run)
            if isinstance(result, Admitted):
                running.append(result.run)
        assert admission.running_count == len(running) <= capacity
    for result in admission.advance(now_s + 10.0):
        queued.remove(result.run)
        if isinstance(result, Admitted):
            running.append(result.run)
    assert not queued


def test_requeued_requests_keep_their_queue_position_and_start_one_at_a_time() -> None:
    policy = AdmissionPolicy(capacity=8, busy_pause_s=0.05, batch_spacing_s=1.0)
    admission = AdmissionController(policy)
    for number in range(4):
        admission.admit(make_request(f"b{number}", priority=Priority.BATCH), 0.0)
    for number in (2, 0, 1):
        admission.on_busy(RunId(f"b{number}"), 0.0)
    late = admission.admit(make_request("b9", priority=Priority.BATCH), 0.01)
    assert isinstance(late, Queued)
    assert admission.advance(0.04) == ()
    (first,) = admission.advance(0.06)
    assert first.run == "b2"
    assert admission.advance(0.5) == ()
    admission.on_busy(first.run, 0.5)
    starts = [admission.advance(0.6 + 1.1 * step)[0].run for step in range(4)]
    assert starts == ["b2", "b0", "b1", "b9"]
