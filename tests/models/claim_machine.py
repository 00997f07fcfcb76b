"""Stateful model of non-idempotent calls over a table service with faults."""

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from banyanswitch.components.idempotency import TableClaimStore
from banyanswitch.config.models import Retention
from banyanswitch.exceptions import PlatformError
from banyanswitch.identifiers import WorkspaceId
from banyanswitch.interfaces import ClaimResult, ClaimState, StoredAnswer
from tests.fakes.clocks import LoopWallClock
from tests.fakes.table import FakeTable, TableFault
from tests.models.machine import LoopMachine

PROCESSES = ("a", "b", "c")
KEYS = ("k1", "k2")
DIGESTS = ("d1", "d2")
WORKSPACE = WorkspaceId("shop")
CLAIM_S = 60.0
RETENTION = Retention(idempotency_s=3_600.0)
PAUSES_S = (0.01, 1.0, 8.0, CLAIM_S + 1.0, RETENTION.idempotency_s + 1.0)


@dataclass
class Call:
    """A claimed call that has not finished."""

    process: str
    key: str
    attempt: str
    is_sent: bool = False


class ClaimMachine(LoopMachine):
    """Processes claim keys concurrently; send, finish and release calls; and crash.

    Invariants: no key is executed twice, no two attempts hold the same key, and a
    stored answer is the answer of the only execution.
    """

    store_type: type[TableClaimStore] = TableClaimStore

    def __init__(self) -> None:
        super().__init__()
        self.table = FakeTable(latency_s=0.01)
        self.generations = 0
        self.stores = {process: self.make_store(process) for process in PROCESSES}
        self.calls: list[Call] = []
        self.executions: Counter[str] = Counter()
        self.answers: dict[str, StoredAnswer] = {}
        self.interrupted_keys: set[str] = set()

    def make_store(self, process: str) -> TableClaimStore:
        self.generations += 1
        return self.store_type(
            table=self.table,
            objects=self.table,
            wall_clock=LoopWallClock(),
            attempt_prefix=f"{process}/{self.generations}",
            claim_s=CLAIM_S,
            retention=lambda: RETENTION,
        )

    @rule(
        processes=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3),
        key=st.sampled_from(KEYS),
        digest=st.sampled_from(DIGESTS),
    )
    def race(self, processes: Sequence[str], key: str, digest: str) -> None:
        self.claim(processes, key, digest)

    def claim(self, processes: Sequence[str], key: str, digest: str) -> None:
        results = self.run(self.async_race(processes, key, digest))
        for process, result in zip(processes, results, strict=True):
            self.check(process, key, result)

    async def async_race(
        self, processes: Sequence[str], key: str, digest: str
    ) -> list[ClaimResult | BaseException]:
        claims = (self.stores[p].async_claim(WORKSPACE, key, digest) for p in processes)
        return await asyncio.gather(*claims, return_exceptions=True)

    def check(
        self, process: str, key: str, result: ClaimResult | BaseException
    ) -> None:
        if isinstance(result, BaseException):
            assert isinstance(result, PlatformError), repr(result)
            return
        if result.state is ClaimState.ANSWERED:
            assert result.answer == self.answers[key], "another answer"
        if result.state is ClaimState.OUTCOME_UNKNOWN:
            may_have_run = self.executions[key] or key in self.interrupted_keys
            is_claimed = any(call.key == key for call in self.calls)
            assert may_have_run or is_claimed, "unknown without a cause"
        if result.state is not ClaimState.CLAIMED:
            return
        assert self.executions[key] == 0, "an executed key was claimed again"
        assert all(call.key != key for call in self.calls), "two attempts hold a key"
        self.calls.append(Call(process, key, result.attempt))

    @precondition(lambda self: any(not call.is_sent for call in self.calls))
    @rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        unsent = [call for call in self.calls if not call.is_sent]
        call = data.draw(st.sampled_from(unsent))
        store = self.stores[call.process]
        try:
            self.run(store.async_check_claim(WORKSPACE, call.key, call.attempt))
        except PlatformError:
            return
        call.is_sent = True
        self.executions[call.key] += 1
        assert self.executions[call.key] == 1, "a call was executed twice"

    @precondition(lambda self: any(call.is_sent for call in self.calls))
    @rule(data=st.data(), is_answered=st.booleans())
    def finish(self, data: st.DataObject, is_answered: bool) -> None:
        sent = [call for call in self.calls if call.is_sent]
        call = data.draw(st.sampled_from(sent))
        self.calls.remove(call)
        store = self.stores[call.process]
        if not is_answered:
            self.run(store.async_abandon(WORKSPACE, call.key, call.attempt))
            return
        answer = StoredAnswer(200, "text/plain", call.attempt.encode())
        self.answers[call.key] = answer
        self.run(store.async_complete(WORKSPACE, call.key, call.attempt, answer))

    @precondition(lambda self: any(not call.is_sent for call in self.calls))
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        unsent = [call for call in self.calls if not call.is_sent]
        call = data.draw(st.sampled_from(unsent))
        self.calls.remove(call)
        store = self.stores[call.process]
        self.run(store.async_release(WORKSPACE, call.key, call.attempt))

    @rule(process=st.sampled_from(PROCESSES))
    def crash(self, process: str) -> None:
        unsettled = self.stores[process]._settler._tasks
        if unsettled:
            # The tasks do not expose their keys, so any key may be affected.
            self.interrupted_keys.update(KEYS)
        for task in unsettled:
            task.cancel()
        self.stores[process] = self.make_store(process)
        self.interrupted_keys.update(c.key for c in self.calls if c.process == process)
        self.calls = [call for call in self.calls if call.process != process]

    @rule(
        processes=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3),
        key=st.sampled_from(KEYS),
        faults=st.lists(st.sampled_from([None, *TableFault]), min_size=1, max_size=3),
    )
    def race_under_faults(
        self, processes: Sequence[str], key: str, faults: list[TableFault | None]
    ) -> None:
        self.table.write_faults = faults
        self.claim(processes, key, DIGESTS[0])

    @rule(faults=st.lists(st.sampled_from([None, *TableFault]), max_size=3))
    def add_faults(self, faults: list[TableFault | None]) -> None:
        self.table.write_faults = faults

    @rule(
        processes=st.lists(st.sampled_from(PROCESSES), min_size=1, max_size=3),
        key=st.sampled_from(KEYS),
    )
    def claim_in_outage(self, processes: Sequence[str], key: str) -> None:
        self.table.is_down = True
        self.claim(processes, key, DIGESTS[0])
        self.table.is_down = False

    @rule(pause_s=st.sampled_from(PAUSES_S))
    def wait(self, pause_s: float) -> None:
        self.run(asyncio.sleep(pause_s))
