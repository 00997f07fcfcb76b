"""Load of the upstreams from the requests in flight of all instances."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import msgspec

from banyanswitch.components.forwarding.const import LOAD_REPORT_TTL_S
from banyanswitch.core import callback
from banyanswitch.identifiers import UpstreamId


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a number of requests at one upstream."""

    requests: int = 0
    prefill_tokens: int = 0
    memory_tokens: int = 0

    def plus(self, other: "Load") -> "Load":
        """Return the sum of two loads."""
        return Load(
            self.requests + other.requests,
            self.prefill_tokens + other.prefill_tokens,
            self.memory_tokens + other.memory_tokens,
        )


@dataclass(slots=True)
class InFlight:
    """Request in flight at an upstream.

    Parameters
    ----------
    fetches : mapping of str to int
        Number of tokens that it fetches, by source address.
    """

    upstream: UpstreamId
    prefill_tokens: int
    memory_tokens: int
    started_at_s: float
    has_answered: bool = False
    is_large_prefill: bool = False
    fetches: Mapping[str, int] = field(default_factory=dict)


class LoadTracker:
    """Tracker of the requests in flight and their load.

    Attributes
    ----------
    change_count : int
        Number of local changes so far. A change is a request that began, was answered
        or ended.
    on_large_prefill_change : callable
        Called at each change of a request with a large prefill.
    """

    def __init__(self) -> None:
        self._local: dict[UpstreamId, set[int]] = {}
        self._requests: dict[int, InFlight] = {}
        self._remote: dict[str, tuple[float, Mapping[str, Load]]] = {}
        self._remote_fetches: dict[str, tuple[float, Mapping[str, int]]] = {}
        self._next_number = 0
        self.change_count = 0
        self.on_large_prefill_change: Callable[[], None] = lambda: None

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
        self.change_count += 1
        if request.is_large_prefill:
            self.on_large_prefill_change()

    @callback
    def note_remote(
        self, instance: str, loads: Mapping[str, Load], now_s: float
    ) -> None:
        """Record the loads that another instance reported."""
        self._remote[instance] = (now_s, loads)

    @callback
    def note_remote_fetches(
        self, instance: str, fetches: Mapping[str, int], now_s: float
    ) -> None:
        """Record the fetches in progress that another instance reported."""
        self._remote_fetches[instance] = (now_s, fetches)

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
        total = Load()
        for number in self._local.get(upstream, ()):
            request = self._requests[number]
            prefill = 0 if request.has_answered else request.prefill_tokens
            total = total.plus(Load(1, prefill, request.memory_tokens))
        return total

    @callback
    def local_loads(self) -> dict[str, Load]:
        """Return the load of this instance at each upstream with requests."""
        return {
            name: self.local(name) for name, numbers in self._local.items() if numbers
        }

    @callback
    def total(self, upstream: UpstreamId, now_s: float) -> Load:
        """Return the load of all instances at an upstream."""
        total = self.local(upstream)
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
