"""Configuration of Yushan Slopeworks, printed as a document.

Run ``python examples/yushan.py > yushan.json``. A JSON file that maps the names
of upstreams and stores to URLs can be passed to use other addresses:
``python examples/yushan.py --urls-file urls.json``.
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

FAILURE_DOMAINS = ("taipei", "taoyuan", "hsinchu", "yilan")
ANSWERING = "answering"
TICKETING = "ticketing"
WEIGHT_VERSION = "2025-06-01"
NEXT_WEIGHT_VERSION = "2025-06-02"
RUNNERS = 9
TICKETING_SERVERS = 4
GIB = 2**30

LARGE_WORKSPACES = ("summit-resorts", "yushan-phone")
SMALL_WORKSPACES = (
    "alpine-tours",
    "island-travel",
    "formosa-agents",
    "snow-school",
    "rental-desk",
    "lodge-desk",
    "season-office",
    "tariff-office",
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
    weight_url = known_urls.get("weights", "http://10.30.9.1:8000")
    return Configuration(
        services=(
            Service(
                name=ANSWERING,
                kind=ServiceKind.MODEL,
                weight_version=WEIGHT_VERSION,
                swap=SwapPolicy(loads_at_once=3, load_s=2.0, min_serving_share=0.6),
                reuse=ReusePolicy(
                    first_token_weight=0.2, recompute_weight=1.0, link_weight=0.1
                ),
            ),
            Service(name=TICKETING, kind=ServiceKind.PLAIN, request_timeout_s=10.0),
        ),
        workspaces=tuple(
            workspace(name) for name in (*LARGE_WORKSPACES, *SMALL_WORKSPACES)
        ),
        upstreams=(
            *(runner(number, known_urls) for number in range(RUNNERS)),
            *(
                ticketing_server(number, known_urls)
                for number in range(TICKETING_SERVERS)
            ),
        ),
        stores=tuple(store(number, known_urls) for number in range(2)),
        links=tuple(
            Link(store=f"store-{number}", bytes_per_s=3.0e8) for number in range(2)
        ),
        releases=tuple(
            WeightRelease(
                service=ANSWERING,
                version=version,
                source=f"{weight_url}/weights/{ANSWERING}/{version}",
            )
            for version in (WEIGHT_VERSION, NEXT_WEIGHT_VERSION)
        ),
    )


def workspace(name: str) -> Workspace:
    """Return a workspace; its example key is ``example-key-<name>``."""
    is_large = name in LARGE_WORKSPACES
    is_phone = name.endswith(("-phone", "-desk"))
    return Workspace(
        name=name,
        key_digests=(hashlib.sha256(f"example-key-{name}".encode()).hexdigest(),),
        limits=Limits(
            requests_per_s=50.0 if is_large else 10.0,
            concurrent_requests=128 if is_large else 32,
        ),
        priority=Priority.INTERACTIVE if is_phone else Priority.BATCH,
    )


def runner(number: int, urls: Mapping[str, str]) -> Upstream:
    """Return a runner of the answering model; the last one ignores fencing."""
    name = f"{ANSWERING}-{number}"
    return Upstream(
        name=name,
        service=ANSWERING,
        url=urls.get(name, f"http://10.30.1.{number + 1}:8000"),
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        checks_fencing=number != RUNNERS - 1,
    )


def ticketing_server(number: int, urls: Mapping[str, str]) -> Upstream:
    """Return a server for lift passes and bookings."""
    name = f"{TICKETING}-{number}"
    return Upstream(
        name=name,
        service=TICKETING,
        url=urls.get(name, f"http://10.30.2.{number + 1}:8000"),
        failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        slots=16,
    )


def store(number: int, urls: Mapping[str, str]) -> KvStore:
    """Return a KV cache store."""
    name = f"store-{number}"
    return KvStore(
        name=name,
        url=urls.get(name, f"http://10.30.3.{number + 1}:8000"),
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
