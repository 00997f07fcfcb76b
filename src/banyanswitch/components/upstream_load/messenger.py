"""Messages about load from this instance to gatherers and serving instances."""

from collections.abc import Iterable

from msgspec.structs import replace

from banyanswitch.components.peers.outbox import Outbox
from banyanswitch.components.upstream_load.groups import GathererChoice
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
    """Send each message to those whom it concerns.

    Parameters
    ----------
    outbox : Outbox
        Sends messages.
    directory : PeerDirectory
        The live instances.
    interest : ServiceInterest
        Tells which instances serve which services.
    choice : GathererChoice
        Tells which instances gather which groups.
    """

    def __init__(
        self,
        outbox: Outbox,
        directory: PeerDirectory,
        interest: ServiceInterest,
        choice: GathererChoice,
    ) -> None:
        self._outbox = outbox
        self._directory = directory
        self._interest = interest
        self._choice = choice

    def relay(self, digest: LoadDigest) -> None:
        """Send a digest to the next instances of its tree."""
        serving = self._interest.serving(ServiceName(digest.service))
        this = self._directory.this_instance().instance
        for peer in relay_targets(digest, serving, this):
            self._outbox.send(peer.peer_address, digest)

    def tell_first_gatherer(self, group: UpstreamGroup, digest: LoadDigest) -> None:
        """Send a digest to the instance that sends those of the group."""
        address = self._choice.gatherers(group)[0].peer_address
        self._outbox.send(address, replace(digest, is_relayed=False))

    def tell_other_gatherers(self, group: UpstreamGroup, digest: LoadDigest) -> None:
        """Send a digest to the gatherers that its tree does not reach."""
        serving = self._interest.serving(group.service)
        reached = {peer.instance for peer in serving}
        for peer in self._choice.gatherers(group)[1:]:
            if peer.instance not in reached:
                message = replace(digest, is_relayed=False)
                self._outbox.send(peer.peer_address, message)

    def tell_leaving(self, group: UpstreamGroup, upstream: UpstreamId) -> None:
        """Tell the gatherers that an upstream said it is leaving."""
        this = self._directory.this_instance().instance
        for peer in self._choice.gatherers(group):
            if peer.instance != this:
                self._outbox.send(peer.peer_address, LeavingNoticed(upstream))

    def request_loads(self, groups: Iterable[UpstreamGroup]) -> None:
        """Ask for the loads of groups that were not followed so far."""
        this = self._directory.this_instance()
        for group in groups:
            request = LoadRequested(group.service, group.number, this.peer_address)
            for peer in self._choice.gatherers(group)[:1]:
                if peer.instance != this.instance:
                    self._outbox.send(peer.peer_address, request)
