"""Decision on how long the feed calls of an instance wait for a change."""

from collections.abc import Iterable
from typing import Final

MIN_WAIT_S: Final = 0.1
"""Shortest wait; a call that ends at once would only cost another one."""


def feed_wait_s(
    outstanding_ends_at_s: Iterable[float], now_s: float, *, max_wait_s: float
) -> float:
    """Return how long a feed call that begins now waits for a change.

    A connection that has gone silent shows only at the end of its call. The calls of
    one instance therefore end at different times: some call ends within ``max_wait_s``
    divided by their number, and `MIN_WAIT_S`, and then shows that the connections of
    the others may be silent, too. In calm all of them wait for ``max_wait_s``, so that
    there are no more calls.

    Parameters
    ----------
    outstanding_ends_at_s : iterable of float
        Loop times at which the waits of the instance's other calls end.

    Returns
    -------
    wait : float
        Seconds; at most ``max_wait_s``.
    """
    latest_s = now_s + max_wait_s
    others = sorted(at_s for at_s in outstanding_ends_at_s if now_s < at_s <= latest_s)
    if not others:
        return max_wait_s
    spacing_s = max_wait_s / (len(others) + 1)
    first_in_s = others[0] - now_s
    if first_in_s > spacing_s + MIN_WAIT_S:
        return first_in_s - spacing_s
    return min(max_wait_s, others[-1] - now_s + spacing_s)
