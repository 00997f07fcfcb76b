"""New weights are named for one of two models that share the KV stores."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import fleet  # noqa: E402
from two_models import async_watch  # noqa: E402

WATCH_S = 40.0
STORE_ZONES = ["zone-1", "zone-1"]
REQUESTS_PER_S = {"a": 4, "b": 30}


async def async_case(record, has_trouble):
    async def async_name_weights(name_weights):
        if has_trouble:
            name_weights("a", 2)

    return await async_watch(
        record,
        async_name_weights,
        watch_s=WATCH_S,
        requests_per_s=REQUESTS_PER_S,
        store_zones=STORE_ZONES,
    )


fleet.run(async_case, FOLDER)
