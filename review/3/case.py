"""A tenant becomes isolated by a new configuration."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet  # noqa: E402
import http_server  # noqa: E402
from model import TOKEN_BYTES, ModelRunner  # noqa: E402
from store import Store  # noqa: E402

HOSTS = ["127.0.0.2", "127.0.0.3"]
CACHE_TOKENS = 91_473
PARTS = 4
PART_TOKENS = 12_800
CONFIG_APPLY_S = 2.0
WAIT_S = 5.0


def configuration(version, *, is_isolated):
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "route-b",
                    "host": "shop.example",
                    "prefix": "/b/",
                    "kind": "streaming",
                    "timeoutMs": 10_000,
                    "targetLatencyMs": 1_000,
                    "gapAimMs": 600,
                    "sticky": True,
                    "service": "llm-b",
                    "maxAttempts": 2,
                }
            ],
            "services": [
                {
                    "name": "llm-b",
                    "maxConnections": 360,
                    "engine": {
                        "slots": 48,
                        "kvCapacityTokens": CACHE_TOKENS,
                        "kvTokenBytes": TOKEN_BYTES,
                        "models": [{"name": "model-b"}],
                    },
                }
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1048576,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": [
                {"name": "shop-1", "apiKeys": ["key-1"], "isolated": is_isolated},
                {"name": "shop-2", "apiKeys": ["key-2"], "isolated": False},
            ],
        }
    ).encode()


async def async_ask(port, record, tenant, part):
    """Send one request of a tenant that uses a part; return the status."""
    attempt = f"attempt-{tenant}-{part}"
    headers = [
        ("Host", "shop.example"),
        ("Attempt-Id", attempt),
        ("Deadline-Ms", "10000"),
        ("Authorization", f"Bearer key-{tenant}"),
        ("Model", "model-b"),
        ("Token-Usage", f"{PART_TOKENS + 16},2"),
        ("Prompt-Prefix", f"b{part:06x}:{PART_TOKENS},{tenant}{part:011x}:16"),
    ]
    host = HOSTS[part % len(HOSTS)]
    status, _, _ = await http_server.async_call(
        host, port, "POST", "/b/ask", headers, b"question"
    )
    record.note(f"{attempt} of shop-{tenant} gets {status}")
    return status


async def async_case(record, has_trouble):
    platform = Store()
    machines = fleet.Fleet(HOSTS, await platform.async_start(), record)
    runners = [
        ModelRunner(
            f"i-{number}",
            "llm-b",
            "model-b",
            {},
            record,
            load_s=1.9,
            cache_tokens=CACHE_TOKENS,
        )
        for number in (1, 2)
    ]
    for runner in runners:
        await runner.async_start()
        platform.put("servers", runner.name, runner.registry_entry())
    platform.put("op", "config", configuration(1, is_isolated=False))
    try:
        await machines.async_start()
        await asyncio.sleep(3.5)
        port = machines.ports["front"]
        for part in range(PARTS):
            await async_ask(port, record, 1, part)
        acknowledged_at_s = time.monotonic()
        if has_trouble:
            platform.put("op", "config", configuration(2, is_isolated=True))
            record.note("version 2 of the configuration, with shop-1 isolated, is stored")
        await asyncio.sleep(WAIT_S)
        for part in range(PARTS):
            await async_ask(port, record, 2, part)
        isolated = {"shop-1"} if has_trouble else set()
        broken = False
        for runner in runners:
            for at_s, attempt, tenant, part, maker in runner.uses:
                if maker == tenant or at_s < acknowledged_at_s + CONFIG_APPLY_S:
                    continue
                record.note(f"{attempt} of {tenant} used part {part} that {maker} made")
                broken = broken or bool({tenant, maker} & isolated)
        return broken
    finally:
        await machines.async_stop()


fleet.run(async_case, FOLDER)
