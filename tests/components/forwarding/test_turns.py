"""Order of the heavy requests that wait; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.turns import Turns

pytestmark = pytest.mark.looptime


async def test_the_first_in_line_goes_first() -> None:
    turns = Turns()
    first, second = turns.take(), turns.take()
    turns.wait("llm", first)
    turns.wait("llm", second)
    assert turns.is_first("llm", first)
    assert not turns.is_first("llm", second)
    assert not turns.is_first("llm", turns.take())
    turns.leave("llm", first)
    assert turns.is_first("llm", second)


async def test_lines_of_services_are_apart() -> None:
    turns = Turns()
    number = turns.take()
    turns.wait("llm", number)
    assert turns.is_first("other", turns.take())


async def test_a_change_wakes_the_line_before_its_step_ends() -> None:
    turns = Turns()
    loop = asyncio.get_running_loop()
    waiting = asyncio.create_task(turns.async_change(10.0))
    await asyncio.sleep(0.5)
    turns.notify()
    await waiting
    assert loop.time() < 1.0


async def test_without_a_change_the_step_ends() -> None:
    turns = Turns()
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    await turns.async_change(0.05)
    assert loop.time() - began_at_s == pytest.approx(0.05)


async def test_a_request_that_left_blocks_no_one() -> None:
    """Callers give up while they wait in line."""
    turns = Turns()
    numbers = [turns.take() for _ in range(5)]
    for number in numbers:
        turns.wait("llm", number)
    for number in numbers[:-1]:
        turns.leave("llm", number)
    assert turns.is_first("llm", numbers[-1])
