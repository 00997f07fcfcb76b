"""Stateful model of leases over a table service with faults and slow answers."""

import asyncio
import contextlib
import random
from collections.abc import Coroutine, Sequence
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import rule

from banyanswitch.components.lease import LeaseCoordinator
from banyanswitch.components.lease.duty import Duty
from tests.components.lease.conftest import DUTY, LEASE_S, FixedPeers, make_peer
from tests.fakes.table import FakeTable, TableFault
from tests.models.machine import LoopMachine

PROCESSES = ("a", "b", "c")
CHECK_INTERVAL_S = 0.05
PAUSES_S = (0.1, LEASE_S / 3, LEASE_S, 1.5 * LEASE_S)


class SteppedCoordinator(LeaseCoordinator):
    """Coordinator with duties of the type ``duty_type``; the model runs its steps."""

    duty_type: type[Duty] = Duty

    def campaign(self, name: str) -> None:
        self._duties[name] = self.duty_type(name, self._holder, self._lease_s)


class LeaseMachine(LoopMachine):
    """Processes step, pause, crash and release while the table fails or is slow.

    Invariants: no two processes hold the duty at the same time, a fencing token
    belongs to one process and is not reused after a crash, and the token of the
    current holder never decreases.
    """

    duty_type: type[Duty] = Duty

    def __init__(self) -> None:
        super().__init__()
        self.table = FakeTable(latency_s=0.01)
        self.generations = 0
        self.processes = {name: self.make_process(name) for name in PROCESSES}
        self.owners: dict[int, str] = {}
        self.last_token = 0

    def make_process(self, name: str) -> SteppedCoordinator:
        self.generations += 1
        peers = [make_peer(other) for other in PROCESSES if other != name]
        coordinator = SteppedCoordinator(
            table=self.table,
            peers=FixedPeers(make_peer(name), peers),
            holder=f"{name}/{self.generations}",
            lease_s=LEASE_S,
            generator=random.Random(self.generations),
        )
        coordinator.duty_type = self.duty_type
        coordinator.campaign(DUTY)
        return coordinator

    @rule(names=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3))
    def step(self, names: Sequence[str]) -> None:
        self.run(self.async_run_checked(self.async_steps(names)))

    @rule(
        names=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3, unique=True),
        faults=st.lists(st.sampled_from([None, *TableFault]), min_size=1, max_size=3),
        answer_latency_s=st.sampled_from([0.0, 2.0, LEASE_S / 2]),
    )
    def step_under_faults(
        self,
        names: Sequence[str],
        faults: list[TableFault | None],
        answer_latency_s: float,
    ) -> None:
        self.table.write_faults = faults
        self.table.answer_latency_s = answer_latency_s
        self.run(self.async_run_checked(self.async_steps(names)))
        self.table.answer_latency_s = 0.0
        self.table.write_faults = []

    @rule(name=st.sampled_from(PROCESSES))
    def release(self, name: str) -> None:
        self.run(self.async_run_checked(self.processes[name].async_release_all()))

    @rule(name=st.sampled_from(PROCESSES))
    def crash(self, name: str) -> None:
        self.processes[name] = self.make_process(name)

    @rule(pause_s=st.sampled_from(PAUSES_S))
    def wait(self, pause_s: float) -> None:
        self.run(self.async_run_checked(asyncio.sleep(pause_s)))

    async def async_steps(self, names: Sequence[str]) -> None:
        steps = (self.processes[name].async_step() for name in dict.fromkeys(names))
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
        for name, process in self.processes.items():
            duty = process._duties[DUTY]
            lease = duty.held(self.loop.time())
            if lease is not None:
                leases[name] = lease
        assert len(leases) <= 1, f"two holders: {sorted(leases)}"
        for name, lease in leases.items():
            owner = f"{name}/{self.processes[name]._holder}"
            token = lease.fencing_token
            assert self.owners.setdefault(token, owner) == owner, "token shared"
            assert token >= self.last_token, "token went down"
            self.last_token = token
