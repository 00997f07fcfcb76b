"""Cluster membership of the instances."""

from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.models import PeersChanged

__all__ = ["MembershipCoordinator", "PeersChanged"]
