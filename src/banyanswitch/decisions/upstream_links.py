"""Decisions on links to upstreams: which are down, and who can be used instead."""

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from banyanswitch.identifiers import FailureDomainId, InstanceId, UpstreamId


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkPolicy:
    """Settings of the use and the checks of links.

    Parameters
    ----------
    min_direct_share : float
        Share of a service's upstreams that must be reached for requests to be sent
        directly to these alone. With fewer, other instances send some requests.
    suspect_count : int
        Number of unreached upstreams of a service from which others are checked.
    checks_per_loss : int
        Number of other upstreams that are checked for each one that was lost since the
        last check. An instance that is cut off finds out in a few rounds; one that
        only meets crashed upstreams soon stops.
    check_interval_s : float
        Time between two checks of an unreached upstream, in seconds.
    """

    min_direct_share: float = 0.5
    suspect_count: int = 2
    checks_per_loss: int = 2
    check_interval_s: float = 0.5


@dataclass(frozen=True, slots=True)
class PeerLinks:
    """Links of another instance, as it reported them.

    Parameters
    ----------
    address : str
        Host and port at which it takes requests to pass on.
    unreached : collection of UpstreamId
        Upstreams that it doesn't reach.
    in_flight : int
        Number of requests that this instance is passing on through it.
    """

    instance: InstanceId
    failure_domain: FailureDomainId
    address: str
    unreached: Collection[UpstreamId]
    in_flight: int


def usable_upstreams(
    is_reached: Mapping[UpstreamId, bool],
    peers: Sequence[PeerLinks],
    policy: LinkPolicy,
) -> frozenset[UpstreamId]:
    """Return the upstreams of a service to which requests may be placed.

    If too few are reached, those that another instance reaches are among them, so that
    the load is spread over all. An upstream that no instance reaches is down.
    """
    direct = {name for name, reached in is_reached.items() if reached}
    if direct and len(direct) >= policy.min_direct_share * len(is_reached):
        return frozenset(direct)
    through_peers = {
        name
        for name, reached in is_reached.items()
        if not reached and any(name not in peer.unreached for peer in peers)
    }
    return frozenset(direct | through_peers)


def choose_peer(
    upstream: UpstreamId,
    peers: Sequence[PeerLinks],
    own_domain: FailureDomainId,
    generator: random.Random,
) -> PeerLinks | None:
    """Return the instance through which to pass on a request for an upstream.

    Of two random ones that reach it, the one that has fewer requests of this instance;
    then one of the own failure domain is preferred.
    """
    candidates = [peer for peer in peers if upstream not in peer.unreached]
    if not candidates:
        return None
    drawn = generator.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda p: (p.in_flight, p.failure_domain != own_domain))


def upstreams_to_check(
    unreached_since_s: Mapping[UpstreamId, float],
    checked_at_s: Mapping[UpstreamId, float],
    policy: LinkPolicy,
    now_s: float,
) -> list[UpstreamId]:
    """Return the upstreams of a service to which to open a connection now.

    Parameters
    ----------
    unreached_since_s : mapping of UpstreamId to float
        Loop time at which each unreached upstream was lost, in seconds.
    checked_at_s : mapping of UpstreamId to float
        Loop time of the last check of each upstream of the service, in seconds.
    """
    due = [
        name
        for name, at_s in checked_at_s.items()
        if now_s - at_s >= policy.check_interval_s
    ]
    down = [name for name in due if name in unreached_since_s]
    if len(unreached_since_s) < min(policy.suspect_count, len(checked_at_s)):
        return down
    lost = [
        at_s
        for at_s in unreached_since_s.values()
        if now_s - at_s < policy.check_interval_s
    ]
    others = [name for name in due if name not in unreached_since_s]
    others.sort(key=lambda name: checked_at_s[name])
    return down + others[: policy.checks_per_loss * len(lost)]
