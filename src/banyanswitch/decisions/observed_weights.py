"""Decisions on which weights an upstream has, from observations out of order."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightObservation:
    """Weight version that an upstream had at some moment within a time.

    Parameters
    ----------
    begun_at_s : float
        Loop time of the earliest such moment; minus infinity if it is not known.
    ended_at_s : float
        Loop time of the latest such moment.
    """

    version: int
    begun_at_s: float
    ended_at_s: float


@dataclass(frozen=True, slots=True)
class KnownWeights:
    """Weight version that an upstream is known to have.

    Parameters
    ----------
    seen_until_s : float
        Loop time until which an observation may have been made of it.
    has_fallen : bool
        Whether it is lower than one that was known before.
    """

    version: int
    seen_until_s: float
    has_fallen: bool = False


def updated_weights(
    known: KnownWeights | None, seen: WeightObservation
) -> KnownWeights:
    """Return what is known after an observation.

    Weights mostly rise, so a higher version counts even if nothing shows that it is the
    later one. They fall if an upstream that has started again carries out an order that
    an earlier start received. A lower version counts only if it was observed later than
    the known one. After that, a higher one must be later, too: observations from before
    the fall may still arrive.
    """
    if known is None:
        return KnownWeights(seen.version, seen.ended_at_s)
    if seen.version == known.version:
        seen_until_s = max(known.seen_until_s, seen.ended_at_s)
        return KnownWeights(known.version, seen_until_s, known.has_fallen)
    is_later = seen.begun_at_s >= known.seen_until_s
    is_rise = seen.version > known.version
    if is_later or (is_rise and not known.has_fallen):
        return KnownWeights(seen.version, seen.ended_at_s, has_fallen=not is_rise)
    return known
