"""Steps that it takes to plan the fetches and saves of a prompt; no network."""

import sys
from collections.abc import Iterator
from types import FrameType
from typing import Any

import pytest

from banyanswitch.components.forwarding.models import PromptPart
from banyanswitch.decisions.pending_saves import PendingSaves
from tests.components.kv_tier.test_coordinator import MODEL, Setup

pytestmark = pytest.mark.looptime
MAX_RATIO = 1.5
"""Stated bound of the steps a part, for prompts of any length."""


@pytest.fixture
def setup() -> Iterator[Setup]:
    setup = Setup()
    yield setup
    setup.tier.stop()


def make_parts(prefix: str, count: int) -> list[PromptPart]:
    parts = [PromptPart(f"{prefix}{number}", 512) for number in range(count)]
    return [*parts, PromptPart("own", 10)]


def plan_steps(setup: Setup, count: int) -> float:
    """Return the lines of code that run to plan a prompt, for each part."""
    steps = 0

    def trace(_frame: FrameType, event: str, _argument: Any) -> Any:
        nonlocal steps
        steps += event == "line"
        return trace

    parts = make_parts("new", count)
    sys.settrace(trace)
    try:
        setup.tier.plan(parts, "salt", MODEL, 1, 18_432)
    finally:
        sys.settrace(None)
    return steps / count


def save_parts(setup: Setup, count: int) -> None:
    plan = setup.tier.plan(make_parts("saved", count), "salt", MODEL, 1, 18_432)
    assert len(plan.planned_saves) == count
    setup.tier.mark_saves_pending(plan)


# Guards against prompts of many parts that hold up a process for seconds.
async def test_steps_of_a_part_grow_neither_with_parts_nor_with_saves(
    setup: Setup,
) -> None:
    await setup.async_start()
    few = plan_steps(setup, 20)
    assert plan_steps(setup, 1500) <= MAX_RATIO * few
    save_parts(setup, 5000)
    assert plan_steps(setup, 20) <= MAX_RATIO * few
    assert plan_steps(setup, 1500) <= MAX_RATIO * few


def test_saves_expire_and_their_tokens_with_them() -> None:
    saves = PendingSaves[str, str](4.0)
    saves.add("a", "s", 100, 0.0)
    saves.add("b", "s", 10, 1.0)
    saves.add("a", "t", 50, 2.0)
    assert (saves.tokens("s"), saves.tokens("t"), len(saves)) == (10, 50, 2)
    saves.drop_expired(4.0)
    assert saves.is_pending("a")
    saves.drop_expired(5.0)
    assert (saves.tokens("s"), saves.is_pending("b")) == (0, False)
    saves.discard("a")
    saves.discard("a")
    saves.drop_expired(9.0)
    assert (saves.tokens("t"), len(saves)) == (0, 0)
