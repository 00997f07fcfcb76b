"""Fake rows and decoders for tests of the upstream registry."""

import math
import random

import msgspec

from banyanswitch.components.forwarding.loads import LoadTracker
from banyanswitch.components.forwarding.models import (
    ForwardingConfiguration,
    UpstreamRecord,
)
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.decisions.ejection import EjectionPolicy, Ejector
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId
from banyanswitch.interfaces import Item, TableChanges

SERVICE = ServiceName("llm")
MODEL = "m"


class NoFeed:
    """Implements ``TableFeed``; the tests apply changes directly."""

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        return None

    async def async_read_table(self, table: str) -> TableChanges:
        raise NotImplementedError

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        raise NotImplementedError


class PlainDecoder:
    """Implements ``DocumentDecoder`` for rows that `Upstreams.put` writes."""

    def configuration(self, value: bytes) -> ForwardingConfiguration | None:
        return ForwardingConfiguration(int(value))

    def target_weights(self, key: str, value: bytes) -> tuple[str, int] | None:
        return MODEL, int(value)

    def upstream(self, key: str, value: bytes) -> UpstreamRecord | None:
        if value == b"?":
            return None
        return msgspec.json.decode(value, type=UpstreamRecord)


def record(
    name: str,
    *,
    version: int = 1,
    started_at_ms: int = 1,
    is_leaving: bool = False,
    domain: str = "z1",
) -> UpstreamRecord:
    return UpstreamRecord(
        name=UpstreamId(name),
        service=SERVICE,
        address=f"{name}:1",
        failure_domain=FailureDomainId(domain),
        slots=4,
        is_leaving=is_leaving,
        weight_versions={MODEL: version},
        started_at_ms=started_at_ms,
    )


class Upstreams:
    """Registry whose table rows are set by the test."""

    def __init__(self) -> None:
        self.mirror = TableMirror("servers", NoFeed(), random.Random(1))
        self.loads = LoadTracker()
        ejector = Ejector(EjectionPolicy(), random.Random(1))
        self.registry = UpstreamRegistry(
            self.mirror, PlainDecoder(), self.loads, ejector
        )
        self._version = 0

    def put(self, value: UpstreamRecord | bytes, name: str = "") -> None:
        self._version += 1
        if isinstance(value, bytes):
            item = Item(f"servers/{name}", self._version, value)
        else:
            content = msgspec.json.encode(value)
            item = Item(f"servers/{value.name}", self._version, content)
        self.mirror.apply_changes(TableChanges(self._version, (item,), ()))

    def remove(self, name: str) -> None:
        self._version += 1
        self.mirror.apply_changes(TableChanges(self._version, (), (f"servers/{name}",)))

    def accepting(self, now_s: float) -> list[str]:
        return [s.record.name for s in self.registry.accepting(SERVICE, now_s)]
