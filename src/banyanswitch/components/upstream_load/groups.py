"""Division of the upstreams into groups and choice of their gatherers."""

from collections.abc import Sequence

import xxhash

from banyanswitch.components.upstream_load.const import (
    GATHERERS_PER_GROUP,
    GROUP_UPSTREAMS,
)
from banyanswitch.components.upstream_load.models import UpstreamGroup
from banyanswitch.config.models import ServiceKind, Upstream
from banyanswitch.identifiers import ServiceName, UpstreamId
from banyanswitch.interfaces import ConfigurationView, Peer, PeerDirectory


class UpstreamGroups:
    """Groups of the upstreams that report load, for one configuration revision.

    Parameters
    ----------
    configuration : ConfigurationView
        Configuration in force.
    """

    def __init__(self, configuration: ConfigurationView) -> None:
        self._configuration = configuration
        self._revision = -1
        self._members: dict[UpstreamGroup, tuple[Upstream, ...]] = {}
        self._group_of: dict[UpstreamId, UpstreamGroup] = {}

    def groups(self) -> tuple[UpstreamGroup, ...]:
        """Return all groups."""
        self._refresh()
        return tuple(self._members)

    def of_service(self, service: ServiceName) -> tuple[UpstreamGroup, ...]:
        """Return the groups of one service."""
        return tuple(group for group in self.groups() if group.service == service)

    def members(self, group: UpstreamGroup) -> tuple[Upstream, ...]:
        """Return the upstreams of a group; none if there is no such group."""
        self._refresh()
        return self._members.get(group, ())

    def group_of(self, upstream: UpstreamId) -> UpstreamGroup | None:
        """Return the group of an upstream that reports load."""
        self._refresh()
        return self._group_of.get(upstream)

    def _refresh(self) -> None:
        if self._configuration.revision == self._revision:
            return
        self._revision = self._configuration.revision
        self._members.clear()
        for service in self._configuration.services():
            if service.kind is ServiceKind.MODEL:
                self._divide(service.name)
        self._group_of = {
            upstream.name: group
            for group, members in self._members.items()
            for upstream in members
        }

    def _divide(self, service: ServiceName) -> None:
        upstreams = self._configuration.upstreams(service)
        for start in range(0, len(upstreams), GROUP_UPSTREAMS):
            group = UpstreamGroup(service, start // GROUP_UPSTREAMS)
            self._members[group] = upstreams[start : start + GROUP_UPSTREAMS]


class GathererChoice:
    """Choose the instances that poll each group, by rendezvous hash.

    Parameters
    ----------
    directory : PeerDirectory
        The live instances.
    """

    def __init__(self, directory: PeerDirectory) -> None:
        self._directory = directory
        self._peers: tuple[Peer, ...] = ()
        self._chosen: dict[UpstreamGroup, tuple[Peer, ...]] = {}

    def gatherers(self, group: UpstreamGroup) -> tuple[Peer, ...]:
        """Return the gatherers of a group; the first sends its digests."""
        peers = self._directory.peers()
        if peers is not self._peers:
            self._peers = peers
            self._chosen.clear()
        if group not in self._chosen:
            self._chosen[group] = _choose(group, peers)
        return self._chosen[group]

    def rank(self, group: UpstreamGroup) -> int | None:
        """Return the position of this instance among the gatherers of a group."""
        this = self._directory.this_instance().instance
        for rank, peer in enumerate(self.gatherers(group)):
            if peer.instance == this:
                return rank
        return None


def _choose(group: UpstreamGroup, peers: Sequence[Peer]) -> tuple[Peer, ...]:
    staying = [peer for peer in peers if not peer.is_leaving]
    prefix = f"{group.service}|{group.number}|"
    ranked = sorted(
        staying or peers,
        key=lambda peer: xxhash.xxh3_64_intdigest((prefix + peer.instance).encode()),
    )
    return tuple(ranked[:GATHERERS_PER_GROUP])
