"""What a request has in common with other requests and with its own returns."""

import hashlib
from functools import cached_property

import xxhash

from banyanswitch.components.forwarding.const import MAX_LOGGED_PARTS
from banyanswitch.components.forwarding.models import RequestMetadata
from banyanswitch.components.http1.models import Request
from banyanswitch.identifiers import WorkspaceId

DIGEST_LENGTH = 16


class RequestContent:
    """Content of a request.

    Parameters
    ----------
    workspace : WorkspaceId or None
        Workspace of the caller; ``None`` if the route needs none.

    Attributes
    ----------
    model : str
        Model that the request names; empty for none.
    """

    def __init__(
        self, request: Request, metadata: RequestMetadata, workspace: WorkspaceId | None
    ) -> None:
        self._request = request
        self._workspace = workspace
        self._metadata = metadata
        self.model = metadata.model or ""

    @cached_property
    def digest(self) -> str:
        """Digest of what a request that comes again has the same, in hexadecimal.

        These are the method, host, target, workspace, shared parts and body. The last
        part of a prompt may be new, as the attempt identifier is.
        """
        request = self._request
        # Only the body may be large. Whoever finds another body with its digest can
        # blame requests of the same workspace only.
        fields = (
            request.method,
            self._metadata.host.encode(),
            request.target,
            (self._workspace or "").encode(),
            ",".join(self.shared_parts).encode(),
            xxhash.xxh3_128_digest(request.body),
        )
        return hashlib.sha256(b"\0".join(fields)).hexdigest()[:DIGEST_LENGTH]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Parts of the prompt that other requests may share, in order."""
        return tuple(part.name for part in self._metadata.parts[:-1])

    def log_values(self) -> dict[str, object]:
        """Return the values that identify the content in log lines."""
        return {
            "content": self.digest,
            "shared_parts": list(self.shared_parts[:MAX_LOGGED_PARTS]),
        }
