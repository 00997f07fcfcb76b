"""Idle cost of real entry processes by their number.

Run ``python -m bench.capacity.entry_cost``. No caller sends requests, so the
measured use is that of the control plane: membership, load reports, configuration,
leases.
"""

import time
from dataclasses import dataclass
from statistics import mean

import psutil

from bench.capacity.slopes import fit_fields, save
from bench.fleet import Fleet, FleetPlan
from bench.processes import ProcessError, ProcessGroup

SEED = 0
ENTRIES = (4, 8, 16, 32, 64)
ENGINES = 8
SETTLE_S = 10.0
MEASURE_S = 15.0
MAX_START_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class EntryPoint:
    """Cost of one idle entry among ``entries``.

    Parameters
    ----------
    processor_share, max_processor_share : float
        Share of a core that an entry uses, mean and maximum over the entries.
    private_bytes : float
        Memory of one entry that it does not share with other processes.
    table_requests_per_s : float
        Requests of all entries to the table service, per second.
    list_requests_per_s : float
        Requests of all entries to the instance list, per second.
    """

    entries: int
    processor_share: float
    max_processor_share: float
    resident_bytes: float
    private_bytes: float
    threads: float
    table_requests_per_s: float
    list_requests_per_s: float


def count_requests(stats: dict[str, int]) -> int:
    """Return the number of requests that a stand-in counted over all routes."""
    return sum(n for name, n in stats.items() if name.startswith("requests "))


def measure(count: int) -> EntryPoint:
    """Measure ``count`` entries; retry if processes fail to start."""
    for _ in range(MAX_START_ATTEMPTS - 1):
        try:
            return measure_once(count)
        except ProcessError as error:
            print(f"{count} entries did not start: {str(error)[-80:]}")
    return measure_once(count)


def measure_once(count: int) -> EntryPoint:
    """Start the entries, wait ``SETTLE_S`` and measure them."""
    with ProcessGroup() as group:
        fleet = Fleet(group, FleetPlan(entries=count, engines=ENGINES))
        fleet.apply()
        fleet.start_entries()
        time.sleep(SETTLE_S)
        processes = [psutil.Process(entry.process.pid) for entry in fleet.entries]
        table_requests = count_requests(fleet.table.get("/stats"))
        list_requests = count_requests(fleet.instances.get("/stats"))
        processor_s_before = [processor_s(process) for process in processes]
        start_s = time.monotonic()
        time.sleep(MEASURE_S)
        elapsed_s = time.monotonic() - start_s
        used = [
            (processor_s(process) - base) / elapsed_s
            for process, base in zip(processes, processor_s_before, strict=True)
        ]
        return EntryPoint(
            entries=count,
            processor_share=mean(used),
            max_processor_share=max(used),
            resident_bytes=mean(p.memory_info().rss for p in processes),
            private_bytes=mean(p.memory_full_info().uss for p in processes),
            threads=mean(p.num_threads() for p in processes),
            table_requests_per_s=(
                count_requests(fleet.table.get("/stats")) - table_requests
            )
            / elapsed_s,
            list_requests_per_s=(
                count_requests(fleet.instances.get("/stats")) - list_requests
            )
            / elapsed_s,
        )


def processor_s(process: psutil.Process) -> float:
    """Return the CPU time of a process, in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


def main() -> None:
    """Measure all points and write the result file."""
    points = [measure(count) for count in ENTRIES]
    for point in points:
        print(point)
    save(
        "entry",
        command="python -m bench.capacity.entry_cost",
        seed=SEED,
        series={"points": points},
        fits=fit_fields(
            points,
            "entries",
            (
                "processor_share",
                "resident_bytes",
                "private_bytes",
                "table_requests_per_s",
                "list_requests_per_s",
            ),
        ),
    )


if __name__ == "__main__":
    main()
