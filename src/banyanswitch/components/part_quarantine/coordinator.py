"""Evidence against prompt parts and requests, and what is withheld."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

import structlog

from banyanswitch.components.forwarding.models import UpstreamRecord
from banyanswitch.components.forwarding.request_content import RequestContent
from banyanswitch.components.part_quarantine.const import (
    EVIDENCE_LIFETIME_S,
    MAX_COMBINATIONS,
    MAX_ENDS,
    MAX_OWN_REQUESTS_PER_END,
    MAX_REPORT_DELAY_S,
    MAX_REPORTED_PARTS,
    MAX_REQUESTS_PER_END,
    MAX_SERVED_CONTENTS,
    MAX_SERVED_PARTS,
    MIN_RESTART_S,
    MIN_RETRY_AFTER_S,
    QUESTION_LIFETIME_S,
    SETTLE_BASE_S,
    SETTLE_PER_INSTANCE_S,
)
from banyanswitch.components.part_quarantine.models import (
    EMPTY_REPORT,
    EndedUpstream,
    QuarantineReport,
    ServedPart,
    WithheldParts,
)
from banyanswitch.core import callback
from banyanswitch.decisions.part_quarantine import (
    CONTENT_PREFIX,
    NEVER_S,
    Combination,
    PartKey,
    QuarantinePolicy,
    UpstreamEnd,
    combinations_to_withhold,
    is_refuted,
    may_have_caused,
    suspected_parts,
    trial_due_at_s,
)
from banyanswitch.identifiers import UpstreamId
from banyanswitch.interfaces import PeerDirectory

LOGGER = structlog.get_logger(__name__)
KeyT = TypeVar("KeyT")
RequestNames = tuple[str, ...]
"""Shared parts of one request, in order, and its content."""
EndKey = tuple[UpstreamId, int, str]
"""Name and start of an upstream, and a model of its requests."""


@dataclass(slots=True)
class Withheld:
    """State of a withheld combination of parts.

    Parameters
    ----------
    since_s : float
        Loop time of the first end that it explains, in seconds.
    last_s : float
        Loop time of the last end or trial, in seconds.
    trials : int
        Number of trials whether it is sound.
    """

    since_s: float
    last_s: float
    trials: int = 0


@dataclass(slots=True)
class _End:
    """End of an upstream, as far as the broken connections to it tell.

    Parameters
    ----------
    answered_at_s : float or None
        Loop time of a request that it answered afterwards, so that it has not ended.
    has_answered_here : bool
        Whether it answered this instance.
    """

    ended_at_s: float
    requests: set[RequestNames] = field(default_factory=set)
    own_requests: set[RequestNames] = field(default_factory=set)
    answered_at_s: float | None = None
    has_answered_here: bool = False


class PartQuarantine:
    """Withhold requests that crash upstreams, by a prompt part or as a whole.

    Each instance sees only its own requests break when an upstream ends. The instances
    report the shared parts and the contents of these requests to each other, and which
    suspected ones they have served since, so all of them withhold the same ones. The
    content of a request counts as one more of its parts.

    Parameters
    ----------
    peers : PeerDirectory
        The live instances.
    policy : QuarantinePolicy, optional
        When parts are withheld, and when they are tried again.

    Attributes
    ----------
    combinations : dict of Combination to Withheld
        What is withheld.
    on_evidence : callable
        Called when there is something new to report.
    async_permit_trial : callable
        Returns whether one request of all instances may try withheld parts now.
    on_withheld, on_released : callable
        Called with parts that are withheld from now on, or no longer.
    """

    def __init__(
        self, peers: PeerDirectory, policy: QuarantinePolicy | None = None
    ) -> None:
        self._peers = peers
        self._policy = policy or QuarantinePolicy()
        self._ends: OrderedDict[EndKey, _End] = OrderedDict()
        self._served_at_s: OrderedDict[PartKey, float] = OrderedDict()
        self._content_served_at_s: OrderedDict[PartKey, float] = OrderedDict()
        self._peer_served_at_s: OrderedDict[PartKey, float] = OrderedDict()
        self._questioned_at_s: OrderedDict[PartKey, float] = OrderedDict()
        self._evaluation: asyncio.TimerHandle | None = None
        self.combinations: dict[Combination, Withheld] = {}
        self.on_evidence: Callable[[], None] = lambda: None
        self.async_permit_trial: Callable[[Combination], Awaitable[bool]] = _async_deny
        self.on_withheld: Callable[[Combination], None] = lambda _parts: None
        self.on_released: Callable[[Combination], None] = lambda _parts: None

    @callback
    def note_broken(
        self,
        record: UpstreamRecord,
        content: RequestContent,
        response_age_s: float | None,
    ) -> None:
        """Record that an upstream broke off a request.

        Parameters
        ----------
        response_age_s : float or None
            Time since the response began, in seconds; ``None`` if it had not.
        """
        if not may_have_caused(response_age_s, self._policy):
            return
        request = _names(content)
        key = (record.name, record.started_at_ms, content.model)
        known = self._ends.get(key)
        if known is not None and known.answered_at_s is not None:
            del self._ends[key]
        end = self._add_end(key, _now_s(), {request})
        own_requests = end.own_requests
        if request in own_requests or len(own_requests) >= MAX_OWN_REQUESTS_PER_END:
            return
        end.own_requests.add(request)
        self._evaluate_soon()
        self.on_evidence()

    @callback
    def note_served(
        self,
        content: RequestContent,
        record: UpstreamRecord,
        sent_at_s: float,
        *,
        has_read_parts: bool,
    ) -> None:
        """Record that an upstream has run a request and answered it."""
        now_s = _now_s()
        self._note_answered(record, sent_at_s)
        for part in content.shared_parts if has_read_parts else ():
            key = PartKey(content.model, part)
            _put(self._served_at_s, key, now_s, MAX_SERVED_PARTS)
        key = PartKey(content.model, _content_name(content))
        _put(self._content_served_at_s, key, now_s, MAX_SERVED_CONTENTS)
        if self.combinations and self._release_served():
            self.on_evidence()

    def _note_answered(self, record: UpstreamRecord, sent_at_s: float) -> None:
        """Void the end of an upstream that only broke off connections."""
        has_voided = False
        for (name, started_at_ms, _), end in self._ends.items():
            if (
                (name, started_at_ms) == (record.name, record.started_at_ms)
                and end.answered_at_s is None
                and end.ended_at_s < sent_at_s <= end.ended_at_s + MIN_RESTART_S
            ):
                end.answered_at_s = sent_at_s
                end.has_answered_here = has_voided = True
        if has_voided and self._release_refuted():
            self.on_evidence()

    @callback
    def withheld(self, content: RequestContent) -> list[Combination]:
        """Return the withheld combinations of parts that a request has."""
        if not self.combinations:
            return []
        names = set(_names(content))
        return [
            parts
            for parts in self.combinations
            if parts.model == content.model and parts.parts <= names
        ]

    async def async_try(self, content: RequestContent) -> Combination | None:
        """Return the withheld parts that this one request may try, if any."""
        found = self.withheld(content)
        if len(found) != 1 or not self.is_trial_due(found[0]):
            return None
        return found[0] if await self.async_permit_trial(found[0]) else None

    @callback
    def retry_after_s(self, parts: Combination) -> float:
        """Return the time until withheld parts are tried again, in seconds."""
        known = self.combinations.get(parts)
        if known is None:
            return MIN_RETRY_AFTER_S
        due_at_s = trial_due_at_s(known.last_s, known.trials, self._policy)
        return max(MIN_RETRY_AFTER_S, due_at_s - _now_s())

    @callback
    def is_trial_due(self, parts: Combination) -> bool:
        """Return whether a request may try whether withheld parts are sound."""
        known = self.combinations.get(parts)
        if known is None:
            return False
        due_at_s = trial_due_at_s(known.last_s, known.trials, self._policy)
        return _now_s() >= due_at_s

    @callback
    def note_trials(self, parts: Combination, trials: int) -> None:
        """Record the number of trials of withheld parts, the last one just now."""
        known = self.combinations.get(parts)
        if known is not None and trials > known.trials:
            known.trials = trials
            known.last_s = _now_s()

    @callback
    def withhold_stored(self, parts: Combination, trials: int) -> bool:
        """Withhold parts that the table service has as withheld.

        Returns
        -------
        is_withheld : bool
            Whether they are withheld; otherwise their row is outdated, since some of
            them were served. The others are withheld alone.
        """
        if parts in self.combinations:
            self.note_trials(parts, trials)
            return True
        unserved = self._unserved(parts, NEVER_S)
        if unserved.parts and unserved not in self.combinations:
            now_s = _now_s()
            self._withhold(unserved, Withheld(now_s, now_s, trials), "stored")
        return unserved == parts

    @callback
    def report(self, retention_s: float) -> QuarantineReport:
        """Return what this instance knows, for the others.

        Parameters
        ----------
        retention_s : float
            Time for which the end of an upstream is reported, in seconds.
        """
        if not self._ends and not self.combinations and not self._questioned_at_s:
            return EMPTY_REPORT
        now_s = _now_s()
        for key, questioned_at_s in tuple(self._questioned_at_s.items()):
            if now_s - questioned_at_s > QUESTION_LIFETIME_S:
                del self._questioned_at_s[key]
        ended = [
            EndedUpstream(
                name,
                started_at_ms,
                model,
                now_s - end.ended_at_s,
                [list(request) for request in sorted(end.own_requests)],
                end.has_answered_here,
            )
            for (name, started_at_ms, model), end in self._ends.items()
            if (end.own_requests or end.has_answered_here)
            and now_s - end.ended_at_s <= retention_s
        ]
        served = [
            ServedPart(key.model, key.part, now_s - served_at_s)
            for key in self._questioned_at_s
            if (served_at_s := self._own_served_at_s(key)) != NEVER_S
        ]
        withheld = [
            WithheldParts(
                parts.model,
                sorted(parts.parts),
                now_s - known.since_s,
                now_s - known.last_s,
                known.trials,
            )
            for parts, known in self.combinations.items()
        ]
        return QuarantineReport(
            ended[-MAX_REPORTED_PARTS:],
            served[:MAX_REPORTED_PARTS],
            withheld[-MAX_REPORTED_PARTS:],
        )

    @callback
    def apply(self, report: QuarantineReport) -> None:
        """Apply the report of another instance."""
        now_s = _now_s()
        for ended in report.ended:
            self._apply_end(ended, now_s)
        for served in report.served:
            part = PartKey(served.model, served.part)
            at_s = now_s - served.age_s
            if at_s > self._peer_served_at_s.get(part, NEVER_S):
                _put(self._peer_served_at_s, part, at_s, MAX_SERVED_PARTS)
        if report.served:
            self._release_served()
        for reported in report.withheld:
            self._merge(reported, now_s)

    def _apply_end(self, ended: EndedUpstream, now_s: float) -> None:
        key = (UpstreamId(ended.upstream), ended.started_at_ms, ended.model)
        requests = {tuple(request) for request in ended.requests}
        ended_at_s = now_s - ended.age_s
        known = self._ends.get(key)
        if known is not None and known.answered_at_s is not None:
            if ended_at_s <= known.answered_at_s + MAX_REPORT_DELAY_S:
                return
            del self._ends[key]
            known = None
        if known is None or not requests <= known.requests:
            known = self._add_end(key, ended_at_s, requests)
            self._evaluate_soon()
        if ended.has_answered:
            known.answered_at_s = now_s
            self._release_refuted()

    def _merge(self, reported: WithheldParts, now_s: float) -> None:
        since_s = now_s - reported.since_age_s
        last_s = now_s - reported.last_age_s
        entry = Withheld(since_s, last_s, reported.trials)
        parts = Combination(reported.model, frozenset(reported.parts))
        unserved = self._unserved(parts, since_s)
        for key in _part_keys(parts):
            if key.part not in unserved.parts:
                self._question(key)
        if not unserved.parts:
            return
        known = self.combinations.get(unserved)
        if known is None:
            if not self._is_refuted(unserved):
                self._withhold(unserved, entry, "reported")
            return
        known.last_s = max(known.last_s, last_s)
        known.trials = max(known.trials, reported.trials)

    def _add_end(
        self,
        key: EndKey,
        ended_at_s: float,
        requests: set[RequestNames],
    ) -> _End:
        end = self._ends.get(key)
        if end is None:
            end = self._ends[key] = _End(ended_at_s)
            if len(self._ends) > MAX_ENDS:
                self._ends.popitem(last=False)
        end.ended_at_s = min(end.ended_at_s, ended_at_s)
        for request in requests - end.requests:
            content = PartKey(key[2], request[-1])
            if content in self._content_served_at_s:
                self._question(content)
        room = MAX_REQUESTS_PER_END - len(end.requests)
        end.requests.update(sorted(requests - end.requests)[:room])
        for parts, known in self.combinations.items():
            if any(parts.parts <= set(request) for request in requests):
                known.last_s = max(known.last_s, end.ended_at_s)
        return end

    def _evaluate_soon(self) -> None:
        """Evaluate the ends once all instances have reported theirs."""
        if self._evaluation is None:
            settle_s = SETTLE_BASE_S + SETTLE_PER_INSTANCE_S * len(self._peers.peers())
            loop = asyncio.get_running_loop()
            self._evaluation = loop.call_later(settle_s, self._evaluate)

    def _evaluate(self) -> None:
        self._evaluation = None
        now_s = _now_s()
        for end_key, end in tuple(self._ends.items()):
            if now_s - end.ended_at_s > EVIDENCE_LIFETIME_S:
                del self._ends[end_key]
        ends = [
            UpstreamEnd(
                name,
                end.ended_at_s,
                tuple(
                    frozenset(PartKey(model, part) for part in request)
                    for request in sorted(end.requests)
                ),
            )
            for (name, _, model), end in self._ends.items()
            if end.answered_at_s is None
        ]
        keys = {key for end in ends for request in end.requests for key in request}
        served_at_s = {key: self._served_last_s(key) for key in keys}
        for key in suspected_parts(ends, served_at_s, self._policy):
            self._question(key)
        found = combinations_to_withhold(ends, served_at_s, self._policy)
        has_new = False
        for parts, since_s in found.items():
            if any(known.parts <= parts.parts for known in self.combinations):
                continue
            self._withhold(parts, Withheld(since_s, now_s), "ends")
            has_new = True
        if has_new:
            self.on_evidence()

    def _is_refuted(self, parts: Combination) -> bool:
        has_answered = [
            end.answered_at_s is not None
            for (_, _, model), end in self._ends.items()
            if model == parts.model
            and any(parts.parts.issubset(request) for request in end.requests)
        ]
        answered = sum(has_answered)
        return is_refuted(len(has_answered) - answered, answered, self._policy)

    def _release_refuted(self) -> bool:
        """Release what upstreams broke off that have not ended."""
        refuted = [parts for parts in self.combinations if self._is_refuted(parts)]
        for parts in refuted:
            self._release(parts, "not_ended")
        return bool(refuted)

    def _withhold(self, parts: Combination, entry: Withheld, source: str) -> None:
        self.combinations[parts] = entry
        LOGGER.warning(
            "parts_withheld",
            model=parts.model,
            parts=sorted(parts.parts),
            source=source,
            trials=entry.trials,
        )
        self.on_withheld(parts)
        if len(self.combinations) > MAX_COMBINATIONS:
            items = self.combinations.items()
            oldest, _ = min(items, key=lambda item: item[1].last_s)
            self._release(oldest, "too_many")

    def _release_served(self) -> bool:
        """Release what was served; return whether anything was.

        If only some parts of a combination were served, the others are withheld alone.
        """
        has_released = False
        for parts, known in tuple(self.combinations.items()):
            unserved = self._unserved(parts, known.since_s)
            if unserved == parts:
                continue
            has_released = True
            self._release(parts, "served")
            if unserved.parts and unserved not in self.combinations:
                self._withhold(unserved, known, "narrowed")
        return has_released

    def _unserved(self, parts: Combination, since_s: float) -> Combination:
        """Return the parts that were not served since a time."""
        unserved = (
            key.part for key in _part_keys(parts) if self._served_last_s(key) <= since_s
        )
        return Combination(parts.model, frozenset(unserved))

    def _release(self, parts: Combination, reason: str) -> None:
        del self.combinations[parts]
        for key in _part_keys(parts):
            self._question(key)
        LOGGER.warning(
            "parts_released",
            model=parts.model,
            parts=sorted(parts.parts),
            reason=reason,
        )
        self.on_released(parts)

    def _question(self, key: PartKey) -> None:
        """Report for a while when a part was served, as others may blame it."""
        _put(self._questioned_at_s, key, _now_s(), MAX_REPORTED_PARTS)

    def _served_last_s(self, key: PartKey) -> float:
        """Return the loop time at which any instance last served a part."""
        peers_s = self._peer_served_at_s.get(key, NEVER_S)
        return max(self._own_served_at_s(key), peers_s)

    def _own_served_at_s(self, key: PartKey) -> float:
        """Return the loop time at which this instance last served a part."""
        times_s = self._content_served_at_s if key.is_content else self._served_at_s
        return times_s.get(key, NEVER_S)


def _content_name(content: RequestContent) -> str:
    return f"{CONTENT_PREFIX}{content.digest}"


def _names(content: RequestContent) -> RequestNames:
    return (*content.shared_parts, _content_name(content))


def _part_keys(parts: Combination) -> list[PartKey]:
    return [PartKey(parts.model, part) for part in sorted(parts.parts)]


def _put(times_s: OrderedDict[KeyT, float], key: KeyT, at_s: float, limit: int) -> None:
    times_s[key] = at_s
    times_s.move_to_end(key)
    if len(times_s) > limit:
        times_s.popitem(last=False)


async def _async_deny(_parts: Combination) -> bool:
    return False


def _now_s() -> float:
    return asyncio.get_running_loop().time()
