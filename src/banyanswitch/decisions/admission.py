"""Admission of requests: limits of workspaces, priorities and bounded queues."""

import heapq
import math
from dataclasses import dataclass
from typing import Final

from banyanswitch.config.models import Priority
from banyanswitch.decisions.admission_models import (
    AdmissionPolicy,
    AdmissionRefusal,
    AdmissionRequest,
    Admitted,
    NotAdmitted,
    Queued,
)
from banyanswitch.decisions.token_bucket import TokenBucket
from banyanswitch.identifiers import RunId, WorkspaceId

__all__ = [
    "AdmissionController",
    "AdmissionPolicy",
    "AdmissionRefusal",
    "AdmissionRequest",
    "Admitted",
    "NotAdmitted",
    "Queued",
]

MIN_RETRY_AFTER_S: Final = 0.5
MAX_RETRY_AFTER_S: Final = 60.0
START_SMOOTHING: Final = 0.2
"""Weight of the latest interval between two starts from a queue in the mean."""


@dataclass(slots=True)
class _WorkspaceUse:
    bucket: TokenBucket
    running: int = 0
    queued: int = 0


@dataclass(slots=True)
class _Waiting:
    request: AdmissionRequest
    number: int
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class _Pace:
    """How fast a queue moves.

    Parameters
    ----------
    interval_s : float
        Mean time between two starts from the queue, in seconds.
    last_start_s : float, optional
        Loop time of the last one, if the queue has been in use since.
    """

    interval_s: float
    last_start_s: float | None


class AdmissionController:
    """Admit, queue or refuse the requests of one instance.

    The queue of a priority keeps the order of arrival, so that a later request
    can't delay one that was promised its start. A request is queued only if it is
    expected to start in time, and one that can't any more is given up at once.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._workspaces: dict[WorkspaceId, _WorkspaceUse] = {}
        self._running: dict[RunId, AdmissionRequest] = {}
        self._running_batch = 0
        self._waiting: dict[RunId, _Waiting] = {}
        self._queues: dict[Priority, list[tuple[int, int, _Waiting]]] = {
            priority: [] for priority in Priority
        }
        self._queued = dict.fromkeys(Priority, 0)
        self._numbers: dict[RunId, int] = {}
        self._arrivals = 0
        self._pushes = 0
        self._grants = 0
        self._pace = dict.fromkeys(Priority, _Pace(0.0, None))
        self._paces: dict[RunId, _Pace] = {}
        self._closed_until_s = dict.fromkeys(Priority, 0.0)
        self._is_probing = dict.fromkeys(Priority, False)

    @property
    def running_count(self) -> int:
        """Number of admitted requests that have not finished."""
        return len(self._running)

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Use other settings from now on, for example another capacity."""
        self._policy = policy

    def admit(
        self, request: AdmissionRequest, now_s: float
    ) -> Admitted | Queued | NotAdmitted:
        """Decide on a new request."""
        use = self._use(request, now_s)
        refusal = self._over_limit(request, use, now_s)
        if refusal is not None:
            return refusal
        has_queue = self._queued[request.priority] > 0
        if not has_queue and self._has_room(request.priority, now_s):
            use.bucket.try_spend(1.0, now_s)
            pace = self._pace[request.priority]
            self._pace[request.priority] = _Pace(pace.interval_s, None)
            self._start(request, use)
            return Admitted(request.run)
        wait_s = self._expected_wait_s(request.priority)
        is_full = self._queued[request.priority] >= self._policy.max_queued
        margin_s = self._policy.wait_margin * wait_s
        if is_full or now_s + margin_s > request.latest_start_s:
            return _overloaded(request, wait_s)
        use.bucket.try_spend(1.0, now_s)
        self._arrivals += 1
        self._enqueue(request, use, self._arrivals)
        return Queued(request.run, wait_s)

    def on_busy(self, run: RunId, now_s: float) -> Queued | NotAdmitted:
        """Take back an admitted request for which all upstreams are full.

        Its priority gets no starts for ``busy_s``, then one with each `advance`
        until its queue is empty.
        """
        request = self._running.pop(run)
        pace = self._paces.pop(run, None)
        if pace is not None:
            self._pace[request.priority] = pace
        use = self._workspaces[request.workspace]
        use.running -= 1
        if request.priority is Priority.BATCH:
            self._running_batch -= 1
        busy_until_s = now_s + self._policy.busy_s
        self._closed_until_s[request.priority] = busy_until_s
        self._is_probing[request.priority] = True
        wait_s = self._expected_wait_s(request.priority)
        if now_s > request.latest_start_s:
            return _overloaded(request, wait_s)
        self._arrivals += 1
        number = self._numbers.get(run, self._arrivals)
        self._enqueue(request, use, number)
        return Queued(run, wait_s)

    def on_finished(self, run: RunId, now_s: float) -> None:
        """Free the place of an admitted request, or drop a queued one."""
        request = self._running.pop(run, None)
        self._numbers.pop(run, None)
        self._paces.pop(run, None)
        if request is None:
            self._cancel(run)
            return
        self._workspaces[request.workspace].running -= 1
        if request.priority is Priority.BATCH:
            self._running_batch -= 1

    def advance(self, now_s: float) -> tuple[Admitted | NotAdmitted, ...]:
        """Start queued requests that fit and give up those that are too late.

        Call it after each `on_finished` and a few times a second.
        """
        results: list[Admitted | NotAdmitted] = []
        for priority in Priority:
            results.extend(self._give_up_late(priority, now_s))
        probed: set[Priority] = set()
        while True:
            waiting = self._next_waiting(now_s, probed)
            if waiting is None:
                return tuple(results)
            request = waiting.request
            if self._is_probing[request.priority]:
                probed.add(request.priority)
                self._space_out(request.priority, now_s)
            self._remove(waiting)
            self._numbers[request.run] = waiting.number
            self._paces[request.run] = self._pace[request.priority]
            self._note_start(request.priority, now_s)
            self._start(request, self._workspaces[request.workspace])
            results.append(Admitted(request.run))

    def _use(self, request: AdmissionRequest, now_s: float) -> _WorkspaceUse:
        rate_per_s = request.limits.requests_per_s / max(1, request.serving_entries)
        capacity = max(1.0, rate_per_s * self._policy.burst_s)
        use = self._workspaces.get(request.workspace)
        if use is None:
            use = _WorkspaceUse(TokenBucket(rate_per_s, capacity, now_s))
            self._workspaces[request.workspace] = use
            return use
        if (use.bucket.rate_per_s, use.bucket.capacity) != (rate_per_s, capacity):
            use.bucket.change(rate_per_s, capacity, now_s)
        return use

    def _over_limit(
        self, request: AdmissionRequest, use: _WorkspaceUse, now_s: float
    ) -> NotAdmitted | None:
        limit = request.limits.concurrent_requests / max(1, request.serving_entries)
        if use.running + use.queued >= max(1, math.ceil(limit)):
            return NotAdmitted(
                request.run,
                AdmissionRefusal.TOO_MANY_CONCURRENT,
                _bounded_retry_s(self._pace[request.priority].interval_s),
            )
        if use.bucket.level(now_s) >= 1.0:
            return None
        return NotAdmitted(
            request.run,
            AdmissionRefusal.RATE_LIMITED,
            _bounded_retry_s(use.bucket.wait_s(1.0, now_s)),
        )

    def _has_room(self, priority: Priority, now_s: float) -> bool:
        if now_s < self._closed_until_s[priority]:
            return False
        if len(self._running) >= self._policy.capacity:
            return False
        if priority is Priority.INTERACTIVE:
            return True
        batch_capacity = max(1, int(self._policy.capacity * self._policy.batch_share))
        return self._running_batch < batch_capacity

    def _start(self, request: AdmissionRequest, use: _WorkspaceUse) -> None:
        use.running += 1
        self._running[request.run] = request
        if request.priority is Priority.BATCH:
            self._running_batch += 1

    def _enqueue(
        self, request: AdmissionRequest, use: _WorkspaceUse, number: int
    ) -> None:
        waiting = _Waiting(request, number)
        use.queued += 1
        self._queued[request.priority] += 1
        self._waiting[request.run] = waiting
        self._pushes += 1
        item = (number, self._pushes, waiting)
        heapq.heappush(self._queues[request.priority], item)

    def _remove(self, waiting: _Waiting) -> None:
        request = waiting.request
        waiting.is_gone = True
        del self._waiting[request.run]
        self._queued[request.priority] -= 1
        self._workspaces[request.workspace].queued -= 1

    def _cancel(self, run: RunId) -> None:
        waiting = self._waiting.get(run)
        if waiting is not None:
            self._remove(waiting)

    def _head(self, priority: Priority) -> _Waiting | None:
        queue = self._queues[priority]
        while queue and queue[0][2].is_gone:
            heapq.heappop(queue)
        return queue[0][2] if queue else None

    def _next_waiting(self, now_s: float, probed: set[Priority]) -> _Waiting | None:
        heads: dict[Priority, _Waiting | None] = dict.fromkeys(Priority)
        for priority in Priority:
            if priority not in probed and self._has_room(priority, now_s):
                heads[priority] = self._head(priority)
        interactive = heads[Priority.INTERACTIVE]
        batch = heads[Priority.BATCH]
        if interactive is None or batch is None:
            return interactive or batch
        self._grants += 1
        return batch if self._grants % self._policy.batch_every == 0 else interactive

    def _give_up_late(self, priority: Priority, now_s: float) -> list[NotAdmitted]:
        results: list[NotAdmitted] = []
        for _, _, waiting in self._queues[priority]:
            request = waiting.request
            if waiting.is_gone or request.latest_start_s >= now_s:
                continue
            self._remove(waiting)
            results.append(_overloaded(request, self._expected_wait_s(priority)))
        return results

    def _expected_wait_s(self, priority: Priority) -> float:
        return (self._queued[priority] + 1) * self._pace[priority].interval_s

    def _space_out(self, priority: Priority, now_s: float) -> None:
        if priority is Priority.BATCH:
            self._closed_until_s[priority] = now_s + self._policy.batch_spacing_s

    def _note_start(self, priority: Priority, now_s: float) -> None:
        pace = self._pace[priority]
        if not self._queued[priority]:
            self._is_probing[priority] = False
        interval_s = pace.interval_s
        if pace.last_start_s is not None:
            latest_s = now_s - pace.last_start_s
            smoothing = START_SMOOTHING if interval_s > 0 else 1.0
            interval_s += smoothing * (latest_s - interval_s)
        self._pace[priority] = _Pace(interval_s, now_s)


def _overloaded(request: AdmissionRequest, wait_s: float) -> NotAdmitted:
    return NotAdmitted(
        request.run, AdmissionRefusal.OVERLOADED, _bounded_retry_s(wait_s)
    )


def _bounded_retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
