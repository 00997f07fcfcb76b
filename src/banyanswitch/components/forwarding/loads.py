"""Load of the upstreams from the requests in flight of all instances."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import structlog

from banyanswitch.components.forwarding.const import LOAD_REPORT_TTL_S
from banyanswitch.core import callback
from banyanswitch.decisions.load_shares import NO_LOAD, Load
from banyanswitch.identifiers import UpstreamId

LOGGER = structlog.get_logger(__name__)
MILLISECONDS_PER_S = 1000.0


@dataclass(slots=True)
class InFlight:
    """Request in flight at an upstream.

    Parameters
    ----------
    fetches : mapping of str to int
        Number of tokens that it fetches, by source address.
    work_s : float
        Predicted work until its end, in seconds at the upstream's usual speed.
    run_s : float
        The part of it that is left when the response has begun.
    """

    upstream: UpstreamId
    prefill_tokens: int
    memory_tokens: int
    started_at_s: float
    has_answered: bool = False
    is_large_prefill: bool = False
    fetches: Mapping[str, int] = field(default_factory=dict)
    work_s: float = 0.0
    run_s: float = 0.0


class LoadChangeHandler(Protocol):
    """Called with the upstream of a request that began, was answered or ended."""

    def __call__(self, upstream: UpstreamId, *, is_large: bool) -> None:
        """Handle a change of this instance's load at an upstream."""


class LoadTracker:
    """Tracker of the requests in flight and their load.

    Attributes
    ----------
    change_count : int
        Number of local changes so far. A change is a request that began, was answered
        or ended.
    on_large_prefill_change : callable
        Called at each change of a request with a large prefill.
    on_change : LoadChangeHandler
        Called at each change.
    """

    def __init__(self) -> None:
        self._local: dict[UpstreamId, set[int]] = {}
        self._requests: dict[int, InFlight] = {}
        self._remote: dict[str, tuple[float, Mapping[str, Load]]] = {}
        self._remote_fetches: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._others: dict[UpstreamId, tuple[float, Load]] = {}
        self._next_number = 0
        self.change_count = 0
        self.on_large_prefill_change: Callable[[], None] = lambda: None
        self.on_change: LoadChangeHandler = _ignore_change

    @callback
    def begin(self, request: InFlight) -> int:
        """Add a request and return its number."""
        self._next_number += 1
        self._requests[self._next_number] = request
        self._local.setdefault(request.upstream, set()).add(self._next_number)
        self._note_change(request)
        return self._next_number

    @callback
    def note_answered(self, number: int) -> None:
        """Record that a response has begun: the prefill of its request has ended."""
        request = self._requests.get(number)
        if request is not None and not request.has_answered:
            request.has_answered = True
            self._note_change(request)

    @callback
    def end(self, number: int) -> None:
        """Remove a request."""
        request = self._requests.pop(number, None)
        if request is None:
            return
        self._local[request.upstream].discard(number)
        self._note_change(request)

    def _note_change(self, request: InFlight) -> None:
        """Call the handlers; the request goes on if one of them fails."""
        self.change_count += 1
        try:
            self.on_change(request.upstream, is_large=request.is_large_prefill)
            if request.is_large_prefill:
                self.on_large_prefill_change()
        except Exception:
            LOGGER.exception("load_change_not_handled", upstream=request.upstream)

    @callback
    def note_remote(
        self, instance: str, loads: Mapping[str, Load], now_s: float
    ) -> None:
        """Record the loads that another instance reported."""
        if loads:
            self._remote[instance] = (now_s, loads)
        else:
            self._remote.pop(instance, None)

    @callback
    def note_others(self, upstream: UpstreamId, load: Load, now_s: float) -> None:
        """Record the load of all other instances, as the upstream's home knows it."""
        self._others[upstream] = (now_s, load)

    @callback
    def forget_expired(self, now_s: float) -> None:
        """Forget the loads of others that are too old to be used."""
        self._others = {
            upstream: (at_s, load)
            for upstream, (at_s, load) in self._others.items()
            if now_s - at_s <= LOAD_REPORT_TTL_S
        }

    @callback
    def note_remote_fetches(
        self, instance: str, fetches: Mapping[str, int], now_s: float
    ) -> None:
        """Record the fetches in progress that another instance reported."""
        if fetches:
            self._remote_fetches[instance] = (now_s, fetches)
        else:
            self._remote_fetches.pop(instance, None)

    @callback
    def local_fetches(self) -> dict[str, int]:
        """Return the tokens of this instance's current fetches by source address."""
        total: dict[str, int] = {}
        for request in self._requests.values():
            if request.has_answered:
                continue
            for address, tokens in request.fetches.items():
                total[address] = total.get(address, 0) + tokens
        return total

    @callback
    def fetching_tokens(self, address: str, now_s: float) -> int:
        """Return the tokens of all instances' fetches in progress from an address."""
        total = self.local_fetches().get(address, 0)
        for received_at_s, fetches in self._remote_fetches.values():
            if now_s - received_at_s <= LOAD_REPORT_TTL_S:
                total += fetches.get(address, 0)
        return total

    @callback
    def local(self, upstream: UpstreamId) -> Load:
        """Return the load of this instance at an upstream."""
        count = prefill = memory = 0
        work_s = 0.0
        for number in self._local.get(upstream, ()):
            request = self._requests[number]
            count += 1
            prefill += 0 if request.has_answered else request.prefill_tokens
            memory += request.memory_tokens
            work_s += request.run_s if request.has_answered else request.work_s
        return Load(count, prefill, memory, round(work_s * MILLISECONDS_PER_S))

    @callback
    def local_loads(self) -> dict[str, Load]:
        """Return the load of this instance at each upstream with requests."""
        return {
            name: self.local(name) for name, numbers in self._local.items() if numbers
        }

    @callback
    def upstreams_with_work(self) -> list[UpstreamId]:
        """Return the upstreams at which this instance has requests in flight."""
        return [name for name, numbers in self._local.items() if numbers]

    @callback
    def has_work(self, upstream: UpstreamId) -> bool:
        """Return whether this instance has requests in flight at an upstream."""
        return bool(self._local.get(upstream))

    @callback
    def age_s(self, upstream: UpstreamId, now_s: float) -> float | None:
        """Return the age of the oldest figure in the load of an upstream, in seconds.

        ``None`` means that nothing is known of other instances.
        """
        ages_s = [
            now_s - at_s
            for at_s, _ in self._remote.values()
            if now_s - at_s <= LOAD_REPORT_TTL_S
        ]
        at_s, _ = self._others.get(upstream, (float("-inf"), NO_LOAD))
        if now_s - at_s <= LOAD_REPORT_TTL_S:
            ages_s.append(now_s - at_s)
        return max(ages_s, default=None)

    @callback
    def total(self, upstream: UpstreamId, now_s: float) -> Load:
        """Return the load of all instances at an upstream."""
        total = self.local(upstream)
        at_s, load = self._others.get(upstream, (float("-inf"), NO_LOAD))
        if now_s - at_s <= LOAD_REPORT_TTL_S:
            total = total.plus(load)
        for received_at_s, loads in self._remote.values():
            if now_s - received_at_s <= LOAD_REPORT_TTL_S and upstream in loads:
                total = total.plus(loads[upstream])
        return total

    @callback
    def oldest_unanswered_at_s(self, upstream: UpstreamId) -> float | None:
        """Return the start time of this instance's oldest unanswered request.

        ``None`` means that no request is waiting for its response.
        """
        waiting = [
            self._requests[number].started_at_s
            for number in self._local.get(upstream, ())
            if not self._requests[number].has_answered
        ]
        return min(waiting, default=None)


def _ignore_change(upstream: UpstreamId, *, is_large: bool) -> None:
    return
