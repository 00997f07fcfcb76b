"""Endpoint for address resolution and readiness checks."""

from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Protocol

from banyanswitch.components.discovery.const import MAX_ADDRESSES
from banyanswitch.components.http1.models import Header, Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.decisions.address_choice import EntryView, choose_entries
from banyanswitch.identifiers import FailureDomainId, WorkspaceId
from banyanswitch.interfaces import PeerDirectory

JSON_HEADERS: tuple[Header, ...] = ((b"Content-Type", b"application/json"),)


class DiscoveryCodec(Protocol):
    """Codec of the address resolution and readiness requests."""

    def is_readiness(self, path: bytes) -> bool:
        """Return whether a path is that of the readiness check."""

    def read_resolve(self, target: bytes) -> tuple[str, FailureDomainId] | None:
        """Return the host and the caller's failure domain of a resolution request.

        ``None`` stands for any other request.
        """

    def addresses(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Return the response body of a resolution request."""


class DiscoveryEndpoint:
    """Serve instance addresses to callers and the readiness check to the platform.

    Parameters
    ----------
    peers : PeerDirectory
        Live instances; those that do not accept callers yet or any more are marked as
        leaving.
    is_ready : callable
        Returns whether this instance serves requests.
    ttl_s : float
        Time for which callers cache addresses, in seconds.
    """

    def __init__(
        self,
        *,
        codec: DiscoveryCodec,
        peers: PeerDirectory,
        is_ready: Callable[[], bool],
        ttl_s: float,
    ) -> None:
        self._codec = codec
        self._peers = peers
        self._is_ready = is_ready
        self._ttl_s = ttl_s

    async def async_handle(self, request: Request, reply: Reply) -> None:
        """Respond to one request."""
        if self._codec.is_readiness(request.path):
            status = (
                HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
            )
            reply.send(status, (), b"")
            return
        query = self._codec.read_resolve(request.target)
        if query is None:
            reply.send(HTTPStatus.NOT_FOUND, (), b"")
            return
        addresses = self._addresses(*query)
        if not addresses:
            reply.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b"")
            return
        body = self._codec.addresses(addresses, self._ttl_s)
        reply.send(HTTPStatus.OK, JSON_HEADERS, body)

    def _addresses(self, host: str, failure_domain: FailureDomainId) -> list[str]:
        peers = {peer.instance: peer for peer in self._peers.peers()}
        views = [
            EntryView(peer.instance, peer.failure_domain, peer.is_leaving)
            for peer in peers.values()
        ]
        key = WorkspaceId(f"{host}/{failure_domain}")
        chosen = choose_entries(key, views, MAX_ADDRESSES)
        return [peers[instance].http_url for instance in chosen]
