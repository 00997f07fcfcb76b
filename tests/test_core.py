"""Tests of component order, message delivery and the kernel's stop."""

import asyncio
from dataclasses import dataclass

import pytest

from banyanswitch.core import ComponentRegistry, Kernel, KernelError, MessageBus


@dataclass(frozen=True)
class _Ping:
    number: int


async def _async_nothing(_kernel: Kernel) -> None:
    return None


def test_components_follow_their_dependencies() -> None:
    registry = ComponentRegistry()
    registry.register("c", _async_nothing, depends_on=("b",))
    registry.register("b", _async_nothing, depends_on=("a",))
    registry.register("a", _async_nothing)
    assert [item.domain for item in registry.sorted_by_dependency(["c"])] == [
        "a",
        "b",
        "c",
    ]


def test_circular_dependency_raises() -> None:
    registry = ComponentRegistry()
    registry.register("a", _async_nothing, depends_on=("b",))
    registry.register("b", _async_nothing, depends_on=("a",))
    with pytest.raises(KernelError):
        registry.sorted_by_dependency(["a"])


def test_failing_subscriber_does_not_affect_others() -> None:
    bus = MessageBus()
    received: list[int] = []

    def fail(_message: _Ping) -> None:
        raise ValueError("wrong")

    bus.subscribe(_Ping, fail)
    unsubscribe = bus.subscribe(_Ping, lambda message: received.append(message.number))
    bus.publish(_Ping(1))
    unsubscribe()
    bus.publish(_Ping(2))
    assert received == [1]


async def test_stop_runs_hooks_in_reverse_and_cancels_tasks() -> None:
    kernel = Kernel(settings=None)
    order: list[str] = []

    async def async_first() -> None:
        order.append("first")

    async def async_second() -> None:
        order.append("second")

    kernel.on_stop("first", async_first)
    kernel.on_stop("second", async_second)
    task = kernel.create_task(asyncio.sleep(3600), "endless")
    await kernel.async_stop()
    assert order == ["second", "first"]
    assert task.cancelled()
