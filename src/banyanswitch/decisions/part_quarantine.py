"""Decision which prompt parts or requests crash the upstreams that run them."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from banyanswitch.identifiers import UpstreamId

NEVER_S = float("-inf")
CONTENT_PREFIX = "content:"
"""Start of the name of a whole request; names of prompt parts have no colon."""


class PartKey(NamedTuple):
    """Prompt part, or whole content, of the requests for one model."""

    model: str
    part: str

    @property
    def is_content(self) -> bool:
        """Whether it is the content of one request, with which it comes again."""
        return self.part.startswith(CONTENT_PREFIX)


class Combination(NamedTuple):
    """Parts that together are withheld: requests that have all of them.

    It has several parts as long as every request that may have been a cause had all of
    them, so that nothing tells which one it is.
    """

    model: str
    parts: frozenset[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantinePolicy:
    """Settings of the quarantine of prompt parts.

    Parameters
    ----------
    ends : int
        Number of ends of upstreams that a part must explain to be withheld. If several
        parts explain as many, one more end is awaited.
    content_ends : int
        Number of ends that the content of a request must explain to be withheld. It
        may end all upstreams of a service at once, and other requests are hardly in
        flight at each of them unless they are often served.
    min_gap_s : float
        Minimum time between ends that count separately, in seconds; upstreams that
        end together have one common cause.
    burst_gap_s : float
        The same for a quick series of ends, in seconds.
    burst_extra_ends : int
        Number of ends that a quick series needs in addition.
    max_response_age_s : float
        Age of a response, in seconds, above which its request is not the cause: a part
        crashes an upstream when the response begins.
    first_trial_s : float
        Time from the last end to the first trial whether a part is sound, in seconds.
    trial_factor : float
        Factor by which each trial lengthens the time to the next one.
    max_trial_s : float
        Maximum time to the next trial, in seconds.
    """

    ends: int = 3
    content_ends: int = 3
    min_gap_s: float = 0.5
    burst_gap_s: float = 0.15
    burst_extra_ends: int = 2
    max_response_age_s: float = 1.0
    first_trial_s: float = 8.0
    trial_factor: float = 4.0
    max_trial_s: float = 3600.0


@dataclass(frozen=True, slots=True)
class UpstreamEnd:
    """End of an upstream while requests were in flight there.

    Parameters
    ----------
    ended_at_s : float
        Loop time, in seconds.
    requests : tuple of frozenset of PartKey
        Shared parts and content of each request that may have caused it.
    """

    upstream: UpstreamId
    ended_at_s: float
    requests: tuple[frozenset[PartKey], ...]


@dataclass(slots=True)
class _Occurrences:
    """Ends that a part may explain, and the requests that had the part there."""

    ended_at_s: list[float]
    requests: set[tuple[int, int]]


def may_have_caused(response_age_s: float | None, policy: QuarantinePolicy) -> bool:
    """Return whether a request may have caused the end of its upstream.

    Parameters
    ----------
    response_age_s : float or None
        Time since its response began, in seconds; ``None`` if it had not.
    """
    return response_age_s is None or response_age_s <= policy.max_response_age_s


def combinations_to_withhold(
    ends: Iterable[UpstreamEnd],
    served_at_s: Mapping[PartKey, float],
    policy: QuarantinePolicy,
) -> dict[Combination, float]:
    """Return what explains enough ends, with the time of the first of these.

    An end counts for a part if no request with the part was served since. The part that
    explains most ends is taken first, and its ends count for no other part: requests
    that were only in flight at the same upstreams are not blamed. Of the parts that
    explain as many, those of the fewest requests are taken. The ends that no part
    explains count for the contents of the requests, first for those that were never
    served or the longest ago.

    Parameters
    ----------
    served_at_s : mapping of PartKey to float
        Loop time at which a request with the part was last served.
    """
    unexplained = list(ends)
    found: dict[Combination, float] = {}
    for find_causes in (_parts_with_most_ends, _contents_with_most_ends):
        while True:
            occurrences = _occurrences(unexplained, served_at_s)
            causes = find_causes(occurrences, served_at_s, policy)
            if not causes:
                break
            for parts in causes:
                since_s = min(min(occurrences[part].ended_at_s) for part in parts)
                found[_combination(parts)] = since_s
            unexplained = [
                end
                for end in unexplained
                if not any(
                    parts <= request for parts in causes for request in end.requests
                )
            ]
    return found


def _parts_with_most_ends(
    occurrences: Mapping[PartKey, _Occurrences],
    _served_at_s: Mapping[PartKey, float],
    policy: QuarantinePolicy,
) -> list[set[PartKey]]:
    """Return the sets of parts that explain most ends, and enough of them.

    Contents that nothing tells apart from a set of parts are in the set.
    """
    counts = {
        part: count_ends(known.ended_at_s, policy)
        for part, known in occurrences.items()
        if not part.is_content
    }
    highest = max(counts.values(), default=0)
    if highest < policy.ends:
        return []
    tied = [part for part, count in counts.items() if count == highest]
    fewest = min(len(occurrences[part].requests) for part in tied)
    causes: dict[frozenset[tuple[int, int]], set[PartKey]] = {}
    for part in tied:
        requests = frozenset(occurrences[part].requests)
        if len(requests) == fewest:
            causes.setdefault(requests, set()).add(part)
    if len(causes) > 1 and highest == policy.ends:
        return []
    for key, known in occurrences.items():
        if key.is_content and len(known.requests) == fewest:
            causes.get(frozenset(known.requests), set()).add(key)
    return list(causes.values())


def _contents_with_most_ends(
    occurrences: Mapping[PartKey, _Occurrences],
    served_at_s: Mapping[PartKey, float],
    policy: QuarantinePolicy,
) -> list[set[PartKey]]:
    """Return the contents, each alone, that explain enough ends.

    Of these, the ones are taken that were never served or the longest ago: a popular
    request is in flight at each upstream of a small service when another one ends it.
    """
    counts = {
        content: count
        for content, count in _content_counts(occurrences).items()
        if count >= policy.content_ends
    }
    if not counts:
        return []
    oldest_s = min(served_at_s.get(content, NEVER_S) for content in counts)
    oldest = [c for c in counts if served_at_s.get(c, NEVER_S) == oldest_s]
    highest = max(counts[content] for content in oldest)
    return [{content} for content in oldest if counts[content] == highest]


def is_refuted(ended: int, answered: int, policy: QuarantinePolicy) -> bool:
    """Return whether too few upstreams have ended to withhold a combination.

    Parameters
    ----------
    ended : int
        Number of upstreams that broke off requests with all its parts.
    answered : int
        Number of others that did so and answered later requests.
    """
    return answered > 0 and ended < min(policy.ends, policy.content_ends)


def suspected_parts(
    ends: Sequence[UpstreamEnd],
    served_at_s: Mapping[PartKey, float],
    policy: QuarantinePolicy,
) -> set[PartKey]:
    """Return the parts that one more end may withhold, or that are past that."""
    occurrences = _occurrences(ends, served_at_s)
    parts = {
        key
        for key, known in occurrences.items()
        if not key.is_content
        and count_ends(known.ended_at_s, policy) >= policy.ends - 1
    }
    contents = _content_counts(occurrences)
    return parts | {
        key for key, count in contents.items() if count >= policy.content_ends - 1
    }


def count_ends(times_s: Sequence[float], policy: QuarantinePolicy) -> int:
    """Return the number of ends that count separately.

    Parameters
    ----------
    times_s : sequence of float
        Loop times of the ends, in seconds, in any order.
    """
    in_series = _count_separate(times_s, policy.burst_gap_s) - policy.burst_extra_ends
    return max(in_series, _count_separate(times_s, policy.min_gap_s))


def _count_separate(times_s: Iterable[float], min_gap_s: float) -> int:
    """Return the number of times that lie at least ``min_gap_s`` after the last one."""
    count = 0
    last_s = NEVER_S
    for time_s in sorted(times_s):
        if time_s - last_s >= min_gap_s:
            count += 1
            last_s = time_s
    return count


def trial_due_at_s(last_s: float, trials: int, policy: QuarantinePolicy) -> float:
    """Return the loop time of the next trial of a withheld combination, in seconds.

    Parameters
    ----------
    last_s : float
        Loop time of the last end or trial.
    trials : int
        Number of trials so far.
    """
    delay_s = policy.first_trial_s * policy.trial_factor**trials
    return last_s + min(policy.max_trial_s, delay_s)


def _occurrences(
    ends: Iterable[UpstreamEnd], served_at_s: Mapping[PartKey, float]
) -> dict[PartKey, _Occurrences]:
    found: dict[PartKey, _Occurrences] = {}
    for end_number, end in enumerate(ends):
        for request_number, parts in enumerate(end.requests):
            for part in parts:
                if end.ended_at_s <= served_at_s.get(part, NEVER_S):
                    continue
                known = found.setdefault(part, _Occurrences([], set()))
                known.ended_at_s.append(end.ended_at_s)
                known.requests.add((end_number, request_number))
    return found


def _content_counts(
    occurrences: Mapping[PartKey, _Occurrences],
) -> dict[PartKey, int]:
    """Return the number of ends of each content, also of ends at the same time."""
    return {
        key: len({end_number for end_number, _ in known.requests})
        for key, known in occurrences.items()
        if key.is_content
    }


def _combination(parts: set[PartKey]) -> Combination:
    model = next(iter(parts)).model
    return Combination(model, frozenset(key.part for key in parts))
