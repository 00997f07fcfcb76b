"""Quarantine of prompt parts and requests on drawn days, without a network.

Prints for each size and kind of day how many upstreams a crashing part or request has
ended, how many such requests were sent later than the users' bound allows to be three,
the share of the sound requests that were withheld, and the longest time for which one
of them was::

    python -m bench.quarantine [--days=10]
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import fire

from banyanswitch.components.part_quarantine.const import MIN_RESTART_S
from banyanswitch.decisions.part_quarantine import (
    CONTENT_PREFIX,
    Combination,
    PartKey,
    QuarantinePolicy,
    UpstreamEnd,
    combinations_to_withhold,
    is_refuted,
    trial_due_at_s,
)
from banyanswitch.identifiers import UpstreamId

MODEL = "m"
BEGIN_S = 0.15
CRASH_S = 0.05
"""Time from the beginning of an answer to the crash."""
DOWN_S = 3.0
STABLE_S = 3.0
NOTED_CRASHES = 5
NOTED_CRASHES_OF_CONTENT = 3
BAD = "bad"
BAD_CONTENT = f"{CONTENT_PREFIX}bad"


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """Size of a deployment."""

    instances: int
    upstreams: int
    requests_per_s: float
    parts: int
    length_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Day:
    """Kind of day.

    Parameters
    ----------
    bad_per_s : float
        Requests with the crashing part per second.
    crash_interval_s : float or None
        Time between ordinary crashes, in seconds.
    crash_share : float
        Share of the upstreams that crash together.
    is_first_part : bool
        Whether the crashing part is the first one of its prompts.
    is_plain : bool
        Whether requests have no prompts, so that one of them crashes as a whole. The
        others are lookups that come again, as often as parts do.
    at_once : int
        Number of crashing requests that are sent at once.
    upstreams : int or None
        Number of upstreams; ``None`` for that of the size.
    broken_share : float
        Share of the responses that break off although their upstreams go on.
    """

    name: str
    bad_per_s: float = 0.0
    crash_interval_s: float | None = None
    crash_share: float = 0.1
    is_first_part: bool = False
    is_plain: bool = False
    at_once: int = 1
    upstreams: int | None = None
    broken_share: float = 0.0


@dataclass(slots=True)
class Result:
    """Figures of one day."""

    bad_crashes: int = 0
    late_bad_requests: int = 0
    sound_requests: int = 0
    sound_withheld: int = 0
    combinations: int = 0
    longest_withheld_s: float = 0.0


@dataclass(slots=True)
class _Running:
    parts: tuple[str, ...]
    sent_at_s: float
    began_at_s: float | None = None


@dataclass
class Simulation:
    """One day: requests, upstreams that end, and the parts that are withheld."""

    size: Size
    day: Day
    generator: random.Random
    policy: QuarantinePolicy = field(default_factory=QuarantinePolicy)

    def __post_init__(self) -> None:
        self.result = Result()
        self._now_s = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._upstreams = self.day.upstreams or self.size.upstreams
        self._running: dict[int, dict[int, _Running]] = {
            upstream: {} for upstream in range(self._upstreams)
        }
        self._up_at_s = [0.0] * self._upstreams
        self._bad = BAD_CONTENT if self.day.is_plain else BAD
        self._ends: list[UpstreamEnd] = []
        self._answered: list[UpstreamEnd] = []
        self._breaks: dict[int, UpstreamEnd] = {}
        self._served_at_s: dict[PartKey, float] = {}
        self._withheld: dict[Combination, tuple[float, float, int]] = {}
        self._withheld_at_s: dict[Combination, float] = {}
        self._bad_crashed_at_s: list[float] = []
        self._report_s = max(0.1, self.size.instances / 200.0)

    def run(self) -> Result:
        """Play the day and return its figures."""
        self._at(0.0, self._send_sound)
        if self.day.bad_per_s:
            self._at(5.0, self._send_bad)
        if self.day.crash_interval_s:
            self._at(5.0, self._crash_some)
        while self._queue:
            self._now_s, _, step = heapq.heappop(self._queue)
            if self._now_s > self.size.length_s:
                break
            step()
        self.result.combinations = len(self._withheld)
        for combination in self._withheld:
            self._note_withheld_time(combination)
        return self.result

    def _at(self, delay_s: float, step: Callable[[], None]) -> None:
        entry = (self._now_s + delay_s, next(self._numbers), step)
        heapq.heappush(self._queue, entry)

    def _send_sound(self) -> None:
        part = int(self.size.parts * self.generator.random() ** 1.3)
        tenant = part % max(5, self.size.parts // 10)
        self.result.sound_requests += 1
        parts: tuple[str, ...] = (f"t{tenant}", f"p{part}")
        home = part
        if self.day.is_plain:
            parts = (f"{CONTENT_PREFIX}{part}",)
            home = self.generator.randrange(self._upstreams)
        if not self._send(parts, home):
            self.result.sound_withheld += 1
        self._at(self.generator.expovariate(self.size.requests_per_s), self._send_sound)

    def _send_bad(self) -> None:
        for _ in range(self.day.at_once):
            self._send_one_bad()
        self._at(self.generator.expovariate(self.day.bad_per_s), self._send_bad)

    def _send_one_bad(self) -> None:
        tenant = f"t{self.generator.randrange(5)}"
        parts: tuple[str, ...] = (tenant, BAD)
        if self.day.is_first_part:
            parts = (BAD, f"p{self.generator.randrange(self.size.parts)}")
        if self.day.is_plain:
            parts = (BAD_CONTENT,)
        noted = NOTED_CRASHES_OF_CONTENT if self.day.is_plain else NOTED_CRASHES
        if self._send(parts, home=self.generator.randrange(1000)):
            crashed_at_s = self._bad_crashed_at_s[noted - 1 : noted]
            if crashed_at_s and self._now_s > crashed_at_s[0] + STABLE_S:
                self.result.late_bad_requests += 1

    def _send(self, parts: tuple[str, ...], home: int) -> bool:
        if self._is_withheld(parts):
            return False
        up = [u for u, at_s in enumerate(self._up_at_s) if at_s <= self._now_s]
        if not up:
            return True
        upstream = home % self._upstreams
        if upstream not in up or self.generator.random() < 0.2:
            upstream = self.generator.choice(up)
        number = next(self._numbers)
        self._running[upstream][number] = _Running(parts, self._now_s)
        self._at(BEGIN_S, lambda: self._begin(upstream, number))
        return True

    def _is_withheld(self, parts: tuple[str, ...]) -> bool:
        for combination, (since_s, last_s, trials) in tuple(self._withheld.items()):
            if not combination.parts <= set(parts):
                continue
            if self._now_s >= trial_due_at_s(last_s, trials, self.policy):
                self._withheld[combination] = (since_s, self._now_s, trials + 1)
                continue
            return True
        return False

    def _begin(self, upstream: int, number: int) -> None:
        running = self._running[upstream].get(number)
        if running is None:
            return
        running.began_at_s = self._now_s
        if self._bad in running.parts:
            self._at(CRASH_S, lambda: self._crash(upstream, number))
            return
        length_s = self.generator.expovariate(1.0 / 0.5)
        self._at(length_s, lambda: self._serve(upstream, number))

    def _serve(self, upstream: int, number: int) -> None:
        running = self._running[upstream].pop(number, None)
        if running is None:
            return
        share = self.day.broken_share
        if share and self.generator.random() < share:
            self._break_off(upstream, running)
            return
        broken = self._breaks.get(upstream)
        if (
            broken is not None
            and broken in self._ends
            and broken.ended_at_s < running.sent_at_s
            and running.sent_at_s <= broken.ended_at_s + MIN_RESTART_S
        ):
            self._ends.remove(broken)
            self._answered = [*self._answered[-255:], broken]
            self._release_refuted()
        for part in running.parts:
            self._served_at_s[PartKey(MODEL, part)] = self._now_s
        self._at(self._report_s, self._release)

    def _release_refuted(self) -> None:
        for combination in tuple(self._withheld):
            parts = {PartKey(MODEL, part) for part in combination.parts}
            ended, answered = (
                sum(any(parts <= request for request in end.requests) for end in ends)
                for ends in (self._ends[-256:], self._answered)
            )
            if is_refuted(ended, answered, self.policy):
                del self._withheld[combination]
                self._note_withheld_time(combination)

    def _break_off(self, upstream: int, running: _Running) -> None:
        """Break off a response; the upstream goes on."""
        parts = frozenset(PartKey(MODEL, part) for part in running.parts)
        known = self._breaks.get(upstream)
        name = UpstreamId(f"u{upstream}-broken")
        if known is not None and known in self._ends:
            self._ends.remove(known)
            end = UpstreamEnd(name, known.ended_at_s, (*known.requests, parts))
        else:
            end = UpstreamEnd(name, self._now_s, (parts,))
        self._breaks[upstream] = end
        self._ends.append(end)
        self._at(0.25 + 0.005 * self.size.instances, self._evaluate)

    def _crash(self, upstream: int, number: int | None) -> None:
        if number is not None and number not in self._running[upstream]:
            return
        if number is not None:
            self.result.bad_crashes += 1
            self._bad_crashed_at_s.append(self._now_s)
        requests = tuple(
            frozenset(PartKey(MODEL, part) for part in running.parts)
            for running in self._running[upstream].values()
            if running.began_at_s is None
            or self._now_s - running.began_at_s <= self.policy.max_response_age_s
        )
        self._running[upstream].clear()
        self._up_at_s[upstream] = self._now_s + DOWN_S
        name = UpstreamId(f"u{upstream}-{next(self._numbers)}")
        if requests:
            self._ends.append(UpstreamEnd(name, self._now_s, requests))
        settle_s = 0.25 + 0.005 * self.size.instances
        self._at(settle_s, self._evaluate)

    def _crash_some(self) -> None:
        count = max(1, round(self.day.crash_share * self._upstreams))
        for upstream in self.generator.sample(range(self._upstreams), count):
            self._crash(upstream, None)
        self._at(self.day.crash_interval_s or 0.0, self._crash_some)

    def _evaluate(self) -> None:
        recent = self._ends[-256:]
        found = combinations_to_withhold(recent, self._served_at_s, self.policy)
        for combination, since_s in found.items():
            if not any(known.parts <= combination.parts for known in self._withheld):
                self._withheld[combination] = (since_s, self._now_s, 0)
                self._withheld_at_s[combination] = self._now_s

    def _release(self) -> None:
        for combination, (since_s, last_s, trials) in tuple(self._withheld.items()):
            unserved = frozenset(
                part
                for part in combination.parts
                if self._served_at_s.get(PartKey(MODEL, part), -1.0) <= since_s
            )
            if unserved == combination.parts:
                continue
            del self._withheld[combination]
            self._note_withheld_time(combination)
            if unserved:
                narrowed = Combination(MODEL, unserved)
                self._withheld[narrowed] = (since_s, last_s, trials)
                self._withheld_at_s[narrowed] = self._withheld_at_s[combination]

    def _note_withheld_time(self, combination: Combination) -> None:
        if self._bad in combination.parts:
            return
        time_s = self._now_s - self._withheld_at_s[combination]
        self.result.longest_withheld_s = max(self.result.longest_withheld_s, time_s)


SIZES = (
    Size(instances=8, upstreams=12, requests_per_s=70, parts=100, length_s=120),
    Size(instances=91, upstreams=140, requests_per_s=600, parts=1000, length_s=60),
    Size(instances=330, upstreams=780, requests_per_s=2400, parts=6000, length_s=40),
)
DAYS = (
    Day(name="one part", bad_per_s=1.0),
    Day(name="one part, often", bad_per_s=8.0),
    Day(name="first part", bad_per_s=1.0, is_first_part=True),
    Day(name="part and crashes", bad_per_s=1.0, crash_interval_s=4.0),
    Day(name="crashes only", crash_interval_s=1.5),
    Day(name="a third crashes", crash_interval_s=8.0, crash_share=0.34),
    Day(name="garbled", broken_share=0.25),
)
PLAIN_DAYS = (
    Day(name="one request", is_plain=True, bad_per_s=1.0),
    Day(
        name="request, three ups.",
        is_plain=True,
        bad_per_s=0.5,
        at_once=3,
        upstreams=3,
    ),
    Day(name="request and crashes", is_plain=True, bad_per_s=1.0, crash_interval_s=4.0),
    Day(name="plain, crashes", is_plain=True, crash_interval_s=1.5),
    Day(name="plain, a third", is_plain=True, crash_interval_s=8.0, crash_share=0.34),
    Day(name="plain, garbled", is_plain=True, broken_share=0.25),
    Day(name="plain, one of three", is_plain=True, crash_interval_s=4.0, upstreams=3),
)


def main(days: int = 10) -> None:
    """Play drawn days of every size and kind and print the totals."""
    header = (
        "instances  day                  days  bad ends/day  late max  withheld sound"
        "  longest s"
    )
    print(header)
    for size, day in itertools.product(SIZES, (*DAYS, *PLAIN_DAYS)):
        results = [
            Simulation(size, day, random.Random(seed)).run() for seed in range(days)
        ]
        sound = sum(result.sound_requests for result in results)
        withheld = sum(result.sound_withheld for result in results)
        ends = sum(result.bad_crashes for result in results) / days
        late = max(result.late_bad_requests for result in results)
        longest_s = max(result.longest_withheld_s for result in results)
        print(
            f"{size.instances:9}  {day.name:19}  {days:4}  {ends:12.1f}  {late:8}"
            f"  {withheld / sound:14.5%}  {longest_s:9.1f}"
        )


if __name__ == "__main__":
    fire.Fire(main)
