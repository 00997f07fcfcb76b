"""Histories of concurrent operators with faults are consistent.

The consistency check must also detect injected bugs.
"""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

import looptime
import pytest
from hypothesis import find, given, settings
from hypothesis import strategies as st

from banyanswitch.components.configuration.acceptance import (
    Acceptance,
    Author,
    ConfigurationAcceptor,
)
from banyanswitch.components.configuration.errors import (
    AcceptanceUnknownError,
    RevisionConflictError,
)
from banyanswitch.components.configuration.models import Delta
from banyanswitch.components.configuration.repository import (
    EMPTY_CONTENT,
    ConfigurationRepository,
    Content,
)
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.config import Configuration
from banyanswitch.config.records import from_records
from banyanswitch.exceptions import ConditionFailedError, PlatformUnavailableError
from banyanswitch.interfaces import Item, Write, WriteClass
from tests.components.configuration.builders import (
    apply,
    make_configuration,
    with_limit,
)
from tests.fakes.table import FakeTable, TableFault

T = TypeVar("T")
START = make_configuration(3)
SETTLE_S = 60.0


@dataclass(frozen=True)
class Operation:
    """Change of one workspace's limit by one operator, based on the latest head."""

    workspace: int
    limit: int
    latency_s: float
    fault: TableFault | None


@dataclass
class SlowTable:
    """Table of one operator, with its latency and a fault of its first transaction."""

    table: FakeTable
    latency_s: float
    fault: TableFault | None

    async def async_get(self, keys: Sequence[str]) -> tuple[Item, ...]:
        await asyncio.sleep(self.latency_s)
        return await self.table.async_get(keys)

    async def async_query(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> tuple[Item, ...]:
        await asyncio.sleep(self.latency_s)
        return await self.table.async_query(prefix, after=after, limit=limit)

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        await asyncio.sleep(self.latency_s)
        self.table.write_faults = [self.fault]
        self.fault = None
        return await self.table.async_transact(writes, write_class)


class UnconditionalTable(SlowTable):
    """Injected bug: the conditions of writes are lost."""

    async def async_transact(
        self, writes: Sequence[Write], write_class: WriteClass
    ) -> tuple[int, ...]:
        unconditional = [Write(write.key, write.value) for write in writes]
        return await super().async_transact(unconditional, write_class)


class RefusingAcceptor(ConfigurationAcceptor):
    """Injected bug: a change committed over a slow table is reported as rejected.

    This stands for a lost response that counts as a rejection.
    """

    async def _async_commit(self, *arguments: Any) -> None:
        try:
            await super()._async_commit(*arguments)
        except (RevisionConflictError, AcceptanceUnknownError):
            raise
        if isinstance(self._table, SlowTable) and self._table.latency_s > 0.1:
            raise PlatformUnavailableError("injected", 1.0)


@dataclass
class History:
    """Results that operators received, and the final state of the table."""

    accepted: dict[str, int] = field(default_factory=dict)
    rejected: set[str] = field(default_factory=set)
    deltas: tuple[Delta, ...] = ()
    content: Content | None = None
    expected: Configuration = START


TableMaker = Callable[[FakeTable, float, TableFault | None], SlowTable]
Rounds = list[list[Operation]]


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    loop = looptime.new_event_loop(start=0.0, end=1e6, noop_cycles=1)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


async def run_history(
    rounds: Rounds,
    make_table: TableMaker = SlowTable,
    acceptor_type: type[ConfigurationAcceptor] = ConfigurationAcceptor,
) -> History:
    table = FakeTable(late_write_delay_s=3.0)
    await apply(table, START, attempt="start")
    history = History()
    operations: dict[str, Operation] = {}

    async def run_operation(attempt: str, operation: Operation) -> None:
        operations[attempt] = operation
        view = make_table(table, operation.latency_s, operation.fault)
        author = Author(attempt, attempt, 0.0)
        try:
            content = await read(view, table)
            changed = with_limit(
                from_records(content.records.items()),
                operation.workspace,
                operation.limit,
            )
            acceptance: Acceptance = await acceptor_type(view, table).async_apply(
                changed, author, content.revision
            )
        except (RevisionConflictError, PlatformUnavailableError, ConditionFailedError):
            history.rejected.add(attempt)
        except AcceptanceUnknownError:
            return
        else:
            if acceptance.changes:
                history.accepted[attempt] = acceptance.revision

    for number, operations_of_round in enumerate(rounds):
        await asyncio.gather(
            *(
                run_operation(f"{number}-{index}", operation)
                for index, operation in enumerate(operations_of_round)
            )
        )
    await asyncio.sleep(SETTLE_S)
    history.deltas = await ConfigurationRepository(table, table).async_deltas(0)
    for delta in history.deltas[1:]:
        done = operations[delta.attempt]
        history.expected = with_limit(history.expected, done.workspace, done.limit)
    history.content = await read(SlowTable(table, 0.0, None), table)
    return history


async def read(view: SlowTable, objects: FakeTable) -> Content:
    repository = ConfigurationRepository(view, objects)
    accepted = await repository.async_head()
    assert accepted.head is not None
    return await repository.async_content(accepted.head, EMPTY_CONTENT)


def consistency_violations(history: History) -> list[str]:
    """Return how a history differs from a sequence of complete changes."""
    violations: list[str] = []
    revisions = {delta.attempt: delta.revision for delta in history.deltas}
    for attempt, revision in history.accepted.items():
        if revisions.get(attempt) != revision:
            violations.append(
                f"{attempt} got revision {revision}, which is not in the history"
            )
    for attempt in history.rejected & revisions.keys():
        violations.append(f"{attempt} was rejected but is in the history")
    if [delta.revision for delta in history.deltas] != list(
        range(1, len(history.deltas) + 1)
    ):
        violations.append("revisions are not consecutive")
    content = history.content
    assert content is not None
    if from_records(content.records.items()) != history.expected:
        violations.append("content differs from the sequence of accepted changes")
    return violations


def has_violations(
    rounds: Rounds,
    make_table: TableMaker = SlowTable,
    acceptor_type: type[ConfigurationAcceptor] = ConfigurationAcceptor,
) -> bool:
    try:
        history = run_in_virtual_time(run_history(rounds, make_table, acceptor_type))
    except Exception:
        return True
    return bool(consistency_violations(history))


OPERATIONS = st.builds(
    Operation,
    st.integers(0, 2),
    st.integers(100, 104),
    st.sampled_from([0.0, 0.01, 0.02, 0.5]),
    st.none() | st.sampled_from(TableFault),
)
ROUNDS = st.lists(st.lists(OPERATIONS, min_size=1, max_size=3), max_size=5)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(ROUNDS)
def test_every_history_is_a_sequence_of_complete_changes(rounds: Rounds) -> None:
    assert consistency_violations(run_in_virtual_time(run_history(rounds))) == []


@pytest.mark.parametrize(
    ("make_table", "acceptor_type"),
    [(UnconditionalTable, ConfigurationAcceptor), (SlowTable, RefusingAcceptor)],
    ids=["no_conditions", "lost_answer_is_refusal"],
)
def test_checker_detects_injected_bugs(
    make_table: TableMaker, acceptor_type: type[ConfigurationAcceptor]
) -> None:
    rounds = find(
        ROUNDS,
        lambda found: has_violations(found, make_table, acceptor_type),
        settings=settings(derandomize=True, max_examples=300, deadline=None),
    )
    assert not has_violations(rounds)


class RevertingConfiguration(ActiveConfiguration):
    """Injected bug: the latest message wins, regardless of its revision."""

    def replace(self, revision: int, records: Any) -> bool:
        self._revision = revision
        self._records = records
        return True


def revision_decreases(order: list[int], view_type: type[ActiveConfiguration]) -> bool:
    contents = [Content(0, EMPTY_CONTENT.records)]
    history = run_in_virtual_time(
        run_history([[Operation(0, 100 + n, 0.0, None)] for n in range(4)])
    )
    for delta in history.deltas:
        updated = contents[-1].with_delta(delta)
        assert updated is not None
        contents.append(updated)
    active = view_type()
    highest = 0
    for index in order:
        content = contents[index]
        active.replace(content.revision, content.records)
        highest = max(highest, content.revision)
        if active.revision != highest:
            return True
        if active.records.digest != contents[highest].records.digest:
            return True
    return False


ARRIVALS = st.lists(st.integers(0, 5), max_size=12)


@settings(derandomize=True, max_examples=30, deadline=None)
@given(ARRIVALS)
def test_view_revision_never_decreases(order: list[int]) -> None:
    assert not revision_decreases(order, ActiveConfiguration)


def test_checker_detects_a_view_whose_revision_decreases() -> None:
    order = find(
        ARRIVALS,
        lambda found: revision_decreases(found, RevertingConfiguration),
        settings=settings(derandomize=True, max_examples=50, deadline=None),
    )
    assert len(order) == 2
