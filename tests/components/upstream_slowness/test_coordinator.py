"""Slowness of upstreams at instances without a network."""

import pytest

from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.decisions.slowness import HALF_LIFE_S, LIFETIME_S, SlownessReport
from banyanswitch.identifiers import UpstreamId

U = UpstreamId("u")


# Guards against an upstream that stays avoided because it was slow once.
def test_deviation_halves_with_age_and_ends() -> None:
    known = UpstreamSlowness()
    assert known.slowness(U, 0.0) == 1.0
    known.note_response(U, 5.0, 0.0)
    assert known.slowness(U, 0.0) == 5.0
    assert known.slowness(U, HALF_LIFE_S) == pytest.approx(3.0)
    assert known.slowness(U, LIFETIME_S) == 1.0
    assert known.age_s(U, LIFETIME_S) is None


@pytest.mark.parametrize(("reported", "kept"), [(0.01, 0.25), (900.0, 20.0)])
def test_slowness_is_bounded(reported: float, kept: float) -> None:
    known = UpstreamSlowness()
    known.note_response(U, reported, 0.0)
    assert known.slowness(U, 0.0) == kept
    other = UpstreamSlowness()
    other.note_reports({U: SlownessReport(int(reported * 100), 0)}, 0.0)
    assert other.slowness(U, 0.0) == kept


# Guards against an older figure that arrives late and replaces a newer one.
def test_newest_observation_of_any_instance_counts() -> None:
    known = UpstreamSlowness()
    known.note_response(U, 4.0, 10.0)
    known.note_reports({U: SlownessReport(100, 200)}, 10.1)
    assert known.slowness(U, 10.0) == 4.0
    known.note_reports({U: SlownessReport(200, 50)}, 10.1)
    assert known.slowness(U, 10.05) == pytest.approx(2.0)


def test_negative_and_expired_ages_in_reports_do_no_harm() -> None:
    known = UpstreamSlowness()
    known.note_reports({U: SlownessReport(400, 10**9)}, 1.0)
    assert known.slowness(U, 1.0) == 1.0
    known.note_reports({U: SlownessReport(400, -(10**9))}, 1.0)
    assert known.slowness(U, 1.0) == 4.0
    assert known.slowness(U, 1.0 + LIFETIME_S) == 1.0


# Guards against a figure that is taken for that of the upstream it replaced.
def test_report_of_another_upstream_at_the_address_is_ignored() -> None:
    known = UpstreamSlowness()
    known.note_response(U, 4.0, 0.0, answered_by="v")
    assert known.slowness(U, 0.0) == 1.0
    known.note_response(U, 4.0, 0.0, answered_by=U)
    assert known.slowness(U, 0.0) == 4.0


# Guards against reports whose size grows although nothing is slow.
def test_each_observation_is_passed_on_once_and_usual_ones_are_not() -> None:
    known = UpstreamSlowness()
    known.note_response(U, 1.0, 0.0)
    assert known.take_unreported(0.0) == {}
    known.note_response(U, 4.0, 0.1)
    assert known.take_unreported(0.2, ["v"]) == {}
    assert known.take_unreported(0.2, [U]) == {U: SlownessReport(400, 100)}
    assert known.take_unreported(0.2) == {}


# Guards against others that go on avoiding an upstream which has recovered.
def test_return_to_the_usual_speed_is_passed_on() -> None:
    known = UpstreamSlowness()
    known.note_reports({U: SlownessReport(400, 0)}, 0.0)
    known.note_response(U, 1.0, 0.1)
    assert known.take_unreported(0.1) == {U: SlownessReport(100, 0)}


def test_expired_observations_are_forgotten() -> None:
    known = UpstreamSlowness()
    for number in range(1_000):
        known.note_response(UpstreamId(f"u{number}"), 4.0, 0.0)
    known.forget_expired(LIFETIME_S)
    assert not known._newest
    assert not known._unreported
