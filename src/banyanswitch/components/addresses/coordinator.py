"""Entries that the callers of a workspace should use."""

from banyanswitch.components.addresses.const import (
    ENTRIES_PER_WORKSPACE,
    MAX_CACHED_CHOICES,
)
from banyanswitch.components.addresses.models import AddressAnswer, EntryAddress
from banyanswitch.core import callback
from banyanswitch.decisions.address_choice import (
    EntryView,
    choose_entries,
    order_for_conversation,
)
from banyanswitch.identifiers import InstanceId, WorkspaceId
from banyanswitch.interfaces import Peer, PeerDirectory


class AddressCoordinator:
    """Select the entries that the callers of a workspace should use.

    Parameters
    ----------
    directory : PeerDirectory
        The live instances.
    time_to_live_s : float
        Time for which callers keep an answer, in seconds.
    entries_per_workspace : int
        Entries that serve one workspace.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        time_to_live_s: float,
        entries_per_workspace: int = ENTRIES_PER_WORKSPACE,
    ) -> None:
        self._directory = directory
        self._time_to_live_s = time_to_live_s
        self._entries_per_workspace = entries_per_workspace
        self._peers: tuple[Peer, ...] = ()
        self._views: tuple[EntryView, ...] = ()
        self._by_instance: dict[InstanceId, Peer] = {}
        self._chosen: dict[WorkspaceId, tuple[InstanceId, ...]] = {}

    @callback
    def addresses(
        self, workspace: WorkspaceId, conversation: str | None = None
    ) -> AddressAnswer:
        """Return the entries for a workspace, in the order for a conversation if given.

        If all instances are leaving, they are returned anyway, because they serve
        until they stop.
        """
        self._refresh()
        chosen = self._choose(workspace)
        if conversation is not None:
            chosen = order_for_conversation(conversation, chosen)
        addresses = tuple(self._address(instance) for instance in chosen)
        return AddressAnswer(addresses, self._time_to_live_s)

    def _choose(self, workspace: WorkspaceId) -> tuple[InstanceId, ...]:
        chosen = self._chosen.get(workspace)
        if chosen is None:
            if len(self._chosen) >= MAX_CACHED_CHOICES:
                self._chosen.clear()
            chosen = choose_entries(workspace, self._views, self._entries_per_workspace)
            self._chosen[workspace] = chosen
        return chosen

    def _refresh(self) -> None:
        peers = self._directory.peers()
        if peers is self._peers:
            return
        are_all_leaving = all(peer.is_leaving for peer in peers)
        self._peers = peers
        self._chosen.clear()
        self._by_instance = {peer.instance: peer for peer in peers}
        self._views = tuple(
            EntryView(
                peer.instance,
                peer.failure_domain,
                peer.is_leaving and not are_all_leaving,
            )
            for peer in peers
        )

    def _address(self, instance: InstanceId) -> EntryAddress:
        peer = self._by_instance[instance]
        return EntryAddress(instance, peer.failure_domain, peer.http_url)
