"""Encoding of a configuration as records, one per key.

Deltas in the table service and between instances consist of changed records.
Therefore the size of a delta depends on the number of changed records, not on the size
of the configuration.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import msgspec

from banyanswitch.config.models import (
    Configuration,
    KvStore,
    Link,
    Retention,
    Service,
    Upstream,
    WeightRelease,
    Workspace,
)

RETENTION_KEY: Final = "retention"

ConfigurationObject = (
    Service | Workspace | Upstream | KvStore | Link | WeightRelease | Retention
)


class RecordKind(Enum):
    """Kind of a record; the value is the first part of its key."""

    SERVICE = "service"
    WORKSPACE = "workspace"
    UPSTREAM = "upstream"
    STORE = "store"
    LINK = "link"
    RELEASE = "release"
    RETENTION = "retention"


RECORD_TYPES: Final[Mapping[RecordKind, type]] = {
    RecordKind.SERVICE: Service,
    RecordKind.WORKSPACE: Workspace,
    RecordKind.UPSTREAM: Upstream,
    RecordKind.STORE: KvStore,
    RecordKind.LINK: Link,
    RecordKind.RELEASE: WeightRelease,
    RecordKind.RETENTION: Retention,
}

_DECODERS: Final[Mapping[RecordKind, msgspec.msgpack.Decoder[Any]]] = {
    kind: msgspec.msgpack.Decoder(record_type)
    for kind, record_type in RECORD_TYPES.items()
}


@dataclass(frozen=True, slots=True)
class RecordChange:
    """Write or removal of one record.

    Parameters
    ----------
    value : bytes or None
        Encoded record; ``None`` removes it.
    """

    key: str
    value: bytes | None


def record_kind(key: str) -> RecordKind:
    """Return the kind of the record with a key."""
    return RecordKind(key.partition("/")[0])


def record_key(record: ConfigurationObject) -> str:
    """Return the record key of a configuration object."""
    if isinstance(record, Retention):
        return RETENTION_KEY
    if isinstance(record, Link):
        return f"{RecordKind.LINK.value}/{record.store}"
    if isinstance(record, WeightRelease):
        return f"{RecordKind.RELEASE.value}/{record.service}/{record.version}"
    kind = next(kind for kind, cls in RECORD_TYPES.items() if cls is type(record))
    return f"{kind.value}/{record.name}"


def encode_record(record: ConfigurationObject) -> bytes:
    """Encode a configuration object."""
    return msgspec.msgpack.encode(record)


def decode_record(key: str, value: bytes | msgspec.Raw) -> Any:
    """Decode a record into its configuration object."""
    return _DECODERS[record_kind(key)].decode(value)


def to_records(configuration: Configuration) -> dict[str, bytes]:
    """Encode a configuration as records by key."""
    return {
        record_key(record): encode_record(record) for record in _objects(configuration)
    }


def from_records(records: Iterable[tuple[str, bytes]]) -> Configuration:
    """Decode records into a configuration, with objects sorted by record key."""
    grouped: dict[RecordKind, list[Any]] = {kind: [] for kind in RecordKind}
    for key, value in sorted(records):
        grouped[record_kind(key)].append(decode_record(key, value))
    retention = grouped[RecordKind.RETENTION]
    return Configuration(
        services=tuple(grouped[RecordKind.SERVICE]),
        workspaces=tuple(grouped[RecordKind.WORKSPACE]),
        upstreams=tuple(grouped[RecordKind.UPSTREAM]),
        stores=tuple(grouped[RecordKind.STORE]),
        links=tuple(grouped[RecordKind.LINK]),
        releases=tuple(grouped[RecordKind.RELEASE]),
        retention=retention[0] if retention else Retention(),
    )


def difference(
    before: Mapping[str, bytes], after: Mapping[str, bytes]
) -> tuple[RecordChange, ...]:
    """Return the changes from one set of records to another, sorted by key."""
    changed = {key: value for key, value in after.items() if before.get(key) != value}
    removed = dict.fromkeys(key for key in before if key not in after)
    return tuple(
        RecordChange(key, value)
        for key, value in sorted({**changed, **removed}.items())
    )


def _objects(configuration: Configuration) -> Iterator[ConfigurationObject]:
    yield from configuration.services
    yield from configuration.workspaces
    yield from configuration.upstreams
    yield from configuration.stores
    yield from configuration.links
    yield from configuration.releases
    yield configuration.retention
