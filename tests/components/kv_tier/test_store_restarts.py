"""No part is written to a restarted store while it may still be fetched from there.

A KV store that restarts is empty. An instance that hasn't noticed still plans fetches
of parts that it had, and a fetch of a part that another instance is just saving again
reads incomplete memory. Load: all KV stores of a failure domain return at once with its
upstreams, which need every shared part again.
"""

import asyncio

import msgspec
import pytest

from banyanswitch.components.forwarding.models import PromptPart
from banyanswitch.components.kv_tier.const import RELAY_STALE_AFTER_S
from banyanswitch.components.kv_tier.coordinator import PartPlan
from banyanswitch.decisions.fetch_limit import NEWEST_FETCH_TIMEOUT_S
from banyanswitch.decisions.prefix import versioned_cache_salt
from tests.components.kv_tier.test_coordinator import FakeClock
from tests.components.kv_tier.test_relayed_events import STORE, Fleet, Node, now_s

pytestmark = pytest.mark.looptime
MODEL = "m"
PARTS = (PromptPart("shared", 64), PromptPart("own", 100))
SALT = versioned_cache_salt(MODEL, 1)
SAMPLE_S = 0.1
SETTLED_S = 7.0
RELAYED_AND_DIRECT = pytest.mark.parametrize("count", [12, 4])
"""Numbers of instances of which a few, or all, read the store themselves."""


def plan(node: Node) -> PartPlan:
    node.tier.targets_confirmed_at_s = now_s
    return node.tier.plan(PARTS, SALT, MODEL, 1, 18_432)


async def async_fleet(count: int) -> Fleet:
    """Return instances that all fetch a part from their store."""
    fleet = Fleet(count)
    await asyncio.sleep(SETTLED_S)
    fleet.append_event("shared", salt=SALT)
    await asyncio.sleep(3.0)
    assert all(any(plan(node).fetches) for node in fleet.nodes.values())
    return fleet


async def async_assert_no_fetch_during_saves(fleet: Fleet) -> None:
    """Watch all plans after a restart of the store."""
    last_fetch_ends_at_s = now_s()
    first_save_at_s: float | None = None
    while first_save_at_s is None:
        assert now_s() < 60.0, "no instance saves to the restarted store again"
        for node in fleet.nodes.values():
            planned = plan(node)
            if any(planned.fetches):
                ends_at_s = now_s() + planned.fetch_limit_s
                last_fetch_ends_at_s = max(last_fetch_ends_at_s, ends_at_s)
            if any(planned.saves):
                first_save_at_s = now_s()
        await asyncio.sleep(SAMPLE_S)
    assert first_save_at_s >= last_fetch_ends_at_s


@RELAYED_AND_DIRECT
async def test_parts_are_saved_again_after_all_fetches_by_the_old_contents(
    count: int,
) -> None:
    fleet = await async_fleet(count)
    fleet.store.restart()
    await async_assert_no_fetch_during_saves(fleet)


async def test_an_instance_that_gets_no_events_delays_the_saves() -> None:
    """One that is cut off from the readers learns of the restart last."""
    fleet = await async_fleet(12)
    readers = fleet.readers()
    cut_off = next(name for name in fleet.nodes if name not in readers)
    fleet.nodes[cut_off].reports_to_drop = 1_000
    fleet.store.restart()
    await async_assert_no_fetch_during_saves(fleet)


@RELAYED_AND_DIRECT
async def test_an_instance_that_starts_after_the_restart_delays_its_saves(
    count: int,
) -> None:
    """It can't know that the store, whose list it reads first, has just restarted."""
    fleet = await async_fleet(count)
    fleet.store.restart()
    await asyncio.sleep(0.3)
    name = "late"
    fleet.nodes[name] = Node(name, fleet)
    fleet.tasks[name] = asyncio.create_task(fleet.nodes[name].async_report())
    await async_assert_no_fetch_during_saves(fleet)


# Guards against parts that are read again as processes restart in turn.
@RELAYED_AND_DIRECT
async def test_an_instance_that_starts_saves_at_once_to_a_store_with_parts(
    count: int,
) -> None:
    fleet = await async_fleet(count)
    late = Node("late", fleet)
    fleet.nodes["late"] = late
    await asyncio.sleep(2.0)
    other = (PromptPart("other", 64), PromptPart("own", 100))
    late.tier.targets_confirmed_at_s = now_s
    assert any(late.tier.plan(other, SALT, MODEL, 1, 18_432).saves)


async def test_list_of_an_instance_with_old_contents_is_not_applied() -> None:
    fleet = Fleet(12)
    fleet.append_event("old")
    await asyncio.sleep(SETTLED_S)
    follower = next(name for name in fleet.nodes if name not in fleet.readers())
    old_list = fleet.nodes[follower].tier.part_list(STORE)
    assert old_list is not None
    fleet.store.restart()
    await asyncio.sleep(SETTLED_S)
    fleet.nodes[follower].tier.apply_list(STORE, old_list)
    assert fleet.nodes[follower].parts() == set()


async def test_list_counts_as_old_as_it_is() -> None:
    """A list that is passed on doesn't prolong the time without events."""
    fleet = Fleet(12)
    await asyncio.sleep(SETTLED_S)
    follower = next(node for node in fleet.nodes.values())
    part_list = follower.tier.part_list(STORE)
    assert part_list is not None
    aged = msgspec.structs.replace(part_list, age_s=RELAY_STALE_AFTER_S - 1.0)
    late = Node("late", fleet)
    late.tier.apply_list(STORE, aged)
    assert late.parts() is not None
    await asyncio.sleep(1.2)
    assert late.parts() is None
    late.tier.stop()


async def test_nothing_is_fetched_by_contents_from_before_a_suspension() -> None:
    """The store may have restarted meanwhile, and the loop's clock stood still."""
    fleet = await async_fleet(12)
    follower = next(
        node for name, node in fleet.nodes.items() if name not in fleet.readers()
    )
    clock: FakeClock = follower.clock
    follower.reports_to_drop = 1_000
    clock.seconds = 20.0
    plan(follower)
    await asyncio.sleep(NEWEST_FETCH_TIMEOUT_S)
    assert not any(plan(follower).fetches)
