"""Tests of the queue of requests with a large prefill; no network."""

import asyncio

import pytest

from banyanswitch.components.forwarding.wait_queue import WaitQueue

pytestmark = pytest.mark.looptime


DUE_AT_S = 0.6


async def test_requests_in_time_are_first_come_first_served() -> None:
    wait_queue = WaitQueue()
    first, second = wait_queue.allocate_number(), wait_queue.allocate_number()
    wait_queue.enqueue("llm", first, DUE_AT_S)
    wait_queue.enqueue("llm", second, DUE_AT_S + 0.1)
    assert wait_queue.is_first("llm", first, 0.5)
    assert not wait_queue.is_first("llm", second, 0.5)
    assert not wait_queue.is_first("llm", wait_queue.allocate_number(), 0.5)
    wait_queue.remove("llm", first)
    assert wait_queue.is_first("llm", second, 0.5)


async def test_overdue_requests_go_after_those_in_time_in_order() -> None:
    """Pattern: overload, in which all requests would be late in order of arrival."""
    wait_queue = WaitQueue()
    numbers = [wait_queue.allocate_number() for _ in range(4)]
    for number in numbers:
        wait_queue.enqueue("llm", number, 0.1 * number)
    served = []
    now_s = 0.25
    while numbers:
        (first,) = [n for n in numbers if wait_queue.is_first("llm", n, now_s)]
        served.append(first)
        numbers.remove(first)
        wait_queue.remove("llm", first)
    assert served == [3, 4, 1, 2]


async def test_waiting_again_does_not_make_a_request_younger() -> None:
    wait_queue = WaitQueue()
    old, new = wait_queue.allocate_number(), wait_queue.allocate_number()
    wait_queue.enqueue("llm", old, 0.1)
    wait_queue.enqueue("llm", new, 5.0)
    wait_queue.enqueue("llm", old, 9.0)
    assert wait_queue.is_first("llm", new, 1.0)


async def test_each_service_has_its_own_queue() -> None:
    wait_queue = WaitQueue()
    number = wait_queue.allocate_number()
    wait_queue.enqueue("llm", number, DUE_AT_S)
    assert wait_queue.is_first("other", wait_queue.allocate_number(), 0.0)


async def test_a_notification_wakes_waiters_before_the_timeout() -> None:
    wait_queue = WaitQueue()
    loop = asyncio.get_running_loop()
    waiting = asyncio.create_task(wait_queue.async_wait_for_change(10.0))
    await asyncio.sleep(0.5)
    wait_queue.notify()
    await waiting
    assert loop.time() < 1.0


async def test_without_a_notification_the_wait_times_out() -> None:
    wait_queue = WaitQueue()
    loop = asyncio.get_running_loop()
    began_at_s = loop.time()
    await wait_queue.async_wait_for_change(0.05)
    assert loop.time() - began_at_s == pytest.approx(0.05)


async def test_a_removed_request_does_not_block_the_queue() -> None:
    """Callers may disconnect while their requests are queued."""
    wait_queue = WaitQueue()
    numbers = [wait_queue.allocate_number() for _ in range(5)]
    for number in numbers:
        wait_queue.enqueue("llm", number, DUE_AT_S)
    for number in numbers[:-1]:
        wait_queue.remove("llm", number)
    assert wait_queue.is_first("llm", numbers[-1], 0.0)
