"""Late orders of weights, carried out by runners that have started again."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from kit import (  # noqa: E402
    MODEL,
    Deployment,
    Engine,
    async_request,
    engine_configuration,
    prompt_headers,
    run,
)

RUNNERS = 6
LATE_ORDERS = 2
LATE_S = 10.0
CRASHED_S = 1.0
NEXT_VERSION_S = 5.0
LOAD_TIMEOUT_S = 12.0
CALM_S = 24.0
"""Time from the last late order to the end; 1.5 x `versionPropagationMs` is 18 s."""
PAUSE_S = 0.1
NEWEST = 3


def name_weights(deployment: Deployment, version: int) -> None:
    document = {"model": MODEL, "version": version}
    deployment.store.put_json("op", f"version/{MODEL}", document)
    deployment.record.line(f"weights {version} are named")


class LateOrders:
    """Lets the first orders of a rollout be carried out late."""

    def __init__(self, engines: list[Engine]) -> None:
        self.taken: list[Engine] = []
        for engine in engines:
            engine.delay_of_order = self._delay_s

    def _delay_s(self, engine: Engine) -> float | None:
        if len(self.taken) >= LATE_ORDERS or engine in self.taken:
            return None
        self.taken.append(engine)
        return LATE_S


async def async_crash(deployment: Deployment, engines: list[Engine]) -> None:
    for engine in engines:
        deployment.stop_beats(engine.name)
        await engine.async_crash()
    await asyncio.sleep(CRASHED_S)
    for engine in engines:
        await engine.async_start_again()
        deployment.start_beats(engine.name)


async def async_load(deployment: Deployment, length_s: float) -> Counter[int]:
    """Send one request after the other, and count the statuses."""
    statuses: Counter[int] = Counter()
    machines = deployment.machines
    ends_at_s = time.monotonic() + length_s
    number = 0
    while time.monotonic() < ends_at_s:
        number += 1
        attempt = f"q{number:04d}"
        host = machines.hosts[number % len(machines.hosts)]
        status, _, _ = await async_request(
            host, machines.ports, "POST", "/grade/x", prompt_headers(attempt), b"body"
        )
        deployment.record.line(f"client {attempt} gets {status} from {host}")
        statuses[status] += 1
        await asyncio.sleep(PAUSE_S)
    return statuses


async def async_main(folder: Path, has_trouble: bool) -> int:
    makers = [
        lambda record, n=number: Engine(f"i-{n}", "llm", record)
        for number in range(1, RUNNERS + 1)
    ]
    deployment = Deployment(folder, 3, makers, engine_configuration())
    engines = [e for e in deployment.runners.values() if isinstance(e, Engine)]
    for engine in engines:
        engine.events = 5
    try:
        await deployment.async_start()
        late = LateOrders(engines) if has_trouble else None
        began_s = time.monotonic()
        name_weights(deployment, NEWEST - 1)
        await asyncio.sleep(NEXT_VERSION_S)
        name_weights(deployment, NEWEST)
        ends_at_s = time.monotonic() + LOAD_TIMEOUT_S
        while any(e.weights < NEWEST for e in engines):
            if time.monotonic() > ends_at_s:
                raise RuntimeError("the weights were not rolled out in the first place")
            await asyncio.sleep(0.1)
        deployment.record.line(f"all runners have weights {NEWEST}")
        if late is not None:
            await async_crash(deployment, late.taken)
        before = await async_load(deployment, 2.0)
        left_s = began_s + LATE_S + 6.0 - time.monotonic()
        await asyncio.sleep(max(0.0, left_s))
        after = await async_load(deployment, CALM_S)
        old = [e.name for e in engines if e.weights < NEWEST]
        result = (
            f"runners with older weights at the end: {old}; "
            f"statuses before {dict(before)}, at the end {dict(after)}"
        )
        deployment.record.line(result)
        print(result)
        return 1 if len(old) > 1 and len(old) > 0.1 * RUNNERS else 0
    finally:
        await deployment.async_stop()


run(async_main, Path(__file__).resolve().parent)
