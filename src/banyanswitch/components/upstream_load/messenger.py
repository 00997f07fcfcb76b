"""Load messages from this instance to collectors and instances that use a service."""

from collections.abc import Iterable

from msgspec.structs import replace

from banyanswitch.components.peers.outbox import Outbox
from banyanswitch.components.upstream_load.groups import CollectorAssignment
from banyanswitch.components.upstream_load.interest import ServiceInterest
from banyanswitch.components.upstream_load.models import (
    LeavingNoticed,
    LoadDigest,
    LoadRequested,
    UpstreamGroup,
)
from banyanswitch.components.upstream_load.relay import relay_targets
from banyanswitch.identifiers import ServiceName, UpstreamId
from banyanswitch.interfaces import PeerDirectory


class LoadMessenger:
    """Send load messages to the instances that need them.

    Parameters
    ----------
    outbox : Outbox
        Sends messages.
    directory : PeerDirectory
        Live instances.
    interest : ServiceInterest
        Provides the instances that use a service.
    assignment : CollectorAssignment
        Provides the collectors of a group.
    """

    def __init__(
        self,
        outbox: Outbox,
        directory: PeerDirectory,
        interest: ServiceInterest,
        assignment: CollectorAssignment,
    ) -> None:
        self._outbox = outbox
        self._directory = directory
        self._interest = interest
        self._assignment = assignment

    def relay(self, digest: LoadDigest) -> None:
        """Send a digest to the children of this instance in the relay tree."""
        serving = self._interest.serving(ServiceName(digest.service))
        this = self._directory.this_instance().instance
        for peer in relay_targets(digest, serving, this):
            self._outbox.send(peer.peer_address, digest)

    def send_to_primary(self, group: UpstreamGroup, digest: LoadDigest) -> None:
        """Send a digest to the primary collector of the group."""
        address = self._assignment.collectors(group)[0].peer_address
        self._outbox.send(address, replace(digest, is_relayed=False))

    def send_to_secondaries(self, group: UpstreamGroup, digest: LoadDigest) -> None:
        """Send a digest to secondary collectors outside its relay tree."""
        serving = self._interest.serving(group.service)
        reached = {peer.instance for peer in serving}
        for peer in self._assignment.collectors(group)[1:]:
            if peer.instance not in reached:
                message = replace(digest, is_relayed=False)
                self._outbox.send(peer.peer_address, message)

    def notify_leaving(self, group: UpstreamGroup, upstream: UpstreamId) -> None:
        """Notify the collectors that an upstream reported that it is leaving."""
        this = self._directory.this_instance().instance
        for peer in self._assignment.collectors(group):
            if peer.instance != this:
                self._outbox.send(peer.peer_address, LeavingNoticed(upstream))

    def request_loads(self, groups: Iterable[UpstreamGroup]) -> None:
        """Request the loads of groups from their primary collectors."""
        this = self._directory.this_instance()
        for group in groups:
            request = LoadRequested(group.service, group.number, this.peer_address)
            for peer in self._assignment.collectors(group)[:1]:
                if peer.instance != this.instance:
                    self._outbox.send(peer.peer_address, request)
