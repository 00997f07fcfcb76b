"""Small deployment in which two models keep parts in the same KV stores."""

import asyncio
import json
import random

import fleet
import http_server
from model import BLOCK_TOKENS, TOKEN_BYTES, KvStore, ModelRunner
from store import Store

HOSTS = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
BANDWIDTH_MBPS = 88_000
STORE_TOKENS = 1_080_580
PART_TOKENS = 12_800
PARTS = {"a": 30, "b": 120}
RUNNERS = {"a": 9, "b": 6}
LOAD_S = {"a": (1.9, 2.5, 3.1), "b": (3.1,)}  # 1.9 s, longer while over 3 do so
CACHE_TOKENS = 91_473
WARM_S = 12.0


def configuration(stores):
    services = [
        {
            "name": f"llm-{name}",
            "maxConnections": 360,
            "engine": {
                "slots": 48,
                "kvCapacityTokens": CACHE_TOKENS,
                "kvTokenBytes": TOKEN_BYTES,
                "models": [{"name": f"model-{name}"}],
            },
        }
        for name in RUNNERS
    ]
    routes = [
        {
            "name": f"route-{name}",
            "host": "shop.example",
            "prefix": f"/{name}/",
            "kind": "streaming",
            "timeoutMs": 10_000,
            "targetLatencyMs": 1_000,
            "gapAimMs": 600,
            "sticky": True,
            "service": f"llm-{name}",
            "maxAttempts": 2,
        }
        for name in RUNNERS
    ]
    return json.dumps(
        {
            "version": 1,
            "routes": routes,
            "services": [*services, *(store.entry() for store in stores)],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [{"name": "shop", "apiKeys": ["key-1"]}],
        }
    ).encode()


class Clients:
    """Clients that ask for parts of prompts at random, at a steady rate."""

    def __init__(self, port, record, requests_per_s):
        self._port = port
        self._requests_per_s = requests_per_s
        self._record = record
        self._random = random.Random(1)
        self._number = 0
        self._tasks = set()
        self.statuses = {}

    async def async_run(self, name):
        """Send requests for one model until cancelled."""
        while True:
            await asyncio.sleep(1 / self._requests_per_s[name])
            self._number += 1
            task = asyncio.create_task(self._async_ask(name, self._number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_ask(self, name, number):
        part = self._random.randrange(PARTS[name])
        headers = [
            ("Host", "shop.example"),
            ("Attempt-Id", f"attempt-{name}-{number}"),
            ("Deadline-Ms", "10000"),
            ("Authorization", "Bearer key-1"),
            ("Model", f"model-{name}"),
            ("Token-Usage", f"{PART_TOKENS + BLOCK_TOKENS},2"),
            (
                "Prompt-Prefix",
                f"{name}{part:06x}:{PART_TOKENS},{number:012x}:{BLOCK_TOKENS}",
            ),
        ]
        host = self._random.choice(HOSTS)
        try:
            status, answer, _ = await http_server.async_call(
                host, self._port, "POST", f"/{name}/ask", headers, b"question"
            )
        except (OSError, asyncio.IncompleteReadError, KeyError):
            status = 0
        key = (name, status)
        self.statuses[key] = self.statuses.get(key, 0) + 1


async def async_watch(
    record, async_name_weights, *, watch_s, requests_per_s, store_zones
):
    """Warm the stores, name weights, and return whether a freed part was used.

    Parameters
    ----------
    async_name_weights : callable
        Names weights by calling its argument with a model and a version.
    watch_s : float
        Time to watch after the last version was named.
    requests_per_s : dict of str to float
        Rate of the requests for each model.
    store_zones : list of str
        Zone of each KV store; the runners are in zone-1.
    """
    platform = Store()
    machines = fleet.Fleet(HOSTS, await platform.async_start(), record)
    stores = [
        KvStore(
            f"cache-{number}",
            record,
            zone=zone,
            bandwidth_mbps=BANDWIDTH_MBPS,
            capacity_tokens=STORE_TOKENS,
        )
        for number, zone in enumerate(store_zones, 1)
    ]
    by_address = {await store.async_start(): store for store in stores}
    runners = [
        ModelRunner(
            f"i-{name}{number}",
            f"llm-{name}",
            f"model-{name}",
            by_address,
            record,
            load_s=LOAD_S[name][number % len(LOAD_S[name])],
            cache_tokens=CACHE_TOKENS,
        )
        for name, count in RUNNERS.items()
        for number in range(1, count + 1)
    ]
    for runner in runners:
        await runner.async_start()
        platform.put("servers", runner.name, runner.registry_entry())
    platform.put("op", "config", configuration(stores))

    def name_weights(name, version):
        record.note(f"version {version} of model-{name} is named")
        document = {"model": f"model-{name}", "version": version}
        platform.put("op", f"version/model-{name}", json.dumps(document).encode())

    try:
        await machines.async_start()
        clients = Clients(machines.ports["front"], record, requests_per_s)
        loads = [asyncio.create_task(clients.async_run(name)) for name in RUNNERS]
        await asyncio.sleep(WARM_S)
        for store in stores:
            record.note(f"store {store.name} holds {store.held()}")
        await async_name_weights(name_weights)
        await asyncio.sleep(watch_s)
        for load in loads:
            load.cancel()
        await asyncio.sleep(1.0)
        record.note(f"answers by model and status: {clients.statuses}")
        record.note(f"fetches: {[store.fetch_count for store in stores]}")
        broken = [fetch for store in stores for fetch in store.freed_fetches]
        record.note(f"fetches of freed parts: {len(broken)}")
        return bool(broken)
    finally:
        await machines.async_stop()

