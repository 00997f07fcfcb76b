"""The gate applies admission decisions, in virtual time."""

import asyncio

import pytest

from banyanswitch.components.admission.gate import AdmissionCall, AdmissionGate
from banyanswitch.config.models import (
    Limits,
    Priority,
    Service,
    ServiceKind,
    Workspace,
)
from banyanswitch.core import Kernel
from banyanswitch.decisions.admission_models import AdmissionPolicy
from banyanswitch.exceptions import RefusalError, RunOutcome
from banyanswitch.identifiers import ServiceName, WorkspaceId

SERVICE = Service(name=ServiceName("m"), kind=ServiceKind.MODEL)
CAPACITY = 2
MAX_WAIT_S = 5.0


def _gate(kernel: Kernel) -> AdmissionGate:
    return AdmissionGate(
        kernel, lambda: 1, lambda _: AdmissionPolicy(capacity=CAPACITY)
    )


def _call(limits: Limits | None = None) -> AdmissionCall:
    workspace = Workspace(
        name=WorkspaceId("w"),
        key_digests=(),
        limits=limits or Limits(requests_per_s=1e6, concurrent_requests=1000),
    )
    latest_start_s = asyncio.get_running_loop().time() + MAX_WAIT_S
    return AdmissionCall(workspace, SERVICE, Priority.INTERACTIVE, latest_start_s)


async def _async_hold(gate: AdmissionGate, hold_s: float) -> float:
    """Hold an admission slot and return how long the request waited, in seconds."""
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    async with gate.async_admitted(_call()):
        waited_s = loop.time() - started_at_s
        await asyncio.sleep(hold_s)
    return waited_s


@pytest.mark.looptime
async def test_requests_are_admitted_in_order() -> None:
    kernel = Kernel(settings=None)
    gate = _gate(kernel)
    waits = await asyncio.gather(*(_async_hold(gate, 1.0) for _ in range(3 * CAPACITY)))
    assert waits == sorted(waits)
    assert waits[:CAPACITY] == [0.0] * CAPACITY
    assert waits[-1] == pytest.approx(2.0, abs=0.2)
    await kernel.async_stop()


@pytest.mark.looptime
async def test_request_that_can_not_start_in_time_is_refused() -> None:
    kernel = Kernel(settings=None)
    gate = _gate(kernel)
    holders = [asyncio.ensure_future(_async_hold(gate, 100.0)) for _ in range(CAPACITY)]
    await asyncio.sleep(0)
    with pytest.raises(RefusalError) as raised:
        await _async_hold(gate, 1.0)
    assert raised.value.outcome is RunOutcome.NOT_RUN
    assert raised.value.retry_after_s is not None
    for holder in holders:
        holder.cancel()
    await asyncio.gather(*holders, return_exceptions=True)
    await kernel.async_stop()


@pytest.mark.looptime
async def test_slot_of_a_cancelled_request_goes_to_the_next() -> None:
    kernel = Kernel(settings=None)
    gate = _gate(kernel)
    holders = [asyncio.ensure_future(_async_hold(gate, 100.0)) for _ in range(CAPACITY)]
    await asyncio.sleep(0)
    waiting = [asyncio.ensure_future(_async_hold(gate, 1.0)) for _ in range(2)]
    await asyncio.sleep(0.5)
    waiting[0].cancel()
    holders[0].cancel()
    assert await waiting[1] == pytest.approx(0.5, abs=0.1)
    holders[1].cancel()
    await asyncio.gather(*holders, waiting[0], return_exceptions=True)
    await kernel.async_stop()


@pytest.mark.looptime
async def test_request_is_queued_again_while_all_upstreams_are_full() -> None:
    kernel = Kernel(settings=None)
    gate = _gate(kernel)
    loop = asyncio.get_running_loop()
    async with gate.async_admitted(_call()) as ticket:
        assert not ticket.has_waited
        started_at_s = loop.time()
        await ticket.async_requeue()
        assert ticket.has_waited
        assert 0.0 < loop.time() - started_at_s < 1.0
        with pytest.raises(RefusalError):
            while True:
                await ticket.async_requeue()
        assert loop.time() - started_at_s <= MAX_WAIT_S + 1.0
    await kernel.async_stop()
