"""Choice of the connections that give way to new ones when a server is full."""

from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

from banyanswitch.decisions.memory_account import Phase

STALL_S: Final = 3.0
"""Time without minimum progress after which a busy connection gives way."""

BATCH_SHARE: Final = 1 / 64
"""Share of the connections that give way at a time, so that a flood of new ones
doesn't search all connections for each of them."""


class CappedConnection(Protocol):
    """Connection that may give way."""

    @property
    def phase(self) -> Phase:
        """What the connection is doing."""

    @property
    def idle_since_s(self) -> float:
        """Loop time of the last begin or end of a request."""

    @property
    def stalled_since_s(self) -> float:
        """Loop time since which the client has made too little progress."""


ConnectionT = TypeVar("ConnectionT", bound=CappedConnection)


def to_give_way(
    connections: Iterable[ConnectionT], now_s: float
) -> tuple[list[ConnectionT], list[ConnectionT]]:
    """Return the connections that may be closed for new ones, in order.

    Returns
    -------
    idle : list
        Connections without a request, the longest idle first.
    stalled : list
        Connections whose client doesn't send or read, the longest stalled first;
        only if none is idle.
    """
    everyone = list(connections)
    idle = [one for one in everyone if one.phase is Phase.IDLE]
    if idle:
        count = max(1, int(len(everyone) * BATCH_SHARE))
        return sorted(idle, key=lambda one: one.idle_since_s)[:count], []
    stalled = [
        one
        for one in everyone
        if one.phase is not Phase.HANDLING and now_s - one.stalled_since_s >= STALL_S
    ]
    return [], sorted(stalled, key=lambda one: one.stalled_since_s)[:1]
