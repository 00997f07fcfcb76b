"""How much longer than usual work takes at an upstream, from what it last reported."""

import msgspec

USUAL = 1.0
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 20.0
HALF_LIFE_S = 0.4
"""Age at which half of a report's deviation from the usual speed still counts.
Upstreams change their speed several times per second."""
LIFETIME_S = 3.0
"""Age from which a report no longer counts; 0.6 % of it would be left."""
USUAL_TOLERANCE = 0.05
"""Deviation from the usual speed up to which an upstream counts as running as usual."""
PERCENT = 100.0
MILLISECONDS_PER_S = 1000.0


class SlownessReport(msgspec.Struct, frozen=True, array_like=True):
    """Slowness that an instance observed at an upstream.

    Parameters
    ----------
    percent : int
        Duration of work relative to the usual one; 100 is as usual.
    age_ms : int
        Time since the upstream reported it, in milliseconds.
    """

    percent: int
    age_ms: int

    @property
    def age_s(self) -> float:
        """Return the age in seconds, at least 0."""
        return max(0, self.age_ms) / MILLISECONDS_PER_S

    @property
    def slowness(self) -> float:
        """Return the slowness that was observed, within its bounds."""
        return bounded_slowness(self.percent / PERCENT)


def slowness_report(slowness: float, age_s: float) -> SlownessReport:
    """Return the report of a slowness that was observed ``age_s`` ago."""
    age_ms = max(0, round(age_s * MILLISECONDS_PER_S))
    return SlownessReport(round(slowness * PERCENT), age_ms)


def bounded_slowness(slowness: float) -> float:
    """Return a reported slowness within `MIN_SLOWNESS` and `MAX_SLOWNESS`."""
    return min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))


def is_usual(slowness: float) -> bool:
    """Return whether an upstream counts as running at its usual speed."""
    return abs(slowness - USUAL) <= USUAL_TOLERANCE


def aged_slowness(slowness: float, age_s: float) -> float:
    """Return the slowness to expect of an upstream that reported one ``age_s`` ago.

    Its deviation from the usual speed halves every `HALF_LIFE_S`, so an upstream that
    gets no requests because it was slow is soon tried again.
    """
    if age_s >= LIFETIME_S:
        return USUAL
    weight: float = 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
    return USUAL + (slowness - USUAL) * weight
