"""Maximum of a value over a recent time."""

from collections import deque


class RecentMaximum:
    """Maximum of the values noted within a retention time.

    Parameters
    ----------
    retention_s : float
        Time for which a value counts, in seconds.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        # Times and values; each value is higher than all later ones.
        self._noted: deque[tuple[float, int]] = deque()

    def note(self, value: int, now_s: float) -> int:
        """Add a value, and return the maximum."""
        while self._noted and self._noted[-1][1] <= value:
            self._noted.pop()
        self._noted.append((now_s, value))
        while now_s - self._noted[0][0] > self._retention_s:
            self._noted.popleft()
        return self._noted[0][1]
