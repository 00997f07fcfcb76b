"""Protection of received messages against replay."""

from collections import OrderedDict

from banyanswitch.components.peers.const import MAX_TRACKED_SENDERS


class ReplayGuard:
    """Accept each sender's messages in the order of incarnation and sequence.

    Parameters
    ----------
    max_senders : int
        Number of senders tracked; the least recent sender is removed first.
    """

    def __init__(self, max_senders: int = MAX_TRACKED_SENDERS) -> None:
        self._max_senders = max_senders
        self._last: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Return whether the message is newer than all earlier ones of its sender."""
        number = (incarnation, sequence)
        if number <= self._last.get(sender, (-1, -1)):
            return False
        self._last[sender] = number
        self._last.move_to_end(sender)
        if len(self._last) > self._max_senders:
            self._last.popitem(last=False)
        return True
