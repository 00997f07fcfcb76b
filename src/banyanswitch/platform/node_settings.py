"""Settings file that the platform provides on each machine."""

import tomllib
from pathlib import Path
from typing import Annotated, Final

import msgspec

from banyanswitch.components.forwarding.settings import ForwardingSettings
from banyanswitch.decisions.memory_account import default_limit_bytes
from banyanswitch.exceptions import Finding, SettingsError
from banyanswitch.platform.const import MILLISECONDS_PER_S

BYTES_PER_MB: Final = 1024 * 1024


class _Listen(msgspec.Struct, frozen=True):
    front: str
    readyAddr: str  # noqa: N815
    directory: str
    control: str = ""


class _Limits(msgspec.Struct, frozen=True):
    memoryMb: float = 256.0  # noqa: N815
    fileDescriptors: int = 1024  # noqa: N815
    # 0 means the share of `memoryMb` that `default_limit_bytes` derives.
    clientMemoryMb: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # noqa: N815


class _Bounds(msgspec.Struct, frozen=True):
    drainTimeoutMs: float = 2000.0  # noqa: N815
    gracePeriodS: float = 8.0  # noqa: N815
    retryBudgetRatio: float = 0.1  # noqa: N815
    budgetWindowS: float = 10.0  # noqa: N815
    budgetSlack: float = 20.0  # noqa: N815
    leaseMs: float = 3000.0  # noqa: N815
    versionPropagationMs: float = 12000.0  # noqa: N815
    ttl_max_s: float = 5.0
    coldOver: float = 0.0  # noqa: N815
    coldSlack: float = 0.0  # noqa: N815
    evacuationMs: float = 5000.0  # noqa: N815


class _Store(msgspec.Struct, frozen=True):
    address: str


class _Node(msgspec.Struct, frozen=True):
    nodeName: str  # noqa: N815
    ip: str
    zone: str
    internalPortRange: tuple[int, int]  # noqa: N815
    listen: _Listen
    platform: _Store
    # Addresses of the control interface; only their hosts are used.
    seedAddresses: list[str] = []  # noqa: N815
    heartbeatIntervalMs: float = 1000.0  # noqa: N815
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def load_node_settings(path: Path) -> ForwardingSettings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or is invalid; contains only the first finding.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        node = msgspec.convert(document, _Node, strict=False)
    except OSError as error:
        raise SettingsError([Finding(str(path), "can't be read")]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError([Finding(str(path), str(error))]) from error
    except msgspec.ValidationError as error:
        reason, _, place = str(error).partition(" - at `$")
        raise SettingsError([Finding(place.strip(".`") or "file", reason)]) from error
    bounds = node.bounds
    port = node.internalPortRange[0]
    memory_bytes = int(node.limits.memoryMb * BYTES_PER_MB)
    client_bytes = int(node.limits.clientMemoryMb * BYTES_PER_MB)
    return ForwardingSettings(
        instance=node.nodeName,
        failure_domain=node.zone,
        host=node.ip,
        caller_address=node.listen.front,
        readiness_address=node.listen.readyAddr,
        directory_address=node.listen.directory,
        peer_port=port,
        request_port=port + 1,
        peer_seeds=tuple(
            f"{address.rpartition(':')[0]}:{port}" for address in node.seedAddresses
        ),
        store_address=node.platform.address,
        entry_interval_s=node.heartbeatIntervalMs / MILLISECONDS_PER_S,
        memory_bytes=memory_bytes,
        client_memory_bytes=client_bytes or default_limit_bytes(memory_bytes),
        max_descriptors=node.limits.fileDescriptors,
        drain_s=bounds.drainTimeoutMs / MILLISECONDS_PER_S,
        grace_s=bounds.gracePeriodS,
        retry_ratio=bounds.retryBudgetRatio,
        retry_window_s=bounds.budgetWindowS,
        retry_slack=bounds.budgetSlack,
        lease_s=bounds.leaseMs / MILLISECONDS_PER_S,
        weights_deadline_s=bounds.versionPropagationMs / MILLISECONDS_PER_S,
        address_ttl_s=bounds.ttl_max_s,
        cold_over=max(0.0, bounds.coldOver),
        cold_slack=max(0.0, bounds.coldSlack),
        evacuation_s=bounds.evacuationMs / MILLISECONDS_PER_S,
    )
