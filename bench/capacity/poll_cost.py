"""CPU time of polling the load of an upstream over HTTP.

Run ``python -m bench.capacity.poll_cost``.
"""

import asyncio
import os
import time
from dataclasses import dataclass

import aiohttp
import uvloop

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.upstream_load.poller import HttpLoadPoller
from banyanswitch.config.models import Upstream
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId
from bench.capacity.slopes import fit_fields, save
from bench.processes import ProcessGroup

# The deployment forbids io_uring, so uvloop must not use it here either.
os.environ["UV_USE_IO_URING"] = "0"

SEED = 0
RATES_PER_S = (4, 8, 16, 32, 64, 128)
RUN_S = 4.0


@dataclass(frozen=True, slots=True)
class PollPoint:
    """Share of a core that polling uses at one rate."""

    polls_per_s: float
    processor_share: float


async def async_measure(url: str, rate_per_s: int) -> PollPoint:
    """Measure polling at a constant rate."""
    upstream = Upstream(
        name=UpstreamId("runner"),
        service=ServiceName("model"),
        url=url,
        failure_domain=FailureDomainId("domain-0"),
    )
    loop = asyncio.get_running_loop()
    async with aiohttp.ClientSession(connector=LimitedConnector()) as session:
        poller = HttpLoadPoller(session)
        await poller.async_poll(upstream, loop.time())
        processor_s = time.process_time()
        start_s = loop.time()
        polls = 0
        while loop.time() - start_s < RUN_S:
            await poller.async_poll(upstream, loop.time())
            polls += 1
            await asyncio.sleep(max(0.0, start_s + polls / rate_per_s - loop.time()))
        elapsed_s = loop.time() - start_s
        processor_s = time.process_time() - processor_s
    return PollPoint(polls / elapsed_s, processor_s / elapsed_s)


def main() -> None:
    """Measure all points and write the result file."""
    with ProcessGroup() as group:
        engine = group.start_standin("engine", service="model", version="v1")
        points = [uvloop.run(async_measure(engine.url, r)) for r in RATES_PER_S]
    for point in points:
        print(point)
    save(
        "poll",
        command="python -m bench.capacity.poll_cost",
        seed=SEED,
        series={"points": points},
        fits=fit_fields(points, "polls_per_s", ("processor_share",)),
    )


if __name__ == "__main__":
    main()
