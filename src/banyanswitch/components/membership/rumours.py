"""Changes of members that are still to be passed on."""

import math

from banyanswitch.components.membership.const import (
    RUMOUR_TRANSMISSIONS_PER_DOUBLING,
)


class RumourQueue:
    """Count how often each changed member has been passed on.

    A change is passed on a number of times that grows with the logarithm of the
    number of members; those passed on least go first.
    """

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def add(self, instance: str) -> None:
        """Pass on this member's record from now on."""
        self._transmissions[instance] = 0

    def take(self, limit: int, member_count: int) -> list[str]:
        """Return the members to put into one message."""
        bound = RUMOUR_TRANSMISSIONS_PER_DOUBLING * math.ceil(
            math.log2(member_count + 1)
        )
        chosen = sorted(self._transmissions, key=self._transmissions.__getitem__)
        chosen = chosen[:limit]
        for instance in chosen:
            self._transmissions[instance] += 1
            if self._transmissions[instance] >= bound:
                del self._transmissions[instance]
        return chosen
