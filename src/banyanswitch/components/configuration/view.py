"""The active configuration of this instance."""

from typing import cast

from banyanswitch.components.configuration.catalog import Catalog
from banyanswitch.components.configuration.const import DECODED_WORKSPACES
from banyanswitch.components.configuration.content_changes import (
    WORKSPACE_PREFIX,
    content_changes,
)
from banyanswitch.components.configuration.key_index import KeyIndex
from banyanswitch.components.configuration.packed_records import PackedRecords
from banyanswitch.components.configuration.workspace_cache import (
    WorkspaceCache,
    has_key,
)
from banyanswitch.config.models import (
    KvStore,
    Link,
    Retention,
    Service,
    Upstream,
    WeightRelease,
    Workspace,
)
from banyanswitch.config.records import decode_record
from banyanswitch.core import callback
from banyanswitch.identifiers import ServiceName, UpstreamId, WorkspaceId


class ActiveConfiguration:
    """Implementation of ``ConfigurationView`` over packed records.

    Workspaces are decoded on access, and the most recently used ones are cached. The
    other objects are few and always kept decoded.

    Parameters
    ----------
    decoded_workspaces : int
        Maximum number of cached workspaces.
    """

    def __init__(self, decoded_workspaces: int = DECODED_WORKSPACES) -> None:
        self._revision = 0
        self._records = PackedRecords.empty()
        self._catalog = Catalog()
        self._key_index = KeyIndex()
        self._cache = WorkspaceCache(decoded_workspaces)

    @property
    def revision(self) -> int:
        """Active revision; 0 before the first configuration is known."""
        return self._revision

    @property
    def records(self) -> PackedRecords:
        """Active content."""
        return self._records

    @callback
    def replace(self, revision: int, records: PackedRecords) -> bool:
        """Activate a later revision.

        Returns
        -------
        is_replaced : bool
            Whether the revision is later than the active one; the same or an earlier
            one has no effect.

        Raises
        ------
        ContentError
            If a record can't be decoded; the active configuration is unchanged then.
        """
        if revision <= self._revision:
            return False
        changes = content_changes(self._records, records)
        for key in changes.replaced_workspaces:
            self._cache.remove(key)
        self._key_index.update(changes.removed_keys, changes.added_keys)
        self._catalog.apply(changes.records)
        self._revision = revision
        self._records = records
        return True

    def service(self, name: ServiceName) -> Service | None:
        """Return a service."""
        return self._catalog.service(name)

    def workspace(self, name: WorkspaceId) -> Workspace | None:
        """Return a workspace."""
        key = WORKSPACE_PREFIX + name
        workspace = self._cache.get(key)
        if workspace is not None:
            return workspace
        value = self._records.get(key)
        if value is None:
            return None
        workspace = cast(Workspace, decode_record(key, value))
        self._cache.add(key, workspace)
        return workspace

    def workspace_by_key_digest(self, key_digest: str) -> Workspace | None:
        """Return the workspace whose bearer key has this SHA-256 digest."""
        cached = self._cache.get_by_key_digest(key_digest)
        if cached is not None:
            return cached
        for index in self._key_index.buckets(key_digest):
            workspace = self._find_in_bucket(index, key_digest)
            if workspace is not None:
                return workspace
        return None

    def services(self) -> tuple[Service, ...]:
        """Return all services."""
        return self._catalog.services()

    def upstreams(self, service: ServiceName) -> tuple[Upstream, ...]:
        """Return the upstreams of a service, sorted by name."""
        return self._catalog.upstreams(service)

    def upstream(self, name: UpstreamId) -> Upstream | None:
        """Return an upstream."""
        return self._catalog.upstream(name)

    def stores(self) -> tuple[KvStore, ...]:
        """Return all KV stores."""
        return self._catalog.stores()

    def links(self) -> tuple[Link, ...]:
        """Return all links."""
        return self._catalog.links()

    def releases(self, service: ServiceName) -> tuple[WeightRelease, ...]:
        """Return the weight versions that a service may load."""
        return self._catalog.releases(service)

    def retention(self) -> Retention:
        """Return the retention periods of records."""
        return self._catalog.retention()

    def _find_in_bucket(self, index: int, key_digest: str) -> Workspace | None:
        for key, value in self._records.bucket_items(index):
            if not key.startswith(WORKSPACE_PREFIX):
                continue
            workspace = cast(Workspace, decode_record(key, value))
            if has_key(workspace, key_digest):
                self._cache.add(key, workspace)
                return workspace
        return None
