"""Token bucket with an explicit clock."""


class TokenBucket:
    """Bounded budget that refills at a constant rate and is never negative.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    capacity : float
        Maximum number of tokens; the bucket starts full.
    now_s : float
        Loop time at which the bucket starts, in seconds.
    """

    def __init__(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = capacity
        self._updated_at_s = now_s

    def level(self, now_s: float) -> float:
        """Return the number of available tokens."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = max(self._updated_at_s, now_s)
        self._level = min(self.capacity, self._level + elapsed_s * self.rate_per_s)
        return self._level

    def try_spend(self, tokens: float, now_s: float) -> bool:
        """Remove tokens and return ``True`` if enough are available."""
        if self.level(now_s) < tokens:
            return False
        self._level -= tokens
        return True

    def add(self, tokens: float, now_s: float) -> None:
        """Add tokens, up to the capacity."""
        self._level = min(self.capacity, self.level(now_s) + tokens)

    def wait_s(self, tokens: float, now_s: float) -> float:
        """Return the time until that many tokens are available, in seconds.

        A number above the capacity counts as the capacity.
        """
        missing = min(tokens, self.capacity) - self.level(now_s)
        if missing <= 0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0 else float("inf")

    def change(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Change the rate and the capacity."""
        self.level(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(self._level, capacity)
