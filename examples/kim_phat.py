"""Configuration of Kim Phát Gold Buying Group, printed as a document.

Run ``python examples/kim_phat.py > kim_phat.json``. A JSON file that maps the names
of upstreams and stores to URLs can be passed to use other addresses:
``python examples/kim_phat.py --urls-file urls.json``.
"""

import hashlib
import json
from collections.abc import Mapping
from pathlib import Path

import fire

from banyanswitch.config import (
    Configuration,
    KvStore,
    Limits,
    Link,
    Priority,
    ReusePolicy,
    Service,
    ServiceKind,
    SwapPolicy,
    Upstream,
    WeightRelease,
    Workspace,
    render,
)

FAILURE_DOMAINS = ("hcmc-1", "hcmc-2", "hcmc-3")
APPRAISAL = "appraisal"
COUNTER = "counter"
WEIGHT_VERSION = "2025-06-01"
NEXT_WEIGHT_VERSION = "2025-06-02"
RUNNERS = 6
COUNTER_SERVERS = 3
GIB = 2**30

LARGE_WORKSPACES = ("kim-phat-counter", "kim-phat-appraisal")
SMALL_WORKSPACES = (
    "bao-tin-counter",
    "bao-tin-appraisal",
    "hoang-long-counter",
    "hoang-long-appraisal",
    "ngoc-mai-counter",
    "ngoc-mai-appraisal",
    "head-office",
    "audit-office",
)


def build(urls: Mapping[str, str] | None = None) -> Configuration:
    """Return the configuration.

    Parameters
    ----------
    urls : mapping of str to str, optional
        URLs of upstreams, stores and the weight store by name, which replace those of
        this file.
    """
    known_urls = urls or {}
    weight_url = known_urls.get("weights", "http://10.20.9.1:8000")
    return Configuration(
        services=(
            Service(
                name=APPRAISAL,
                kind=ServiceKind.MODEL,
                weight_version=WEIGHT_VERSION,
                swap=SwapPolicy(loads_at_once=2, load_s=1.0, min_serving_share=0.5),
                reuse=ReusePolicy(
                    first_token_weight=1.0, recompute_weight=0.2, link_weight=0.1
                ),
            ),
            Service(name=COUNTER, kind=ServiceKind.PLAIN, request_timeout_s=10.0),
        ),
        workspaces=tuple(
            workspace(name) for name in (*LARGE_WORKSPACES, *SMALL_WORKSPACES)
        ),
        upstreams=(
            *(runner(number, known_urls) for number in range(RUNNERS)),
            *(counter_server(number, known_urls) for number in range(COUNTER_SERVERS)),
        ),
        stores=tuple(store(number, known_urls) for number in range(2)),
        links=tuple(
            Link(store=f"store-{number}", bytes_per_s=1.25e9) for number in range(2)
        ),
        releases=tuple(
            WeightRelease(
                service=APPRAISAL,
                version=version,
                source=f"{weight_url}/weights/{APPRAISAL}/{version}",
            )
            for version in (WEIGHT_VERSION, NEXT_WEIGHT_VERSION)
        ),
    )


def workspace(name: str) -> Workspace:
    """Return a workspace; its example key is ``example-key-<name>``."""
    is_large = name in LARGE_WORKSPACES
    is_counter = name.endswith("-counter")
    return Workspace(
        name=name,
        key_digests=(hashlib.sha256(f"example-key-{name}".encode()).hexdigest(),),
        limits=Limits(
            requests_per_s=50.0 if is_large else 10.0,
            concurrent_requests=128 if is_large else 32,
        ),
        priority=Priority.INTERACTIVE if is_counter else Priority.BATCH,
    )


def runner(number: int, urls: Mapping[str, str]) -> Upstream:
    """Return a runner of the appraisal model; the last one ignores fencing."""
    name = f"{APPRAISAL}-{number}"
    return Upstream(
        name=name,
        service=APPRAISAL,
        url=urls.get(name, f"http://10.20.1.{number + 1}:8000"),
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        checks_fencing=number != RUNNERS - 1,
    )


def counter_server(number: int, urls: Mapping[str, str]) -> Upstream:
    """Return a server for the counter's transactions."""
    name = f"{COUNTER}-{number}"
    return Upstream(
        name=name,
        service=COUNTER,
        url=urls.get(name, f"http://10.20.2.{number + 1}:8000"),
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        slots=16,
    )


def store(number: int, urls: Mapping[str, str]) -> KvStore:
    """Return a KV cache store."""
    name = f"store-{number}"
    return KvStore(
        name=name,
        url=urls.get(name, f"http://10.20.3.{number + 1}:8000"),
        failure_domain=FAILURE_DOMAINS[number],
        memory_bytes=64 * GIB,
        disk_bytes=1024 * GIB,
    )


def main(urls_file: str = "") -> None:
    """Print the document.

    Parameters
    ----------
    urls_file : str
        JSON file that maps names to URLs.
    """
    urls = json.loads(Path(urls_file).read_text()) if urls_file else None
    print(render(build(urls)), end="")


if __name__ == "__main__":
    fire.Fire(main)
