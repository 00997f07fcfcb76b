"""Tests of upstreams that join, leave, expire, restart and load weights."""

import asyncio

import pytest

from banyanswitch.components.forwarding.const import (
    MAX_CONTACT_AGE_S,
    MISSING_ENTRY_GRACE_S,
    SILENCE_TIMEOUT_S,
)
from banyanswitch.components.forwarding.loads import InFlight
from banyanswitch.decisions.load_shares import Load
from banyanswitch.identifiers import UpstreamId
from tests.components.forwarding.fakes import MODEL, SERVICE, Upstreams, record

pytestmark = pytest.mark.looptime


def now_s() -> float:
    return asyncio.get_running_loop().time()


async def test_a_leaving_upstream_gets_no_new_requests() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.put(record("b"))
    upstreams.put(record("a", is_leaving=True))
    assert upstreams.accepting(now_s()) == ["b"]


async def test_without_an_outage_a_removed_entry_is_dropped_at_once() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.remove("a")
    assert upstreams.accepting(now_s()) == []


async def test_an_entry_that_expired_in_an_outage_is_kept_for_a_time() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.put(record("b"))
    upstreams.mirror.last_failure_s = now_s()
    upstreams.remove("a")
    upstreams.remove("b")
    assert upstreams.accepting(now_s()) == ["a", "b"]
    upstreams.put(record("a"))
    await asyncio.sleep(MISSING_ENTRY_GRACE_S + 0.01)
    assert upstreams.accepting(now_s()) == ["a"]
    upstreams.registry.remove_expired(now_s())
    assert upstreams.registry.state(UpstreamId("b")) is None


# Guards against requests to an upstream that has left after the store's return.
@pytest.mark.parametrize("removed_after_s", [0.5, 1.4, 2.3])
async def test_entry_is_kept_no_longer_than_the_time_after_the_stores_return(
    removed_after_s: float,
) -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.mirror.last_failure_s = now_s()
    await asyncio.sleep(0.2)
    upstreams.mirror.regained_at_s = regained_at_s = now_s()
    await asyncio.sleep(removed_after_s)
    upstreams.remove("a")
    is_restorable = removed_after_s < MISSING_ENTRY_GRACE_S
    assert upstreams.accepting(now_s()) == (["a"] if is_restorable else [])
    await asyncio.sleep(regained_at_s + MISSING_ENTRY_GRACE_S + 0.01 - now_s())
    assert upstreams.accepting(now_s()) == []


async def test_a_leaving_entry_that_is_removed_in_an_outage_is_dropped() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", is_leaving=True))
    upstreams.mirror.last_failure_s = now_s()
    upstreams.remove("a")
    assert upstreams.registry.state(UpstreamId("a")) is None


async def test_an_unusable_entry_adds_no_upstream() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.put(b"?", "a")
    upstreams.put(b"?", "b")
    assert upstreams.accepting(now_s()) == []


async def test_an_entry_of_an_earlier_start_is_ignored() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", started_at_ms=9, version=3))
    upstreams.put(record("a", started_at_ms=5, is_leaving=True))
    assert upstreams.accepting(now_s()) == ["a"]


async def test_a_restart_under_the_same_id_resets_the_weight_versions() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", version=1))
    upstreams.registry.note_weights(UpstreamId("a"), MODEL, 4)
    upstreams.put(record("a", started_at_ms=2, version=2))
    state = upstreams.registry.state(UpstreamId("a"))
    assert state is not None
    assert state.weight_versions[MODEL] == 2


async def test_late_entry_does_not_lower_the_weight_version() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", version=1))
    upstreams.registry.note_weights(UpstreamId("a"), MODEL, 4)
    upstreams.put(record("a", version=3))
    state = upstreams.registry.state(UpstreamId("a"))
    assert state is not None
    assert state.weight_versions[MODEL] == 4


async def test_a_loading_upstream_gets_no_requests_until_it_is_done() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.registry.note_loading(UpstreamId("a"), 2, now_s())
    assert upstreams.accepting(now_s()) == []
    upstreams.registry.note_weights(UpstreamId("a"), MODEL, 2)
    assert upstreams.accepting(now_s()) == ["a"]
    upstreams.registry.note_loading(UpstreamId("a"), 2, now_s())
    assert upstreams.accepting(now_s()) == ["a"]


async def test_a_loading_notice_expires_without_repeats() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.registry.note_loading(UpstreamId("a"), 2, now_s())
    await asyncio.sleep(60.0)
    assert upstreams.accepting(now_s()) == ["a"]


async def test_a_silent_upstream_with_outstanding_responses_is_avoided() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    (state,) = upstreams.registry.of_service(SERVICE)
    number = upstreams.loads.begin(InFlight(UpstreamId("a"), 10, 10, now_s()))
    assert upstreams.registry.health(state, now_s()) == 1.0
    await asyncio.sleep(SILENCE_TIMEOUT_S + 0.1)
    assert upstreams.registry.health(state, now_s()) == 0.0
    upstreams.loads.end(number)
    assert upstreams.registry.health(state, now_s()) == 1.0


async def test_load_of_other_instances_counts_until_their_report_expires() -> None:
    upstreams = Upstreams()
    name = UpstreamId("a")
    upstreams.loads.note_remote("other", {"a": Load(2, 300, 400)}, now_s())
    number = upstreams.loads.begin(InFlight(name, 10, 20, now_s()))
    assert upstreams.loads.total(name, now_s()) == Load(3, 310, 420)
    upstreams.loads.note_answered(number)
    assert upstreams.loads.total(name, now_s()) == Load(3, 300, 420)
    await asyncio.sleep(5.0)
    assert upstreams.loads.total(name, now_s()) == Load(1, 0, 20)


async def test_an_upstream_whose_address_was_taken_over_gets_no_requests() -> None:
    """A third of the upstreams crash and restart under new identifiers.

    The entries of the old identifiers remain for a time, but must get no requests.
    """
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.put(record("b"))
    upstreams.registry.note_replaced(UpstreamId("a"), now_s())
    assert upstreams.accepting(now_s()) == ["b"]
    upstreams.put(record("a", is_leaving=False))
    assert upstreams.accepting(now_s()) == ["b"]
    upstreams.put(record("a", started_at_ms=2))
    assert upstreams.accepting(now_s()) == ["a", "b"]


async def test_an_upstream_that_refused_is_avoided_for_a_short_time() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    (state,) = upstreams.registry.of_service(SERVICE)
    upstreams.registry.note_refused(UpstreamId("a"), now_s())
    assert upstreams.registry.health(state, now_s()) == 0.0
    await asyncio.sleep(0.3)
    assert upstreams.registry.health(state, now_s()) == 1.0


async def test_a_service_whose_upstreams_all_crashed_and_restarted_recovers() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a"))
    upstreams.registry.note_replaced(UpstreamId("a"), now_s())
    upstreams.remove("a")
    upstreams.put(record("c"))
    assert upstreams.accepting(now_s()) == ["c"]


# Guards against requests to a leaving upstream after the store has lost that it leaves.
async def test_older_entry_of_a_leaving_upstream_is_ignored() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", sequence=7, is_leaving=True))
    upstreams.begin_era(2)
    upstreams.put(record("a", sequence=5))
    assert upstreams.accepting(now_s()) == []
    upstreams.put(record("a", sequence=8))
    assert upstreams.accepting(now_s()) == ["a"]


# Guards against requests to an upstream that left, whose removal the store has lost.
async def test_upstream_that_reappears_in_a_new_era_gets_no_requests_for_a_time() -> (
    None
):
    upstreams = Upstreams()
    upstreams.put(record("a", sequence=7))
    upstreams.remove("a")
    upstreams.begin_era(2)
    upstreams.put(record("a", sequence=7))
    assert upstreams.accepting(now_s()) == []
    await asyncio.sleep(MISSING_ENTRY_GRACE_S + 0.01)
    assert upstreams.accepting(now_s()) == ["a"]


async def test_upstream_that_has_written_again_in_a_new_era_is_used() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", sequence=7))
    upstreams.remove("a")
    upstreams.begin_era(2)
    upstreams.put(record("a", sequence=8))
    assert upstreams.accepting(now_s()) == ["a"]


async def test_entry_that_is_written_again_in_the_same_era_is_used() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", sequence=7))
    upstreams.remove("a")
    upstreams.put(record("a", sequence=7))
    assert upstreams.accepting(now_s()) == ["a"]


async def test_software_versions_that_have_left_are_remembered_for_a_time() -> None:
    upstreams = Upstreams()
    registry = upstreams.registry
    assert registry.followed_since_s is None
    upstreams.put(record("a", software_version="v1"))
    upstreams.put(record("b", software_version="v2"))
    assert registry.followed_since_s == now_s()
    upstreams.remove("a")
    left_at_s = now_s()
    assert registry.software_versions(SERVICE, left_at_s) == {"v1", "v2"}
    await asyncio.sleep(10.0)
    assert registry.software_versions(SERVICE, left_at_s) == {"v1", "v2"}
    assert registry.software_versions(SERVICE, left_at_s + 1.0) == {"v2"}


async def test_upstream_that_starts_again_at_another_software_version() -> None:
    upstreams = Upstreams()
    upstreams.put(record("a", software_version="v1"))
    upstreams.put(record("a", software_version="v2", started_at_ms=2))
    registry = upstreams.registry
    assert registry.software_versions(SERVICE, now_s()) == {"v1", "v2"}
    assert registry.software_versions(SERVICE, now_s() + 1.0) == {"v2"}


async def test_entries_are_followed_while_the_store_answers() -> None:
    upstreams = Upstreams()
    assert not upstreams.registry.is_followed()
    upstreams.mirror.last_contact_s = now_s()
    assert upstreams.registry.is_followed()
    await asyncio.sleep(MAX_CONTACT_AGE_S + 1.0)
    assert not upstreams.registry.is_followed()
