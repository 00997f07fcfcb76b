"""Small fleet on loopback: stand-ins, entries and their configuration."""

import subprocess
from dataclasses import dataclass, field, replace
from functools import partial
from hashlib import sha256
from typing import Final

from banyanswitch.config import (
    Configuration,
    KvStore,
    Limits,
    Link,
    Service,
    ServiceKind,
    SwapPolicy,
    Upstream,
    WeightRelease,
    Workspace,
    render,
)
from banyanswitch.const import DEFAULT_PIECE_TOKENS
from banyanswitch.identifiers import (
    FailureDomainId,
    ServiceName,
    StoreId,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)
from bench.processes import (
    HOST,
    ChildProcess,
    ProcessError,
    ProcessGroup,
    is_ready,
    request_json,
    run_config,
    wait_until,
)

MODEL: Final = ServiceName("appraisal")
PLAIN: Final = ServiceName("counter")
FIRST_VERSION: Final = WeightVersion("v1")
SECOND_VERSION: Final = WeightVersion("v2")
FAILURE_DOMAINS: Final = tuple(FailureDomainId(name) for name in ("a", "b", "c"))
KEYS: Final = ("key-of-the-first-workspace", "key-of-the-second-workspace")
STORE_BYTES: Final = 64 * 1024 * 1024
LINK_BYTES_PER_S: Final = 50_000_000.0
PIECE_SIZE_BYTES: Final = 16_384


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """Sizes and speeds of a fleet.

    Parameters
    ----------
    engine_options : dict
        Options of every stand-in engine.
    entry_settings : dict
        Further settings of every entry, besides its name, failure domain and
        addresses.
    upstream_slots : int
        Requests that each upstream runs concurrently.
    instance_lag_s : float
        Delay of the platform's list of instances, in seconds.
    limits : Limits
        Limits of each workspace.
    """

    entries: int = 2
    engines: int = 2
    piece_tokens: int = DEFAULT_PIECE_TOKENS
    plain_services: int = 1
    engine_options: dict[str, object] = field(default_factory=dict)
    table_options: dict[str, object] = field(default_factory=dict)
    plain_options: dict[str, object] = field(default_factory=dict)
    entry_settings: dict[str, object] = field(default_factory=dict)
    instance_lag_s: float = 0.0
    upstream_slots: int = 8
    limits: Limits = field(
        default_factory=lambda: Limits(requests_per_s=2000.0, concurrent_requests=1000)
    )


class Fleet:
    """Processes started from one plan.

    Parameters
    ----------
    group : ProcessGroup
        Starts the processes and kills them at its exit.
    """

    def __init__(self, group: ProcessGroup, plan: FleetPlan) -> None:
        self._group = group
        self._plan = plan
        self._ports: list[list[int]] = []
        self.table = group.start_standin("table", **plan.table_options)
        self.instances = group.start_standin("instances", lag_s=plan.instance_lag_s)
        self.weights = group.start_standin("weights")
        self.store = group.start_standin("kv-store", bytes_per_s=LINK_BYTES_PER_S)
        engine_ports = group.reserve_ports(plan.engines)
        self.engines = [self._start_engine(i, p) for i, p in enumerate(engine_ports)]
        self.plain = [
            group.start_standin("plain", **plan.plain_options)
            for _ in range(plan.plain_services)
        ]
        self.entries: list[ChildProcess] = []
        self.configuration = self._make_configuration()

    def start_entries(self) -> None:
        """Start and register the planned entries, and wait until they are ready."""
        started = [self.start_entry() for _ in range(self._plan.entries)]
        for entry in started:
            self.register_instance(entry, "live")
        self.wait_ready()

    def start_entry(self) -> ChildProcess:
        """Start another entry without waiting until it is ready."""
        self._ports.append(self._group.reserve_ports(2))
        entry = self._launch_entry(len(self._ports) - 1)
        self.entries.append(entry)
        return entry

    def restart_entry(self, index: int) -> ChildProcess:
        """Restart an entry that has exited, under the same addresses."""
        self.entries[index] = self._launch_entry(index)
        return self.entries[index]

    def restart_engine(self, index: int) -> ChildProcess:
        """Restart an engine that has exited, under the same address."""
        self.engines[index] = self._start_engine(index, self.engines[index].port)
        return self.engines[index]

    def register_instance(self, entry: ChildProcess, state: str) -> None:
        """Add an instance to the platform's list, or update its state."""
        index = self.entries.index(entry)
        record = {
            "instance": entry.name,
            "failure_domain": FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            "peer_address": self._peer_address(index),
            "http_url": entry.url,
            "state": state,
        }
        request_json("PUT", f"{self.instances.url}/instances/{entry.name}", record)

    def wait_ready(self) -> None:
        """Wait until all running entries are ready."""
        for entry in self.entries:
            if entry.is_running:
                wait_until(partial(is_ready, entry), f"{entry.name} is ready")

    def apply(self, configuration: Configuration | None = None) -> None:
        """Apply a configuration with ``banyanswitch-config``.

        Raises
        ------
        ProcessError
            If the command failed.
        """
        if configuration is not None:
            self.configuration = configuration
        result = self.try_apply(self.configuration)
        if result.returncode != 0:
            raise ProcessError(
                f"banyanswitch-config apply failed: {result.stdout}{result.stderr}"
            )

    def try_apply(
        self, configuration: Configuration, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run ``banyanswitch-config apply`` and return its status and output."""
        return run_config(
            f"--table_url={self.table.url}",
            "apply",
            "-",
            *arguments,
            document=render(configuration),
        )

    def with_version(self, version: WeightVersion) -> Configuration:
        """Return the configuration with another weight version for model services."""
        services = tuple(
            replace(service, weight_version=version)
            if service.kind is ServiceKind.MODEL
            else service
            for service in self.configuration.services
        )
        return replace(self.configuration, services=services)

    def revision_of(self, entry: ChildProcess) -> int:
        """Return the configuration revision that is active at an entry."""
        return int(entry.get("/health/live")["configuration_revision"])

    def engine_counter(self, name: str) -> int:
        """Return a counter summed over the running engines."""
        return sum(e.counter(name) for e in self.engines if e.is_running)

    def executions(self) -> dict[str, int]:
        """Return the executions of the plain services, by digest of the body."""
        total: dict[str, int] = {}
        for service in self.plain:
            for digest, count in service.get("/executions")["by_digest"].items():
                total[digest] = total.get(digest, 0) + count
        return total

    def _peer_address(self, index: int) -> str:
        return f"tcp://{HOST}:{self._ports[index][1]}"

    def _launch_entry(self, index: int) -> ChildProcess:
        port, peer_port = self._ports[index]
        others = (i for i in range(len(self._ports)) if i != index)
        return self._group.start_entry(
            f"entry-{index + 1}",
            FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            port=port,
            peer_port=peer_port,
            peer_seeds=",".join(self._peer_address(i) for i in others),
            table_url=self.table.url,
            instance_list_url=self.instances.url,
            **self._plan.entry_settings,
        )

    def _start_engine(self, index: int, port: int) -> ChildProcess:
        return self._group.start_standin(
            "engine",
            port=port,
            upstream=f"engine-{index + 1}",
            service=MODEL,
            version=FIRST_VERSION,
            weights_url=self.weights.url,
            checks_fencing=index % 2 == 0,
            piece_tokens=self._plan.piece_tokens,
            **self._plan.engine_options,
        )

    def _make_configuration(self) -> Configuration:
        return Configuration(
            services=(
                Service(
                    name=MODEL,
                    kind=ServiceKind.MODEL,
                    weight_version=FIRST_VERSION,
                    piece_size_bytes=PIECE_SIZE_BYTES,
                    piece_tokens=self._plan.piece_tokens,
                    swap=SwapPolicy(loads_at_once=1),
                ),
                Service(name=PLAIN, kind=ServiceKind.PLAIN),
            ),
            workspaces=tuple(self._workspace(i, key) for i, key in enumerate(KEYS)),
            upstreams=(
                *(self._upstream(MODEL, i, e) for i, e in enumerate(self.engines)),
                *(self._upstream(PLAIN, i, p) for i, p in enumerate(self.plain)),
            ),
            stores=(
                KvStore(
                    name=StoreId("store-1"),
                    url=self.store.url,
                    failure_domain=FAILURE_DOMAINS[0],
                    memory_bytes=STORE_BYTES,
                    disk_bytes=STORE_BYTES,
                ),
            ),
            links=(Link(store=StoreId("store-1"), bytes_per_s=LINK_BYTES_PER_S),),
            releases=tuple(
                WeightRelease(
                    service=MODEL,
                    version=version,
                    source=f"{self.weights.url}/weights/{MODEL}/{version}",
                )
                for version in (FIRST_VERSION, SECOND_VERSION)
            ),
        )

    def _workspace(self, index: int, key: str) -> Workspace:
        return Workspace(
            name=WorkspaceId(f"workspace-{index + 1}"),
            key_digests=(sha256(key.encode()).hexdigest(),),
            limits=self._plan.limits,
        )

    def _upstream(
        self, service: ServiceName, index: int, process: ChildProcess
    ) -> Upstream:
        return Upstream(
            name=UpstreamId(f"{service}-{index + 1}"),
            service=service,
            url=process.url,
            failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            checks_fencing=service != MODEL or index % 2 == 0,
            slots=self._plan.upstream_slots,
        )
