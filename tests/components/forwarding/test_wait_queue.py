"""Order of the heavy requests that wait; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.wait_queue import WaitQueue

pytestmark = pytest.mark.looptime


async def test_the_first_in_line_goes_first() -> None:
    wait_queue = WaitQueue()
    first, second = wait_queue.allocate_number(), wait_queue.allocate_number()
    wait_queue.enqueue("llm", first)
    wait_queue.enqueue("llm", second)
    assert wait_queue.is_first("llm", first)
    assert not wait_queue.is_first("llm", second)
    assert not wait_queue.is_first("llm", wait_queue.allocate_number())
    wait_queue.remove("llm", first)
    assert wait_queue.is_first("llm", second)


async def test_lines_of_services_are_apart() -> None:
    wait_queue = WaitQueue()
    number = wait_queue.allocate_number()
    wait_queue.enqueue("llm", number)
    assert wait_queue.is_first("other", wait_queue.allocate_number())


async def test_a_change_wakes_the_line_before_its_step_ends() -> None:
    wait_queue = WaitQueue()
    loop = asyncio.get_running_loop()
    waiting = asyncio.create_task(wait_queue.async_wait_for_change(10.0))
    await asyncio.sleep(0.5)
    wait_queue.notify()
    await waiting
    assert loop.time() < 1.0


async def test_without_a_change_the_step_ends() -> None:
    wait_queue = WaitQueue()
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    await wait_queue.async_wait_for_change(0.05)
    assert loop.time() - began_at_s == pytest.approx(0.05)


async def test_a_request_that_left_blocks_no_one() -> None:
    """Callers give up while they wait in line."""
    wait_queue = WaitQueue()
    numbers = [wait_queue.allocate_number() for _ in range(5)]
    for number in numbers:
        wait_queue.enqueue("llm", number)
    for number in numbers[:-1]:
        wait_queue.remove("llm", number)
    assert wait_queue.is_first("llm", numbers[-1])
