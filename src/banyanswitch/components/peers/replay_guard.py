"""Protection of received messages against replay."""

from collections import OrderedDict

from banyanswitch.components.peers.const import MAX_TRACKED_SENDERS


class ReplayGuard:
    """Accept each sender's messages of one type in order of incarnation and sequence.

    Messages of different types may overtake each other, since datagrams of different
    sizes do.

    Parameters
    ----------
    max_senders : int
        Number of senders tracked; the least recent sender is removed first.
    """

    def __init__(self, max_senders: int = MAX_TRACKED_SENDERS) -> None:
        self._max_senders = max_senders
        self._last: OrderedDict[str, dict[str, tuple[int, int]]] = OrderedDict()

    def accept(
        self, sender: str, message_type: str, incarnation: int, sequence: int
    ) -> bool:
        """Return whether the message is newer than its sender's earlier ones.

        Only messages of the same type count.
        """
        number = (incarnation, sequence)
        last = self._last.setdefault(sender, {})
        if number <= last.get(message_type, (-1, -1)):
            return False
        last[message_type] = number
        self._last.move_to_end(sender)
        if len(self._last) > self._max_senders:
            self._last.popitem(last=False)
        return True
