"""Division of the upstreams into groups and choice of their gatherers."""

import math
from collections.abc import Mapping, Sequence
from heapq import nsmallest

import xxhash

from banyanswitch.components.upstream_load.const import GROUP_UPSTREAMS
from banyanswitch.components.upstream_load.models import UpstreamGroup
from banyanswitch.components.upstream_load.schedule import gatherer_count
from banyanswitch.config.models import Upstream
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
        self._all: tuple[UpstreamGroup, ...] = ()
        self._group_of: dict[UpstreamId, UpstreamGroup] = {}

    def groups(self) -> tuple[UpstreamGroup, ...]:
        """Return all groups."""
        self._refresh()
        return self._all

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
            self._divide(service.name)
        self._all = tuple(self._members)
        self._group_of = {
            upstream.name: group
            for group, members in self._members.items()
            for upstream in members
        }

    def _divide(self, service: ServiceName) -> None:
        upstreams = self._configuration.upstreams(service)
        count = math.ceil(len(upstreams) / GROUP_UPSTREAMS)
        for number in range(count):
            self._members[UpstreamGroup(service, number)] = upstreams[number::count]


class GathererChoice:
    """Choose the instances that poll each group.

    Each group takes its best instances by rendezvous hash, but none gets more groups
    than its even share.

    Parameters
    ----------
    directory : PeerDirectory
        The live instances.
    groups : UpstreamGroups
        The groups to divide.
    """

    def __init__(self, directory: PeerDirectory, groups: UpstreamGroups) -> None:
        self._directory = directory
        self._groups = groups
        self._peers: tuple[Peer, ...] = ()
        self._known_groups: tuple[UpstreamGroup, ...] = ()
        self._chosen: dict[UpstreamGroup, tuple[Peer, ...]] = {}
        self._own: dict[UpstreamGroup, int] = {}

    def gatherers(self, group: UpstreamGroup) -> tuple[Peer, ...]:
        """Return the gatherers of a group; the first sends its digests."""
        self._refresh()
        return self._chosen.get(group, ())

    def own_groups(self) -> tuple[UpstreamGroup, ...]:
        """Return the groups that this instance polls."""
        self._refresh()
        return tuple(self._own)

    def rank(self, group: UpstreamGroup) -> int | None:
        """Return the position of this instance among the gatherers of a group."""
        self._refresh()
        return self._own.get(group)

    def _refresh(self) -> None:
        peers = self._directory.peers()
        groups = self._groups.groups()
        if peers is self._peers and groups is self._known_groups:
            return
        self._peers = peers
        self._known_groups = groups
        sizes = {group: len(self._groups.members(group)) for group in groups}
        self._chosen = _choose_all(sizes, peers)
        this = self._directory.this_instance().instance
        self._own = {
            group: rank
            for group, gatherers in self._chosen.items()
            for rank, peer in enumerate(gatherers)
            if peer.instance == this
        }


def _choose_all(
    sizes: Mapping[UpstreamGroup, int], peers: Sequence[Peer]
) -> dict[UpstreamGroup, tuple[Peer, ...]]:
    staying = [peer for peer in peers if not peer.is_leaving] or list(peers)
    if not staying:
        return {}
    counts = {group: gatherer_count(size) for group, size in sizes.items()}
    share = math.ceil(sum(counts.values()) / len(staying))
    free = dict.fromkeys((peer.instance for peer in staying), share)
    chosen: dict[UpstreamGroup, tuple[Peer, ...]] = {}
    for group, count in counts.items():
        candidates = [peer for peer in staying if free[peer.instance] > 0]
        chosen[group] = _best(group, count, candidates)
        for peer in chosen[group]:
            free[peer.instance] -= 1
    return chosen


def _best(group: UpstreamGroup, count: int, peers: Sequence[Peer]) -> tuple[Peer, ...]:
    prefix = f"{group.service}|{group.number}|"
    ranked = nsmallest(
        count,
        peers,
        key=lambda peer: xxhash.xxh3_64_intdigest((prefix + peer.instance).encode()),
    )
    return tuple(ranked)
