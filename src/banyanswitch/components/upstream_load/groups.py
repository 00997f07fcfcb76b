"""Partition of the upstreams into groups and assignment of their collectors."""

import math
from collections.abc import Mapping, Sequence
from heapq import nsmallest

import xxhash

from banyanswitch.components.upstream_load.const import MAX_GROUP_SIZE
from banyanswitch.components.upstream_load.models import UpstreamGroup
from banyanswitch.components.upstream_load.schedule import collector_count
from banyanswitch.config.models import Upstream
from banyanswitch.identifiers import ServiceName, UpstreamId
from banyanswitch.interfaces import ConfigurationView, Peer, PeerDirectory


class UpstreamGroups:
    """Groups of upstreams for the active configuration revision.

    Parameters
    ----------
    configuration : ConfigurationView
        Active configuration.
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
        """Return the upstreams of a group, or an empty tuple for an unknown group."""
        self._refresh()
        return self._members.get(group, ())

    def group_of(self, upstream: UpstreamId) -> UpstreamGroup | None:
        """Return the group of an upstream, or ``None`` if it has none."""
        self._refresh()
        return self._group_of.get(upstream)

    def _refresh(self) -> None:
        if self._configuration.revision == self._revision:
            return
        self._revision = self._configuration.revision
        self._members.clear()
        for service in self._configuration.services():
            self._partition(service.name)
        self._all = tuple(self._members)
        self._group_of = {
            upstream.name: group
            for group, members in self._members.items()
            for upstream in members
        }

    def _partition(self, service: ServiceName) -> None:
        upstreams = self._configuration.upstreams(service)
        count = math.ceil(len(upstreams) / MAX_GROUP_SIZE)
        for number in range(count):
            self._members[UpstreamGroup(service, number)] = upstreams[number::count]


class CollectorAssignment:
    """Assignment of the instances that poll each group.

    Collectors are selected by rendezvous hashing. The number of groups of one instance
    is limited to an even share.

    Parameters
    ----------
    directory : PeerDirectory
        Live instances.
    groups : UpstreamGroups
        Groups to assign.
    """

    def __init__(self, directory: PeerDirectory, groups: UpstreamGroups) -> None:
        self._directory = directory
        self._groups = groups
        self._peers: tuple[Peer, ...] = ()
        self._known_groups: tuple[UpstreamGroup, ...] = ()
        self._assigned: dict[UpstreamGroup, tuple[Peer, ...]] = {}
        self._local_ranks: dict[UpstreamGroup, int] = {}

    def collectors(self, group: UpstreamGroup) -> tuple[Peer, ...]:
        """Return the collectors of a group.

        The first one is the primary collector, which sends the regular digests.
        """
        self._refresh()
        return self._assigned.get(group, ())

    def local_groups(self) -> tuple[UpstreamGroup, ...]:
        """Return the groups that this instance polls."""
        self._refresh()
        return tuple(self._local_ranks)

    def rank(self, group: UpstreamGroup) -> int | None:
        """Return the index of this instance among the collectors of a group.

        Returns ``None`` if this instance is not a collector of the group.
        """
        self._refresh()
        return self._local_ranks.get(group)

    def _refresh(self) -> None:
        peers = self._directory.peers()
        groups = self._groups.groups()
        if peers is self._peers and groups is self._known_groups:
            return
        self._peers = peers
        self._known_groups = groups
        sizes = {group: len(self._groups.members(group)) for group in groups}
        self._assigned = _assign_collectors(sizes, peers)
        this = self._directory.this_instance().instance
        self._local_ranks = {
            group: rank
            for group, collectors in self._assigned.items()
            for rank, peer in enumerate(collectors)
            if peer.instance == this
        }


def _assign_collectors(
    sizes: Mapping[UpstreamGroup, int], peers: Sequence[Peer]
) -> dict[UpstreamGroup, tuple[Peer, ...]]:
    staying = [peer for peer in peers if not peer.is_leaving] or list(peers)
    if not staying:
        return {}
    counts = {group: collector_count(size) for group, size in sizes.items()}
    max_groups = math.ceil(sum(counts.values()) / len(staying))
    remaining = dict.fromkeys((peer.instance for peer in staying), max_groups)
    assigned: dict[UpstreamGroup, tuple[Peer, ...]] = {}
    for group, count in counts.items():
        candidates = [peer for peer in staying if remaining[peer.instance] > 0]
        assigned[group] = _select_collectors(group, count, candidates)
        for peer in assigned[group]:
            remaining[peer.instance] -= 1
    return assigned


def _select_collectors(
    group: UpstreamGroup, count: int, peers: Sequence[Peer]
) -> tuple[Peer, ...]:
    prefix = f"{group.service}|{group.number}|"
    ranked = nsmallest(
        count,
        peers,
        key=lambda peer: xxhash.xxh3_64_intdigest((prefix + peer.instance).encode()),
    )
    return tuple(ranked)
