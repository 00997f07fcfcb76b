"""Cold upstreams and evacuated failure domains, with real processes."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from banyanswitch.decisions.stable_senders import SETTLING_S
from tests.process.platform_fleet import (
    HOSTS,
    Platform,
    configuration,
    registry_entry,
)

pytestmark = pytest.mark.process
COLD_PER_S = 6.0
COLD_MS = 4000
ALLOWED = COLD_PER_S * 1.5 + 5
KNOWN_S = 0.5
"""Time after which both instances know of an entry."""
EVACUATION_S = 5.0


class ColdPlatform(Platform):
    """Platform whose service has cold upstreams, in two failure domains."""

    sequence = 1

    def _settings(self, host: str) -> str:
        bounds = "[bounds]\ncoldOver = 1.5\ncoldSlack = 5"
        return super()._settings(host).replace("[bounds]", bounds)

    async def async_set_up(self) -> None:
        document = json.loads(configuration(2))
        cold = {"coldS": COLD_MS / 1000, "coldPerS": COLD_PER_S}
        document["services"][0] |= cold
        await self.store.async_put("op", "config", json.dumps(document).encode())
        await self.async_enter("i-2")
        await asyncio.sleep(SETTLING_S)

    async def async_enter(self, name: str, cold_ms: int = 0) -> None:
        self.sequence += 1
        entry = json.loads(registry_entry(name, self._addresses[name]))
        entry |= {
            "zone": "z" + name[-1],
            "sequence": self.sequence,
            "coldRemainingMs": cold_ms,
        }
        await self.store.async_put("servers", name, json.dumps(entry).encode())


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[ColdPlatform]:
    platform = ColdPlatform(tmp_path)
    try:
        await platform.async_start()
        await platform.async_set_up()
        yield platform
    finally:
        await platform.async_stop()


async def async_load(platform: Platform, length_s: float) -> Counter[int]:
    """Send calls to both instances and return their statuses."""
    statuses: Counter[int] = Counter()
    loop = asyncio.get_running_loop()
    ends_at_s = loop.time() + length_s

    async def async_work(host: str, worker: int) -> None:
        number = 0
        while loop.time() < ends_at_s:
            number += 1
            attempt = f"{host}-{worker}-{ends_at_s}-{number}"
            status, _, _ = await platform.async_call("/again/", attempt, host=host)
            statuses[status] += 1
            await asyncio.sleep(0.05)

    await asyncio.gather(
        *(async_work(host, worker) for host in HOSTS for worker in range(4))
    )
    return statuses


# Guards against instances that load a cold upstream like a warm one, or never again.
async def test_cold_upstream_gets_its_cold_rate_from_all_instances(
    platform: ColdPlatform,
) -> None:
    loop = asyncio.get_running_loop()
    cold = platform.upstreams["i-1"]
    await async_load(platform, 1.0)
    await platform.async_enter("i-1", COLD_MS)
    cold_at_s = loop.time()
    statuses = await async_load(platform, COLD_MS / 1000 - 0.5)
    ended_at_s = loop.time()
    since_s = cold_at_s + KNOWN_S
    assert 0 < cold.most_arrivals(1.0, since_s, ended_at_s) <= ALLOWED
    assert statuses[200] == statuses.total()
    await asyncio.sleep(cold_at_s + COLD_MS / 1000 + KNOWN_S - loop.time())
    warm_at_s = loop.time()
    await async_load(platform, 2.0)
    assert cold.most_arrivals(1.0, warm_at_s) > ALLOWED


# Guards against requests at an evacuated failure domain, and one that stays out of use.
async def test_nothing_reaches_an_evacuated_domain_until_its_row_is_removed(
    platform: ColdPlatform,
) -> None:
    loop = asyncio.get_running_loop()
    near, far = platform.upstreams["i-1"], platform.upstreams["i-2"]
    await async_load(platform, 1.0)
    assert near.arrived_at_s
    await platform.store.async_put("op", "evacuate/z1", b"{}")
    evacuated_at_s = loop.time()
    statuses = await async_load(platform, EVACUATION_S + 1.5)
    assert statuses[200] == statuses.total()
    assert max(near.arrived_at_s) < evacuated_at_s + EVACUATION_S
    assert max(far.arrived_at_s) > evacuated_at_s + EVACUATION_S

    await platform.store.async_put("op", "evacuate/z2", b"{}")
    await asyncio.sleep(KNOWN_S)
    status, _, headers = await platform.async_call("/again/", "all-evacuated")
    assert status == 503
    assert float(headers["Retry-After"]) > 0.0

    returned_at_s = loop.time()
    await platform.store.async_put("op", "evacuate/z1", None)
    await asyncio.sleep(KNOWN_S)
    # Without a later entry, the upstream may be cold.
    await async_load(platform, 2.0)
    assert 0 < near.most_arrivals(1.0, returned_at_s) <= ALLOWED
    await platform.async_enter("i-1")
    await asyncio.sleep(KNOWN_S)
    statuses = await async_load(platform, 1.0)
    assert statuses[200] == statuses.total()
    assert near.most_arrivals(1.0, returned_at_s) > ALLOWED
