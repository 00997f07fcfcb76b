"""Selection of senders that instances make alike although they see different ones."""

from collections import deque
from collections.abc import Collection, Iterable
from typing import Final

from banyanswitch.decisions.rendezvous import is_selected

SETTLING_S: Final = 3.0
"""Time after a change of the instances in which both the senders before and after it
must include an instance that sends; by then all instances know of the change. It also
runs from the start of an instance, which knows no others at first."""

ABSENCE_S: Final = 600.0
"""Time for which an instance that vanished without leaving stays a candidate, since it
may be alive on the other side of a partition."""

MAX_TOPICS: Final = 4_000
"""Number of selections that are remembered, far above the number of upstreams."""


class StableSenders:
    """Candidates for the senders to upstreams, by their addresses.

    Instances that are partitioned from each other select the same senders, because
    each one keeps those it can't reach any more among the candidates. Those named in
    its settings are candidates even before it has seen them.
    """

    def __init__(self) -> None:
        self._present: frozenset[str] = frozenset()
        self._vanished_at_s: dict[str, float] = {}
        # Candidates since a time; those before the last `SETTLING_S` are dropped.
        self._views: deque[tuple[float, frozenset[str]]] = deque()
        self._selected: dict[tuple[str, int], bool] = {}

    @property
    def count(self) -> int:
        """Number of candidates."""
        return len(self._views[-1][1]) if self._views else 1

    def update(
        self,
        present: Collection[str],
        leaving: Collection[str],
        named: Iterable[str],
        now_s: float,
    ) -> None:
        """Record the instances that are seen at a time.

        Parameters
        ----------
        present : collection of str
            Addresses of the live instances that are not leaving.
        leaving : collection of str
            Addresses of the live instances that are starting or stopping.
        named : iterable of str
            Addresses of instances in the settings.
        """
        for address in self._present:
            if address not in present and address not in leaving:
                self._vanished_at_s.setdefault(address, now_s)
        self._present = frozenset(present)
        self._vanished_at_s = {
            address: at_s
            for address, at_s in self._vanished_at_s.items()
            if address not in present
            and address not in leaving
            and now_s - at_s <= ABSENCE_S
        }
        unseen = frozenset(named).difference(leaving)
        candidates = self._present | unseen | self._vanished_at_s.keys()
        if not self._views or candidates != self._views[-1][1]:
            self._views.append((now_s, candidates))
            self._selected.clear()

    def is_sender(self, topic: str, address: str, senders: int, now_s: float) -> bool:
        """Return whether an instance is among the senders of a topic.

        Parameters
        ----------
        senders : int
            Number of instances that send.
        """
        while len(self._views) > 1 and self._views[1][0] <= now_s - SETTLING_S:
            self._views.popleft()
            self._selected.clear()
        if not self._views or self._views[0][0] > now_s - SETTLING_S:
            return False
        key = (topic, senders)
        if len(self._selected) > MAX_TOPICS:
            self._selected.clear()
        if key not in self._selected:
            self._selected[key] = all(
                is_selected(topic, address, candidates, senders)
                for _, candidates in self._views
            )
        return self._selected[key]
