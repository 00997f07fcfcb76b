"""Decoded objects of a configuration, except workspaces."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any, cast

from banyanswitch.components.configuration.content_changes import DecodedChange
from banyanswitch.config.models import (
    KvStore,
    Link,
    Retention,
    Service,
    Upstream,
    WeightRelease,
)
from banyanswitch.config.records import (
    RETENTION_KEY,
    RecordKind,
    record_kind,
)
from banyanswitch.identifiers import ServiceName, UpstreamId


class Catalog:
    """Decoded services, upstreams, stores, links, releases and retention."""

    def __init__(self) -> None:
        self._records: dict[RecordKind, dict[str, Any]] = {
            kind: {} for kind in RecordKind if kind is not RecordKind.WORKSPACE
        }
        self._upstreams_by_service: dict[ServiceName, tuple[Upstream, ...]] = {}
        self._releases_by_service: dict[ServiceName, tuple[WeightRelease, ...]] = {}
        self._services: tuple[Service, ...] = ()
        self._stores: tuple[KvStore, ...] = ()
        self._links: tuple[Link, ...] = ()

    def apply(self, changes: Iterable[DecodedChange]) -> None:
        """Apply changes."""
        is_changed = False
        for change in changes:
            is_changed = True
            records = self._records[record_kind(change.key)]
            if change.record is None:
                records.pop(change.key, None)
                continue
            records[change.key] = change.record
        if is_changed:
            self._rebuild_indexes()

    def service(self, name: ServiceName) -> Service | None:
        """Return a service."""
        key = f"{RecordKind.SERVICE.value}/{name}"
        return cast(Service | None, self._records[RecordKind.SERVICE].get(key))

    def upstream(self, name: UpstreamId) -> Upstream | None:
        """Return an upstream."""
        key = f"{RecordKind.UPSTREAM.value}/{name}"
        return cast(Upstream | None, self._records[RecordKind.UPSTREAM].get(key))

    def services(self) -> tuple[Service, ...]:
        """Return all services, sorted by name."""
        return self._services

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service, sorted by name."""
        return self._upstreams_by_service.get(service, ())

    def releases(self, service: ServiceName) -> tuple[WeightRelease, ...]:
        """Return the weight versions of a service."""
        return self._releases_by_service.get(service, ())

    def stores(self) -> tuple[KvStore, ...]:
        """Return all KV stores."""
        return self._stores

    def links(self) -> tuple[Link, ...]:
        """Return all links."""
        return self._links

    def retention(self) -> Retention:
        """Return the retention periods of records."""
        records = self._records[RecordKind.RETENTION]
        return cast(Retention, records.get(RETENTION_KEY) or Retention())

    def _rebuild_indexes(self) -> None:
        self._services = self._sorted(RecordKind.SERVICE)
        self._stores = self._sorted(RecordKind.STORE)
        self._links = self._sorted(RecordKind.LINK)
        self._upstreams_by_service = _by_service(self._sorted(RecordKind.UPSTREAM))
        self._releases_by_service = _by_service(self._sorted(RecordKind.RELEASE))

    def _sorted(self, kind: RecordKind) -> tuple[Any, ...]:
        return tuple(record for _, record in sorted(self._records[kind].items()))


def _by_service(records: tuple[Any, ...]) -> dict[ServiceName, tuple[Any, ...]]:
    grouped: dict[ServiceName, list[Any]] = defaultdict(list)
    for record in records:
        grouped[record.service].append(record)
    return {service: tuple(members) for service, members in grouped.items()}
