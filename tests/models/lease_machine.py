"""Stateful model of leases over a table service with faults and slow answers.

Processes may be suspended, and know the time of the table's clock with an error.
"""

import asyncio
import contextlib
import random
from collections.abc import Coroutine, Sequence
from dataclasses import replace
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import rule

from banyanswitch.components.lease import LeaseCoordinator
from banyanswitch.components.lease.const import CLOCK_MARGIN_S
from banyanswitch.components.lease.duty import Duty
from banyanswitch.components.weight_rollout import const as rollout
from banyanswitch.components.weight_rollout.order_lease import OrderLease
from banyanswitch.helpers.suspension import SuspensionWatch
from banyanswitch.interfaces import Lease
from tests.components.lease.conftest import DUTY, LEASE_S, FixedPeers, make_peer
from tests.fakes.clocks import LoopStoreClock, SetSuspensionClock
from tests.fakes.table import FakeTable, TableFault
from tests.models.machine import LoopMachine

PROCESSES = ("a", "b", "c")
CHECK_INTERVAL_S = 0.05
PAUSE_SHARES = (0.01, 0.33, 0.985, 1.0, 1.5)
"""Pauses as shares of the lease duration."""

LATE_S = (0.0, CLOCK_MARGIN_S / 2, CLOCK_MARGIN_S, 2.0)
"""Errors of the processes' clock estimates, in seconds."""

EXCLUSION_S = 3.0
ROUNDING_S = 1e-6


class SteppedCoordinator(LeaseCoordinator):
    """Coordinator with duties of the type ``duty_type``; the model runs its steps."""

    duty_type: type[Duty] = Duty
    suspension: SetSuspensionClock
    store_clock: LoopStoreClock
    watch: SuspensionWatch
    order_lease: OrderLease

    def campaign(self, name: str) -> None:
        self._duties[name] = self.duty_type(name, self._holder, self._lease_s)

    @property
    def holder(self) -> str:
        return self._holder

    def delay(self, suspended_s: float) -> None:
        """Change the state as if the process's loop clock had stood still."""
        self.suspension.seconds += suspended_s
        for duty in self._duties.values():
            if duty._seen is not None:
                renewed_by_s = duty._seen.renewed_by_s + suspended_s
                duty._seen = replace(duty._seen, renewed_by_s=renewed_by_s)
            if duty._lease is not None:
                duty._lease = replace(
                    duty._lease,
                    expires_at_s=duty._lease.expires_at_s + suspended_s,
                    renewed_at_s=duty._lease.renewed_at_s + suspended_s,
                )

    def is_checked(self) -> bool:
        """Return whether the process knows of all its suspensions."""
        return self.watch._suspended_s == self.suspension.seconds


class LeaseMachine(LoopMachine):
    """Processes step, pause, crash and release while the table fails or is slow.

    Invariants: no two processes hold the duty at the same time, a fencing token
    belongs to one process and is not reused after a crash, the token of the current
    holder never decreases, and a lease that was not released is acquired only after
    its whole duration. A process holds nothing while it is suspended, nor after that
    until it has checked for suspensions.
    """

    duty_type: type[Duty] = Duty
    stated_error_s: float | None = None
    """Error that the processes' clocks state; ``None`` for the true one."""

    duty = DUTY
    lease_s = LEASE_S

    def __init__(self) -> None:
        super().__init__()
        self.table = FakeTable(latency_s=0.01)
        self.generations = 0
        self.processes = {name: self.make_process(name) for name in PROCESSES}
        self.suspended_at_s: dict[str, float] = {}
        self.owners: dict[int, str] = {}
        self.released: set[int] = set()
        self.last_token = 0
        self.last_renewal_s = float("-inf")

    def make_process(self, name: str) -> SteppedCoordinator:
        self.generations += 1
        peers = [make_peer(other) for other in PROCESSES if other != name]
        clock = LoopStoreClock(error_s=self.stated_error_s)
        coordinator = SteppedCoordinator(
            table=self.table,
            peers=FixedPeers(make_peer(name), peers),
            holder=f"{name}/{self.generations}",
            lease_s=self.lease_s,
            generator=random.Random(self.generations),
            clock=clock,
        )
        coordinator.duty_type = self.duty_type
        coordinator.store_clock = clock
        coordinator.suspension = SetSuspensionClock()
        coordinator.watch = SuspensionWatch(coordinator.suspension)
        coordinator.watch.subscribe(lambda: coordinator.forfeit(self.duty))
        coordinator.campaign(self.duty)
        return coordinator

    @rule(names=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3))
    def step(self, names: Sequence[str]) -> None:
        self.run(self.async_run_checked(self.async_steps(names)))

    @rule(
        names=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3, unique=True),
        faults=st.lists(st.sampled_from([None, *TableFault]), min_size=1, max_size=3),
        answer_latency_share=st.sampled_from([0.0, 0.2, 0.5]),
    )
    def step_under_faults(
        self,
        names: Sequence[str],
        faults: list[TableFault | None],
        answer_latency_share: float,
    ) -> None:
        self.table.write_faults = faults
        self.table.answer_latency_s = answer_latency_share * self.lease_s
        self.run(self.async_run_checked(self.async_steps(names)))
        self.table.answer_latency_s = 0.0
        self.table.write_faults = []

    @rule(name=st.sampled_from(PROCESSES))
    def release(self, name: str) -> None:
        if name in self.suspended_at_s:
            return
        # A lease that has just expired is released too.
        lease = self.processes[name]._duties[self.duty]._lease
        if lease is not None:
            self.released.add(lease.fencing_token)
        self.run(self.async_run_checked(self.processes[name].async_release_all()))

    @rule(name=st.sampled_from(PROCESSES))
    def crash(self, name: str) -> None:
        self.suspended_at_s.pop(name, None)
        self.processes[name] = self.make_process(name)

    @rule()
    def crash_all(self) -> None:
        for name in PROCESSES:
            self.crash(name)

    @rule(pause_share=st.sampled_from(PAUSE_SHARES))
    def wait(self, pause_share: float) -> None:
        self.run(self.async_run_checked(asyncio.sleep(pause_share * self.lease_s)))

    @rule(names=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3))
    def step_repeatedly(self, names: Sequence[str]) -> None:
        for _ in range(6):
            self.step(names)
            self.wait(0.33)

    @rule(name=st.sampled_from(PROCESSES), late_s=st.sampled_from(LATE_S))
    def set_clock_error(self, name: str, late_s: float) -> None:
        self.processes[name].store_clock.late_s = late_s

    @rule(name=st.sampled_from(PROCESSES))
    def suspend(self, name: str) -> None:
        self.suspended_at_s.setdefault(name, self.loop.time())

    @rule(name=st.sampled_from(PROCESSES))
    def wake(self, name: str) -> None:
        suspended_at_s = self.suspended_at_s.pop(name, None)
        if suspended_at_s is not None:
            self.processes[name].delay(self.loop.time() - suspended_at_s)

    @rule(name=st.sampled_from(PROCESSES))
    def check_for_suspensions(self, name: str) -> None:
        if name not in self.suspended_at_s:
            self.run(self.async_check_for_suspensions(name))

    def active(self) -> dict[str, SteppedCoordinator]:
        """Return the processes that can hold the duty."""
        return {
            name: process
            for name, process in self.processes.items()
            if name not in self.suspended_at_s and process.is_checked()
        }

    async def async_check_for_suspensions(self, name: str) -> None:
        self.processes[name].watch.check()

    async def async_steps(self, names: Sequence[str]) -> None:
        steps = (
            self.processes[name].async_step()
            for name in dict.fromkeys(names)
            if name not in self.suspended_at_s
        )
        await asyncio.gather(*steps)

    async def async_run_checked(self, work: Coroutine[Any, Any, None]) -> None:
        watcher = asyncio.create_task(self.async_check_repeatedly())
        worker = asyncio.create_task(work)
        await asyncio.wait({watcher, worker}, return_when=asyncio.FIRST_COMPLETED)
        watcher.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watcher
        await worker
        self.check()

    async def async_check_repeatedly(self) -> None:
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        leases = {}
        for name, process in self.active().items():
            duty = process._duties[self.duty]
            lease = duty.held(self.loop.time())
            if lease is not None:
                leases[name] = lease
        assert len(leases) <= 1, f"two holders: {sorted(leases)}"
        for name, lease in leases.items():
            owner = f"{name}/{self.processes[name]._holder}"
            token = lease.fencing_token
            assert self.owners.setdefault(token, owner) == owner, "token shared"
            assert token >= self.last_token, "token went down"
            if token > self.last_token:
                self.check_acquisition(owner, lease)
            self.last_token = token
            self.last_renewal_s = lease.renewed_at_s

    def check_acquisition(self, owner: str, lease: Lease) -> None:
        if self.last_token in self.released:
            return
        if self.owners.get(self.last_token) == owner:
            return
        age_s = lease.renewed_at_s - self.last_renewal_s
        assert age_s >= self.lease_s - ROUNDING_S, f"acquired early: after {age_s:.3f}"


class OrderMachine(LeaseMachine):
    """Processes that hold the duty of orders send them whenever they may.

    Invariant: orders of two holders are apart by the exclusion and by the margin for
    orders in transit.
    """

    duty = rollout.DUTY
    lease_s = rollout.LEASE_S

    def __init__(self) -> None:
        self.leaving: set[str] = set()
        self.last_orders_s: dict[str, float] = {}
        super().__init__()

    def make_process(self, name: str) -> SteppedCoordinator:
        process = super().make_process(name)
        process.order_lease = OrderLease(
            process, EXCLUSION_S, process.watch, lambda: process.holder in self.leaving
        )
        return process

    @rule(name=st.sampled_from(PROCESSES))
    def release(self, name: str) -> None:
        if name in self.suspended_at_s:
            return
        process = self.processes[name]
        self.run(self.async_check_for_suspensions(name))
        self.leaving.add(process.holder)
        self.run(self.async_run_checked(asyncio.sleep(rollout.RELEASE_DELAY_S)))
        super().release(name)
        self.crash(name)

    def check(self) -> None:
        super().check()
        now_s = self.loop.time()
        for process in self.active().values():
            if process.order_lease.token(now_s) is not None:
                self.order(process.holder, now_s)

    def order(self, holder: str, now_s: float) -> None:
        for other, last_order_s in self.last_orders_s.items():
            gap_s = now_s - last_order_s
            is_apart = gap_s >= EXCLUSION_S + rollout.HANDOVER_MARGIN_S - ROUNDING_S
            assert other == holder or is_apart, f"orders too close: {gap_s:.3f}"
        self.last_orders_s[holder] = now_s
