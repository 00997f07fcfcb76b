"""Combination of the platform's list with the members."""

from collections.abc import Sequence

from msgspec.structs import replace

from banyanswitch.components.membership.member_list import MemberList
from banyanswitch.components.membership.models import ListedInstance


class ListedInstances:
    """Combine the platform's lagging list with the members.

    Only the leaving state is applied to the members. It applies to the incarnation
    that ran when the list first showed it, and not to a later start. If the list shows
    this instance as not leaving, this instance clears its leaving flag by a new
    incarnation, unless it is stopping.

    Parameters
    ----------
    members : MemberList
        The members.
    """

    def __init__(self, members: MemberList) -> None:
        self._members = members
        self._entries: tuple[ListedInstance, ...] = ()
        self._leaving_incarnation: dict[str, int] = {}

    def addresses(self) -> list[str]:
        """Return the peer addresses of the listed instances."""
        return [entry.peer_address for entry in self._entries]

    def note(self, entries: Sequence[ListedInstance]) -> None:
        """Apply the list."""
        self._entries = tuple(entries)
        for entry in entries:
            if entry.is_leaving:
                self._note_leaving(entry)
                continue
            self._leaving_incarnation.pop(entry.instance, None)
            self._note_not_leaving(entry)

    def _note_leaving(self, entry: ListedInstance) -> None:
        member = self._members.table.get(entry.instance)
        if member is None:
            return
        incarnation = self._leaving_incarnation.setdefault(
            entry.instance, member.incarnation
        )
        if member.incarnation == incarnation and not member.is_leaving:
            self._members.apply_record(replace(member, is_leaving=True))

    def _note_not_leaving(self, entry: ListedInstance) -> None:
        this = self._members.this
        if entry.instance != this.instance:
            return
        if this.is_leaving and not self._members.is_stopping:
            self._members.start_incarnation(this.incarnation + 1)
