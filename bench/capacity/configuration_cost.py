"""Cost of the configuration: propagation, memory and cold starts.

Run ``python -m bench.capacity.configuration_cost``; the points go to
``docs/data/configuration_cost.json``. Instances run in one process over a fake
network with a delay, in virtual time. So activation times, reads, writes, messages
and bytes don't depend on the machine; CPU times do.
"""

import asyncio
import contextlib
import gc
import itertools
import json
import logging
import platform
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Coroutine, Iterator, Sequence
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any, TypeVar

import looptime
import structlog
from tests.components.configuration.builders import (
    Cluster,
    apply,
    make_configuration,
    with_limit,
)

from banyanswitch.components.configuration.packed_records import PackedRecords
from banyanswitch.components.configuration.repository import Content
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.config.records import (
    RecordChange,
    encode_record,
    record_key,
    to_records,
)

T = TypeVar("T")

SEED = 1
INSTANCES = (8, 16, 32, 64, 128, 330)
COLD_START_INSTANCES = (4, 8, 16, 32, 64)
WORKSPACES = (1_000, 2_000, 4_000, 8_000, 16_000, 35_000)
COLD_START_WORKSPACES = 35_000
PROPAGATION_WORKSPACES = 100
CHANGES = 20
BURST_CHANGES = 150
IDLE_S = 30.0
CHECK_INTERVAL_S = 0.05
TIMEOUT_S = 120.0
CACHE_FILL_LOOKUPS = 1200  # more than ``DECODED_WORKSPACES``, the cache size
RESULT = Path(__file__).parents[2] / "docs" / "data" / "configuration_cost.json"


@dataclass(frozen=True)
class PropagationPoint:
    """Propagation cost by number of instances; bytes exclude message envelopes.

    Parameters
    ----------
    change_in_force_mean_s, change_in_force_max_s : float
        Time from a change until it is active on all instances, in seconds.
    burst_in_force_s : float
        Time from the last change of a burst until it is active on all instances, in
        seconds.
    """

    instances: int
    change_in_force_mean_s: float
    change_in_force_max_s: float
    burst_changes: int
    burst_in_force_s: float
    idle_reads_per_s: float
    reads_per_change: float
    writes_per_change: float
    idle_messages_per_instance_s: float
    idle_bytes_per_instance_s: float
    messages_per_instance_change: float
    bytes_per_instance_change: float
    cpu_us_per_instance_change: float


@dataclass(frozen=True)
class WorkspacePoint:
    """Memory and CPU time by number of workspaces.

    Parameters
    ----------
    packed_bytes : int
        Size of the packed records, in bytes.
    held_bytes : int
        Memory of the active configuration with a filled workspace cache, in bytes.
    """

    workspaces: int
    packed_bytes: int
    held_bytes: int
    packed_bytes_per_workspace: float
    held_bytes_per_workspace: float
    cold_start_cpu_ms: float
    change_cpu_ms: float
    cold_lookup_cpu_us: float
    warm_lookup_cpu_us: float


@dataclass(frozen=True)
class ColdStartPoint:
    """Cost of a simultaneous cold start of all instances.

    Parameters
    ----------
    is_discovered_late : bool
        Whether the instances discover each other only 1 s after the start.
    in_force_everywhere_s : float
        Time from the start until the configuration is active on all instances, in
        seconds.
    """

    instances: int
    workspaces: int
    is_discovered_late: bool
    in_force_everywhere_s: float
    object_reads: int
    stored_objects: int
    bytes_per_instance: float


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on an event loop whose clock skips idle time."""
    loop = looptime.new_event_loop(start=0.0, end=100_000.0, noop_cycles=1)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()


@contextlib.contextmanager
def processor_time(results: list[float]) -> Iterator[None]:
    """Append the CPU time of the block to ``results``, in seconds."""
    gc.collect()
    started_s = time.process_time()
    yield
    results.append(time.process_time() - started_s)


async def async_wait(cluster: Cluster, revision: int) -> float:
    """Wait until a revision is active on all instances.

    Returns
    -------
    waited_s : float
        Time that it took, in seconds.

    Raises
    ------
    TimeoutError
        If it is not active on all after ``TIMEOUT_S``.
    """
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    while cluster.revisions() != {revision}:
        if loop.time() - started_at_s > TIMEOUT_S:
            raise TimeoutError(
                f"revision {revision} not active on all instances within {TIMEOUT_S} s"
            )
        await asyncio.sleep(CHECK_INTERVAL_S)
    return loop.time() - started_at_s


def sent_traffic(cluster: Cluster) -> tuple[int, int]:
    """Return the number of messages and bytes that all instances have sent."""
    sent = cluster.network.sent_by_type.values()
    return sum(t.messages for t in sent), sum(t.size_bytes for t in sent)


async def async_measure_propagation(instances: int) -> PropagationPoint:
    """Measure the propagation of single changes and of a burst."""
    random.seed(SEED)
    cluster = Cluster()
    configuration = make_configuration(PROPAGATION_WORKSPACES)
    await apply(cluster.table, configuration)
    cluster.start(instances)
    await async_wait(cluster, 1)
    await asyncio.sleep(IDLE_S)
    counts = cluster.table.counts
    messages, size_bytes = sent_traffic(cluster)
    reads = counts.read_calls
    await asyncio.sleep(IDLE_S)
    idle_reads = (counts.read_calls - reads) / IDLE_S
    idle_messages = (sent_traffic(cluster)[0] - messages) / IDLE_S
    idle_bytes = (sent_traffic(cluster)[1] - size_bytes) / IDLE_S

    times_s: list[float] = []
    extra_messages = extra_bytes = extra_reads = 0.0
    writes = counts.written_items
    cpu_s: list[float] = []
    for number in range(CHANGES):
        messages, size_bytes = sent_traffic(cluster)
        configuration = with_limit(configuration, number, number + 100)
        await apply(cluster.table, configuration)
        reads = counts.read_calls
        with processor_time(cpu_s):
            times_s.append(await async_wait(cluster, number + 2))
        extra_messages += (
            sent_traffic(cluster)[0] - messages - idle_messages * times_s[-1]
        )
        extra_bytes += sent_traffic(cluster)[1] - size_bytes - idle_bytes * times_s[-1]
        extra_reads += counts.read_calls - reads - idle_reads * times_s[-1]
        await asyncio.sleep(random.uniform(2.0, 4.0))
    writes = counts.written_items - writes

    for number in range(BURST_CHANGES):
        configuration = with_limit(configuration, number % 50, number + 1000)
        await apply(cluster.table, configuration)
    burst_s = await async_wait(cluster, CHANGES + BURST_CHANGES + 1)
    await cluster.async_stop()
    per_change = CHANGES * instances
    return PropagationPoint(
        instances=instances,
        change_in_force_mean_s=statistics.mean(times_s),
        change_in_force_max_s=max(times_s),
        burst_changes=BURST_CHANGES,
        burst_in_force_s=burst_s,
        idle_reads_per_s=idle_reads,
        reads_per_change=extra_reads / CHANGES,
        writes_per_change=writes / CHANGES,
        idle_messages_per_instance_s=idle_messages / instances,
        idle_bytes_per_instance_s=idle_bytes / instances,
        messages_per_instance_change=extra_messages / per_change,
        bytes_per_instance_change=extra_bytes / per_change,
        cpu_us_per_instance_change=sum(cpu_s) / per_change * 1e6,
    )


async def async_measure_cold_start(instances: int, is_late: bool) -> ColdStartPoint:
    """Measure instances that start together when a full configuration is stored.

    If ``is_late``, they discover each other only 1 s after the start.
    """
    cluster = Cluster()
    cluster.network.is_discovered = not is_late
    await apply(cluster.table, make_configuration(COLD_START_WORKSPACES))
    cluster.table.object_reads = 0
    cluster.start(instances)
    if is_late:
        await asyncio.sleep(1.0)
        cluster.network.is_discovered = True
    in_force_s = await async_wait(cluster, 1) + (1.0 if is_late else 0.0)
    size_bytes = sent_traffic(cluster)[1]
    await cluster.async_stop()
    return ColdStartPoint(
        instances=instances,
        workspaces=COLD_START_WORKSPACES,
        is_discovered_late=is_late,
        in_force_everywhere_s=in_force_s,
        object_reads=cluster.table.object_reads,
        stored_objects=len(cluster.table.objects),
        bytes_per_instance=size_bytes / instances,
    )


def measure_workspaces(workspaces: int) -> WorkspacePoint:
    """Measure memory and CPU time of a configuration with this many workspaces."""
    configuration = make_configuration(workspaces)
    packed = PackedRecords.from_records(to_records(configuration))
    digests = [workspace.key_digests[0] for workspace in configuration.workspaces]
    sample = random.Random(SEED).sample(range(workspaces), 500)
    cold_start_s: list[float] = []
    change_s: list[float] = []
    cold_lookup_s: list[float] = []
    warm_lookup_s: list[float] = []
    active = ActiveConfiguration()
    with processor_time(cold_start_s):
        active.replace(1, packed)
    with processor_time(cold_lookup_s):
        for index in sample:
            active.workspace_by_key_digest(digests[index])
    with processor_time(warm_lookup_s):
        for index in sample:
            active.workspace_by_key_digest(digests[index])
    content = Content(1, packed)
    changes = [
        RecordChange(
            record_key(workspace), encode_record(replace(workspace, key_digests=()))
        )
        for workspace in configuration.workspaces[:50]
    ]
    with processor_time(change_s):
        for number, change in enumerate(changes):
            content = Content(number + 2, content.records.with_changes([change]))
            active.replace(content.revision, content.records)
    held_bytes = measure_active_memory(packed)
    return WorkspacePoint(
        workspaces=workspaces,
        packed_bytes=packed.size_bytes,
        held_bytes=held_bytes,
        packed_bytes_per_workspace=packed.size_bytes / workspaces,
        held_bytes_per_workspace=held_bytes / workspaces,
        cold_start_cpu_ms=cold_start_s[0] * 1e3,
        change_cpu_ms=change_s[0] / len(changes) * 1e3,
        cold_lookup_cpu_us=cold_lookup_s[0] / len(sample) * 1e6,
        warm_lookup_cpu_us=warm_lookup_s[0] / len(sample) * 1e6,
    )


def measure_active_memory(packed: PackedRecords) -> int:
    """Return the memory of an active configuration with a filled workspace cache."""
    gc.collect()
    tracemalloc.start()
    buckets = {
        index: bytes(bytearray(packed.packed_bucket(index)))
        for index in packed.bucket_indexes()
    }
    active = ActiveConfiguration()
    active.replace(1, PackedRecords.empty().with_buckets(buckets))
    del buckets
    for key, _ in itertools.islice(packed.items(), CACHE_FILL_LOOKUPS):
        active.workspace(key.removeprefix("workspace/"))
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size_bytes


def measure(
    measure_one: Callable[[int], PropagationPoint | WorkspacePoint | ColdStartPoint],
    counts: Sequence[int],
) -> list[dict[str, Any]]:
    """Measure one point per count and print each as soon as it is measured."""
    points: list[dict[str, Any]] = []
    for count in counts:
        points.append(asdict(measure_one(count)))
        print(json.dumps(points[-1]), flush=True)
    return points


def measure_propagation(instances: int) -> PropagationPoint:
    """Measure the propagation of changes to the instances."""
    return run_in_virtual_time(async_measure_propagation(instances))


def measure_cold_start(instances: int) -> ColdStartPoint:
    """Measure a cold start of instances that can discover each other at once."""
    return run_in_virtual_time(async_measure_cold_start(instances, is_late=False))


def measure_late_cold_start(instances: int) -> ColdStartPoint:
    """Measure a cold start of instances that discover each other a second later."""
    return run_in_virtual_time(async_measure_cold_start(instances, is_late=True))


def main() -> None:
    """Measure all points and write the result file."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    result = {
        "command": "python -m bench.capacity.configuration_cost",
        "seed": SEED,
        "python": platform.python_version(),
        "workspaces": measure(measure_workspaces, WORKSPACES),
        "spread": measure(measure_propagation, INSTANCES),
        "cold_starts": [
            *measure(measure_cold_start, COLD_START_INSTANCES),
            *measure(measure_late_cold_start, COLD_START_INSTANCES),
        ],
    }
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
