"""Cache of recently used, decoded workspaces."""

import hmac
from collections import OrderedDict

from banyanswitch.config.models import Workspace


class WorkspaceCache:
    """LRU cache of decoded workspaces, by record key and by bearer key.

    Parameters
    ----------
    capacity : int
        Maximum number of workspaces.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._workspaces: OrderedDict[str, Workspace] = OrderedDict()
        self._record_keys: dict[str, str] = {}

    def get(self, key: str) -> Workspace | None:
        """Return a workspace by its record key."""
        workspace = self._workspaces.get(key)
        if workspace is not None:
            self._workspaces.move_to_end(key)
        return workspace

    def get_by_key_digest(self, key_digest: str) -> Workspace | None:
        """Return the cached workspace whose bearer key has this SHA-256 digest."""
        key = self._record_keys.get(key_digest)
        if key is None:
            return None
        workspace = self.get(key)
        if workspace is None or not has_key(workspace, key_digest):
            return None
        return workspace

    def add(self, key: str, workspace: Workspace) -> None:
        """Add a workspace, evicting the least recently used one if necessary."""
        self.remove(key)
        self._workspaces[key] = workspace
        for key_digest in workspace.key_digests:
            self._record_keys[key_digest] = key
        if len(self._workspaces) > self._capacity:
            self.remove(next(iter(self._workspaces)))

    def remove(self, key: str) -> None:
        """Remove a workspace."""
        workspace = self._workspaces.pop(key, None)
        if workspace is None:
            return
        for key_digest in workspace.key_digests:
            self._record_keys.pop(key_digest, None)


def has_key(workspace: Workspace, key_digest: str) -> bool:
    """Return whether one of the workspace's keys has this digest."""
    return any(
        hmac.compare_digest(known, key_digest) for known in workspace.key_digests
    )
