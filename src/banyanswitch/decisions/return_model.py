"""Estimate of the probability that a prompt returns, from past gaps between uses."""

import math
from typing import Final

GAP_CLASS_BASE_S: Final = 30.0
"""Lower bound of gap class n is this value times ``2**n``; class 0 starts at 0."""

GAP_CLASSES: Final = 12
"""Number of gap classes; the upper bound doubles from each class to the next."""

RETURN_CLASSES: Final = 4
"""Number of classes of prompts by their number of returns.

The last class is for ``RETURN_CLASSES - 1`` or more returns.
"""

PRIOR_RETURNS: Final = 2.0
PRIOR_EXPOSURES: Final = 8.0
DECAY: Final = 0.5
DECAY_AT_EXPOSURES: Final = 4000.0


class ReturnModel:
    """Hazard of a return for each gap class and return class.

    The counts are halved when they reach a bound, so that the model follows
    changes in the traffic.
    """

    def __init__(self) -> None:
        self._returns = [[PRIOR_RETURNS] * GAP_CLASSES for _ in range(RETURN_CLASSES)]
        self._exposures = [
            [PRIOR_EXPOSURES] * GAP_CLASSES for _ in range(RETURN_CLASSES)
        ]

    def on_returned(self, gap_s: float, returns_before: int) -> None:
        """Update the model with a prompt that returned."""
        index = self._expose(gap_s, returns_before)
        self._returns[_return_class(returns_before)][index] += 1.0

    def on_evicted(self, age_s: float, returns: int) -> None:
        """Update the model with a prompt that was evicted before it returned."""
        self._expose(age_s, returns)

    def probability(self, returns: int, from_s: float, until_s: float) -> float:
        """Return the probability of a return between two ages.

        Parameters
        ----------
        returns : int
            Number of returns of the prompt so far.
        from_s, until_s : float
            Ages of the prompt, in seconds since its last use; it has not returned
            before ``from_s``.
        """
        row = _return_class(returns)
        no_return_probability = 1.0
        for index in range(_gap_class(from_s), _gap_class(until_s) + 1):
            hazard = min(1.0, self._returns[row][index] / self._exposures[row][index])
            overlap = _overlap(index, from_s, until_s)
            no_return_probability *= (1.0 - hazard) ** overlap
        return 1.0 - no_return_probability

    def _expose(self, age_s: float, returns: int) -> int:
        row = _return_class(returns)
        last = _gap_class(age_s)
        exposures = self._exposures[row]
        for index in range(last + 1):
            exposures[index] += 1.0
        if exposures[0] >= DECAY_AT_EXPOSURES:
            self._exposures[row] = [DECAY * count for count in exposures]
            self._returns[row] = [DECAY * count for count in self._returns[row]]
        return last


def _return_class(returns: int) -> int:
    return min(returns, RETURN_CLASSES - 1)


def _gap_class(gap_s: float) -> int:
    if gap_s < 2 * GAP_CLASS_BASE_S:
        return 0
    return min(GAP_CLASSES - 1, int(math.log2(gap_s / GAP_CLASS_BASE_S)))


def _overlap(index: int, from_s: float, until_s: float) -> float:
    start_s = GAP_CLASS_BASE_S * 2.0**index if index else 0.0
    end_s = GAP_CLASS_BASE_S * 2.0 ** (index + 1)
    shared_s = min(until_s, end_s) - max(from_s, start_s)
    return min(1.0, max(0.0, shared_s) / (end_s - start_s))
