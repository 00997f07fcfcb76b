"""Admission control: workspace limits, priorities and bounded queues."""

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
START_INTERVAL_SMOOTHING: Final = 0.2
"""Weight of the latest interval between two queue starts in the moving average."""


@dataclass(slots=True)
class _WorkspaceUsage:
    bucket: TokenBucket
    running: int = 0
    queued: int = 0


@dataclass(slots=True)
class _QueuedRequest:
    request: AdmissionRequest
    arrival_number: int
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class _StartInterval:
    """Interval between the starts of queued requests of one priority.

    Parameters
    ----------
    interval_s : float
        Moving average of the time between two starts from the queue, in seconds.
    last_start_s : float, optional
        Loop time of the last start; ``None`` before the first one and after a
        request of this priority was admitted without queuing.
    """

    interval_s: float
    last_start_s: float | None


class AdmissionController:
    """Admit, queue or refuse the requests of one instance.

    A new request is queued only if it is expected to start in time. Each priority has
    a queue in order of arrival, so that a later request can't delay the expected start
    of an earlier one of the same priority. `advance` refuses a queued request whose
    latest start has passed.
    """

    def __init__(self, policy: AdmissionPolicy) -> None:
        self._policy = policy
        self._workspace_usages: dict[WorkspaceId, _WorkspaceUsage] = {}
        self._running: dict[RunId, AdmissionRequest] = {}
        self._running_batch = 0
        self._queued_requests: dict[RunId, _QueuedRequest] = {}
        self._queues: dict[Priority, list[tuple[int, int, _QueuedRequest]]] = {
            priority: [] for priority in Priority
        }
        self._queued_counts = dict.fromkeys(Priority, 0)
        self._arrival_numbers: dict[RunId, int] = {}
        self._arrivals = 0
        self._pushes = 0
        self._contested_starts = 0
        self._start_intervals = dict.fromkeys(Priority, _StartInterval(0.0, None))
        self._previous_intervals: dict[RunId, _StartInterval] = {}
        self._paused_until_s = dict.fromkeys(Priority, 0.0)
        self._is_probing = dict.fromkeys(Priority, False)

    @property
    def running_count(self) -> int:
        """Return the number of admitted requests that have not finished."""
        return len(self._running)

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Replace the settings, for example the capacity."""
        self._policy = policy

    def admit(
        self, request: AdmissionRequest, now_s: float
    ) -> Admitted | Queued | NotAdmitted:
        """Admit, queue or refuse a new request."""
        usage = self._workspace_usage(request, now_s)
        refusal = self._check_limits(request, usage, now_s)
        if refusal is not None:
            return refusal
        has_queue = self._queued_counts[request.priority] > 0
        if not has_queue and self._has_room(request.priority, now_s):
            usage.bucket.try_spend(1.0, now_s)
            interval = self._start_intervals[request.priority]
            self._start_intervals[request.priority] = _StartInterval(
                interval.interval_s, None
            )
            self._start(request, usage)
            return Admitted(request.run)
        wait_s = self._expected_wait_s(request.priority)
        is_full = self._queued_counts[request.priority] >= self._policy.max_queued
        margin_s = self._policy.wait_margin * wait_s
        if is_full or now_s + margin_s > request.latest_start_s:
            return _overloaded(request, wait_s)
        usage.bucket.try_spend(1.0, now_s)
        self._arrivals += 1
        self._enqueue(request, usage, self._arrivals)
        return Queued(request.run, wait_s)

    def on_busy(self, run: RunId, now_s: float) -> Queued | NotAdmitted:
        """Queue an admitted request again because all upstreams are full.

        No request of its priority starts for ``busy_pause_s``. After that, each call
        of `advance` starts at most one until the queue is empty. A request that was
        queued before keeps its queue position. The request is refused if its latest
        start has passed.
        """
        request = self._running.pop(run)
        interval = self._previous_intervals.pop(run, None)
        if interval is not None:
            self._start_intervals[request.priority] = interval
        usage = self._workspace_usages[request.workspace]
        usage.running -= 1
        if request.priority is Priority.BATCH:
            self._running_batch -= 1
        busy_until_s = now_s + self._policy.busy_pause_s
        self._paused_until_s[request.priority] = busy_until_s
        self._is_probing[request.priority] = True
        wait_s = self._expected_wait_s(request.priority)
        if now_s > request.latest_start_s:
            return _overloaded(request, wait_s)
        self._arrivals += 1
        number = self._arrival_numbers.get(run, self._arrivals)
        self._enqueue(request, usage, number)
        return Queued(run, wait_s)

    def on_finished(self, run: RunId, now_s: float) -> None:
        """Release the slot of an admitted request, or remove a queued one."""
        request = self._running.pop(run, None)
        self._arrival_numbers.pop(run, None)
        self._previous_intervals.pop(run, None)
        if request is None:
            self._cancel(run)
            return
        self._workspace_usages[request.workspace].running -= 1
        if request.priority is Priority.BATCH:
            self._running_batch -= 1

    def advance(self, now_s: float) -> tuple[Admitted | NotAdmitted, ...]:
        """Start queued requests that fit and refuse those past their latest start.

        Call it after each `on_finished` and a few times a second.
        """
        results: list[Admitted | NotAdmitted] = []
        for priority in Priority:
            results.extend(self._refuse_overdue(priority, now_s))
        probed: set[Priority] = set()
        while True:
            queued_request = self._next_queued(now_s, probed)
            if queued_request is None:
                return tuple(results)
            request = queued_request.request
            if self._is_probing[request.priority]:
                probed.add(request.priority)
                self._pause_batch(request.priority, now_s)
            self._remove(queued_request)
            self._arrival_numbers[request.run] = queued_request.arrival_number
            self._previous_intervals[request.run] = self._start_intervals[
                request.priority
            ]
            self._record_start(request.priority, now_s)
            self._start(request, self._workspace_usages[request.workspace])
            results.append(Admitted(request.run))

    def _workspace_usage(
        self, request: AdmissionRequest, now_s: float
    ) -> _WorkspaceUsage:
        rate_per_s = request.limits.requests_per_s / max(1, request.serving_entries)
        capacity = max(1.0, rate_per_s * self._policy.burst_s)
        usage = self._workspace_usages.get(request.workspace)
        if usage is None:
            usage = _WorkspaceUsage(TokenBucket(rate_per_s, capacity, now_s))
            self._workspace_usages[request.workspace] = usage
            return usage
        if (usage.bucket.rate_per_s, usage.bucket.capacity) != (rate_per_s, capacity):
            usage.bucket.change(rate_per_s, capacity, now_s)
        return usage

    def _check_limits(
        self, request: AdmissionRequest, usage: _WorkspaceUsage, now_s: float
    ) -> NotAdmitted | None:
        limit = request.limits.concurrent_requests / max(1, request.serving_entries)
        if usage.running + usage.queued >= max(1, math.ceil(limit)):
            return NotAdmitted(
                request.run,
                AdmissionRefusal.TOO_MANY_CONCURRENT,
                _bounded_retry_s(self._start_intervals[request.priority].interval_s),
            )
        if usage.bucket.level(now_s) >= 1.0:
            return None
        return NotAdmitted(
            request.run,
            AdmissionRefusal.RATE_LIMITED,
            _bounded_retry_s(usage.bucket.wait_s(1.0, now_s)),
        )

    def _has_room(self, priority: Priority, now_s: float) -> bool:
        if now_s < self._paused_until_s[priority]:
            return False
        if len(self._running) >= self._policy.capacity:
            return False
        if priority is Priority.INTERACTIVE:
            return True
        batch_capacity = max(1, int(self._policy.capacity * self._policy.batch_share))
        return self._running_batch < batch_capacity

    def _start(self, request: AdmissionRequest, usage: _WorkspaceUsage) -> None:
        usage.running += 1
        self._running[request.run] = request
        if request.priority is Priority.BATCH:
            self._running_batch += 1

    def _enqueue(
        self, request: AdmissionRequest, usage: _WorkspaceUsage, number: int
    ) -> None:
        queued_request = _QueuedRequest(request, number)
        usage.queued += 1
        self._queued_counts[request.priority] += 1
        self._queued_requests[request.run] = queued_request
        self._pushes += 1
        # The removed item of a request that is queued again may still be in the heap,
        # with the same arrival number. The push number orders the two.
        item = (number, self._pushes, queued_request)
        heapq.heappush(self._queues[request.priority], item)

    def _remove(self, queued_request: _QueuedRequest) -> None:
        request = queued_request.request
        queued_request.is_removed = True
        del self._queued_requests[request.run]
        self._queued_counts[request.priority] -= 1
        self._workspace_usages[request.workspace].queued -= 1

    def _cancel(self, run: RunId) -> None:
        queued_request = self._queued_requests.get(run)
        if queued_request is not None:
            self._remove(queued_request)

    def _head(self, priority: Priority) -> _QueuedRequest | None:
        queue = self._queues[priority]
        while queue and queue[0][2].is_removed:
            heapq.heappop(queue)
        return queue[0][2] if queue else None

    def _next_queued(
        self, now_s: float, probed: set[Priority]
    ) -> _QueuedRequest | None:
        heads: dict[Priority, _QueuedRequest | None] = dict.fromkeys(Priority)
        for priority in Priority:
            if priority not in probed and self._has_room(priority, now_s):
                heads[priority] = self._head(priority)
        interactive = heads[Priority.INTERACTIVE]
        batch = heads[Priority.BATCH]
        if interactive is None or batch is None:
            return interactive or batch
        self._contested_starts += 1
        return (
            batch
            if self._contested_starts % self._policy.batch_every == 0
            else interactive
        )

    def _refuse_overdue(self, priority: Priority, now_s: float) -> list[NotAdmitted]:
        results: list[NotAdmitted] = []
        for _, _, queued_request in self._queues[priority]:
            request = queued_request.request
            if queued_request.is_removed or request.latest_start_s >= now_s:
                continue
            self._remove(queued_request)
            results.append(_overloaded(request, self._expected_wait_s(priority)))
        return results

    def _expected_wait_s(self, priority: Priority) -> float:
        return (self._queued_counts[priority] + 1) * self._start_intervals[
            priority
        ].interval_s

    def _pause_batch(self, priority: Priority, now_s: float) -> None:
        if priority is Priority.BATCH:
            self._paused_until_s[priority] = now_s + self._policy.batch_spacing_s

    def _record_start(self, priority: Priority, now_s: float) -> None:
        interval = self._start_intervals[priority]
        if not self._queued_counts[priority]:
            self._is_probing[priority] = False
        interval_s = interval.interval_s
        if interval.last_start_s is not None:
            latest_s = now_s - interval.last_start_s
            smoothing = START_INTERVAL_SMOOTHING if interval_s > 0 else 1.0
            interval_s += smoothing * (latest_s - interval_s)
        self._start_intervals[priority] = _StartInterval(interval_s, now_s)


def _overloaded(request: AdmissionRequest, wait_s: float) -> NotAdmitted:
    return NotAdmitted(
        request.run, AdmissionRefusal.OVERLOADED, _bounded_retry_s(wait_s)
    )


def _bounded_retry_s(wait_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
