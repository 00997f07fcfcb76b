"""Seeded sequence of faults that are injected into the processes of a fleet."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Final

from banyanswitch.config import Limits
from bench.faults.ledger import Ledger
from bench.fleet import FIRST_VERSION, SECOND_VERSION, Fleet
from bench.processes import ChildProcess, ProcessError, is_ready, wait_until

FREEZE_DURATION_S: Final = 1.5
POLL_INTERVAL_S: Final = 0.05
READY_TIMEOUT_S: Final = 30.0
FAR_FUTURE_UNIX_S: Final = 1e12
ROUNDS: Final = 2
STREAM_ROUTE: Final = "/v1"
CALL_ROUTE: Final = "/purchases"
WRITE_ROUTE: Final = "/table/transact"
READ_ROUTE: Final = "/table/get"

FaultAction = Callable[["FaultRun"], None]


@dataclass(slots=True)
class FaultRun:
    """State of one fault run.

    Parameters
    ----------
    fault_counts : Counter of str
        Fault actions carried out, including failed ones, by name.
    killed_engine_counters : Counter of str
        Sums of the counters of engines that were killed.
    failures : list of str
        Fault actions that failed, with the reason.
    limit_changes : int
        Number of changes of the workspace limits; added to the request rate limit, so
        that each change sets another value.
    """

    fleet: Fleet
    generator: random.Random
    fault_counts: Counter[str] = field(default_factory=Counter)
    killed_engine_counters: Counter[str] = field(default_factory=Counter)
    failures: list[str] = field(default_factory=list)
    limit_changes: int = 0

    def random_entry_index(self) -> int:
        """Return the index of a random entry."""
        return self.generator.randrange(len(self.fleet.entries))

    def engine_counter(self, name: str) -> int:
        """Return a counter summed over all engines, including killed ones."""
        return self.killed_engine_counters[name] + self.fleet.engine_counter(name)

    def random_engine(self) -> ChildProcess:
        """Return a random engine."""
        return self.generator.choice(self.fleet.engines)


async def async_run_faults(run: FaultRun, ledger: Ledger, total: int) -> None:
    """Inject each fault `ROUNDS` times, spread evenly over the requests of the run.

    The order is random.
    """
    actions = [*ACTIONS.items()] * ROUNDS
    run.generator.shuffle(actions)
    for index, (name, action) in enumerate(actions):
        due = total * (index + 1) // (len(actions) + 2)
        await _async_wait_until_offered(ledger, due)
        try:
            await asyncio.to_thread(action, run)
        except (ProcessError, OSError) as error:
            run.failures.append(f"{name}: {error}")
        run.fault_counts[name] += 1


async def _async_wait_until_offered(ledger: Ledger, due: int) -> None:
    while ledger.offered < due:  # noqa: ASYNC110 - the ledger has a counter, no event
        await asyncio.sleep(POLL_INTERVAL_S)


def _kill_entry(run: FaultRun) -> None:
    index = run.random_entry_index()
    run.fleet.entries[index].kill()
    entry = run.fleet.restart_entry(index)
    wait_until(lambda: is_ready(entry), f"{entry.name} is ready", READY_TIMEOUT_S)


def _kill_two_entries(run: FaultRun) -> None:
    indexes = run.generator.sample(range(len(run.fleet.entries)), 2)
    for index in indexes:
        run.fleet.entries[index].kill()
    for index in indexes:
        entry = run.fleet.restart_entry(index)
        wait_until(lambda e=entry: is_ready(e), "entry is ready", READY_TIMEOUT_S)  # type: ignore[misc]


def _freeze_entry(run: FaultRun) -> None:
    _freeze(run.fleet.entries[run.random_entry_index()])


def _terminate_entry(run: FaultRun) -> None:
    index = run.random_entry_index()
    entry = run.fleet.entries[index]
    entry.signal(signal.SIGTERM)
    status = entry.wait_ended(READY_TIMEOUT_S)
    if status != 0:
        run.failures.append(f"entry exited with status {status} after SIGTERM")
    started = run.fleet.restart_entry(index)
    wait_until(lambda: is_ready(started), "entry is ready", READY_TIMEOUT_S)


def _freeze_table(run: FaultRun) -> None:
    _freeze(run.fleet.table)


def _freeze_table_and_kill_entry(run: FaultRun) -> None:
    run.fleet.table.signal(signal.SIGSTOP)
    try:
        _kill_entry(run)
    finally:
        run.fleet.table.signal(signal.SIGCONT)


def _freeze_instance_list(run: FaultRun) -> None:
    _freeze(run.fleet.instances)


def _freeze_plain(run: FaultRun) -> None:
    _freeze(run.fleet.plain[0])


def _freeze_engine(run: FaultRun) -> None:
    _freeze(run.random_engine())


def _kill_engine(run: FaultRun) -> None:
    index = run.generator.randrange(len(run.fleet.engines))
    run.killed_engine_counters.update(run.fleet.engines[index].get("/stats"))
    run.fleet.engines[index].kill()
    engine = run.fleet.restart_engine(index)
    wait_until(lambda: engine.port > 0, "engine listens", READY_TIMEOUT_S)


def _freeze_store(run: FaultRun) -> None:
    _freeze(run.fleet.store)


def _corrupt_store(run: FaultRun) -> None:
    for kind in ("torn", "corrupt"):
        run.fleet.store.add_fault("/blocks", kind, times=5)


def _leave_and_return(run: FaultRun) -> None:
    engine = run.random_engine()
    for is_leaving in (True, False):
        order = {
            "kind": "set_leaving",
            "is_leaving": is_leaving,
            "fencing_token": 0,
            "expires_at_unix_s": FAR_FUTURE_UNIX_S,
        }
        try:
            engine.post("/engine/orders", order)
        except OSError:
            return
        time.sleep(FREEZE_DURATION_S)


def _change_weights(run: FaultRun) -> None:
    services = run.fleet.configuration.services
    version = next(s.weight_version for s in services if s.weight_version)
    other = SECOND_VERSION if version == FIRST_VERSION else FIRST_VERSION
    run.fleet.apply(run.fleet.with_version(other))


def _change_limits(run: FaultRun) -> None:
    run.limit_changes += 1
    configuration = run.fleet.configuration
    limits = Limits(requests_per_s=2000.0 + run.limit_changes, concurrent_requests=1000)
    changed = replace(
        configuration,
        workspaces=tuple(replace(w, limits=limits) for w in configuration.workspaces),
    )
    run.fleet.apply(changed)


def _scripted_faults(
    route: str, *kinds: str, targets: Callable[[Fleet], list[ChildProcess]]
) -> FaultAction:
    def act(run: FaultRun) -> None:
        for target in targets(run.fleet):
            for kind in kinds:
                target.add_fault(
                    route,
                    kind,
                    times=run.generator.randint(3, 10),
                    every=run.generator.randint(1, 3),
                    delay_s=run.generator.uniform(0.1, 1.5),
                    after_events=run.generator.randint(0, 3),
                )

    return act


def _freeze(process: ChildProcess) -> None:
    process.signal(signal.SIGSTOP)
    try:
        time.sleep(FREEZE_DURATION_S)
    finally:
        process.signal(signal.SIGCONT)


def _engines(fleet: Fleet) -> list[ChildProcess]:
    return [engine for engine in fleet.engines if engine.is_running]


def _table(fleet: Fleet) -> list[ChildProcess]:
    return [fleet.table]


def _plain(fleet: Fleet) -> list[ChildProcess]:
    return fleet.plain


ACTIONS: Final[dict[str, FaultAction]] = {
    "entry killed": _kill_entry,
    "two entries killed": _kill_two_entries,
    "entry frozen": _freeze_entry,
    "entry stopped as planned": _terminate_entry,
    "table frozen": _freeze_table,
    "table frozen and entry killed": _freeze_table_and_kill_entry,
    "table fails": _scripted_faults(WRITE_ROUTE, "fail", "refuse", targets=_table),
    "table slow": _scripted_faults(WRITE_ROUTE, "delay", targets=_table),
    "table loses answers": _scripted_faults(WRITE_ROUTE, "lose_answer", targets=_table),
    "table reads fail": _scripted_faults(READ_ROUTE, "fail", "delay", targets=_table),
    "instance list frozen": _freeze_instance_list,
    "engine killed": _kill_engine,
    "engine frozen": _freeze_engine,
    "engine leaves and returns": _leave_and_return,
    "engine fails": _scripted_faults(STREAM_ROUTE, "fail", "refuse", targets=_engines),
    "engine loses answers": _scripted_faults(
        STREAM_ROUTE, "lose_answer", targets=_engines
    ),
    "engine late": _scripted_faults(STREAM_ROUTE, "delay", targets=_engines),
    "engine crosses": _scripted_faults(STREAM_ROUTE, "cross", targets=_engines),
    "engine doubles": _scripted_faults(STREAM_ROUTE, "duplicate", targets=_engines),
    "engine reorders": _scripted_faults(STREAM_ROUTE, "reorder", targets=_engines),
    "engine cuts": _scripted_faults(STREAM_ROUTE, "cut", targets=_engines),
    "cache events have gaps": _scripted_faults(
        "/engine/cache/events", "gap", "delay", targets=_engines
    ),
    "plain service frozen": _freeze_plain,
    "plain service fails": _scripted_faults(
        CALL_ROUTE, "fail", "refuse", targets=_plain
    ),
    "plain service loses answers": _scripted_faults(
        CALL_ROUTE, "lose_answer", targets=_plain
    ),
    "plain service late": _scripted_faults(CALL_ROUTE, "delay", targets=_plain),
    "plain service crosses": _scripted_faults(CALL_ROUTE, "cross", targets=_plain),
    "store frozen": _freeze_store,
    "store corrupts": _corrupt_store,
    "weights change": _change_weights,
    "configuration changes": _change_limits,
}
