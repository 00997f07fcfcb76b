"""Selection of the entry instances that a workspace's callers should use."""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from banyanswitch.identifiers import FailureDomainId, InstanceId, WorkspaceId


@dataclass(frozen=True, slots=True)
class EntryView:
    """An entry instance that is considered alive.

    Parameters
    ----------
    is_leaving : bool
        Whether the instance is leaving and receives no new callers.
    """

    instance: InstanceId
    failure_domain: FailureDomainId
    is_leaving: bool = False


def choose_entries(
    workspace: WorkspaceId, entries: Iterable[EntryView], count: int
) -> tuple[InstanceId, ...]:
    """Return the entry instances that serve a workspace, in order of preference.

    Entries are ranked by rendezvous hash. The best entry of each failure domain comes
    before the second entry of any, so the loss of one domain leaves entries in
    others. When one entry joins or leaves, at most one member of the result changes.

    Parameters
    ----------
    count : int
        Maximum number of entries to return.
    """
    ranked = sorted(
        (entry for entry in entries if not entry.is_leaving),
        key=lambda entry: _hash_rank(workspace, entry.instance),
    )
    count_by_domain: dict[FailureDomainId, int] = {}
    ranks: list[tuple[int, int, InstanceId]] = []
    for position, entry in enumerate(ranked):
        rank_in_domain = count_by_domain.get(entry.failure_domain, 0)
        count_by_domain[entry.failure_domain] = rank_in_domain + 1
        ranks.append((rank_in_domain, position, entry.instance))
    ranks.sort()
    return tuple(instance for _, _, instance in ranks[:count])


def order_for_conversation(
    conversation: str, chosen: Iterable[InstanceId]
) -> tuple[InstanceId, ...]:
    """Return the chosen entries in the order in which a conversation tries them."""
    return tuple(
        sorted(chosen, key=lambda instance: _hash_rank(conversation, instance))
    )


def _hash_rank(key: str, instance: InstanceId) -> tuple[int, InstanceId]:
    return xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{instance}".encode()), instance
