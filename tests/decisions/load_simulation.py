"""Many deciders that place requests on upstreams of changing speed; no network."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from banyanswitch.components.upstream_slowness.coordinator import UpstreamSlowness
from banyanswitch.decisions.cost_model import CostModel, RequestShape, WorkObservation
from banyanswitch.decisions.slowness import SlownessReport
from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
    choose_upstream,
)
from banyanswitch.identifiers import FailureDomainId, UpstreamId

STEP_S = 0.005
SAMPLE_SIZE = 4
MAX_REPORTING_DECIDERS = 16
ZONE = FailureDomainId("z")
POLICY = UpstreamChoicePolicy()
PLAIN = RequestShape(service="s", route="r", objective_s=0.4)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """Request with the work that it takes, which no decider knows."""

    shape: RequestShape
    work_s: float
    deadline_s: float


@dataclass(slots=True, kw_only=True)
class Job:
    arrival: Arrival
    decider: int
    upstream: int
    at_s: float
    left_s: float
    predicted_s: float
    slowness: float
    waiting_ratio: float
    ended_at_s: float = float("inf")


@dataclass(kw_only=True)
class Simulation:
    """Load on the upstreams of one service.

    Parameters
    ----------
    slowness : callable
        Slowness of an upstream by its number and the time.
    arrival : callable
        Draws the next request.
    figures_age_s : float
        Age of what each decider knows of the others' work and observations.
    """

    slowness: Callable[[int, float], float]
    arrival: Callable[[random.Random], Arrival]
    arrivals_per_s: float
    upstreams: int = 20
    slots: int = 4
    deciders: int = 6
    figures_age_s: float = 0.1
    capacity_tokens: int = 0
    reports_slowness: bool = True
    learns: bool = True
    jobs: list[list[Job]] = field(default_factory=list)

    def run(self, duration_s: float, seed: int, warm_up_s: float = 2.0) -> float:
        """Return the share of the requests that end before their deadline."""
        self._random = random.Random(seed)
        self._models = [CostModel() for _ in range(self.deciders)]
        self._known = UpstreamSlowness()
        self._reports: deque[tuple[float, int, float]] = deque()
        self.jobs = [[] for _ in range(self.upstreams)]
        self._own: list[list[Job]] = [[] for _ in range(self.deciders)]
        self._history: deque[list[tuple[int, float]]] = deque(
            maxlen=max(1, round(self.figures_age_s / STEP_S))
        )
        total = in_time = 0
        now_s = next_s = 0.0
        while now_s < warm_up_s + duration_s:
            now_s += STEP_S
            for job in self._advance(now_s):
                if job.at_s >= warm_up_s:
                    total += 1
                    in_time += now_s - job.at_s <= job.arrival.deadline_s
            self._deliver(now_s)
            while next_s <= now_s:
                next_s += self._random.expovariate(self.arrivals_per_s)
                self._place(self.arrival(self._random), now_s)
            self._history.append(
                [(len(q), sum(j.predicted_s for j in q)) for q in self.jobs]
            )
        waiting = [job for queue in self.jobs for job in queue]
        overdue = [j for j in waiting if now_s - j.at_s > j.arrival.deadline_s]
        return in_time / (total + len(overdue))

    def _advance(self, now_s: float) -> list[Job]:
        ended = []
        for number, queue in enumerate(self.jobs):
            slowness = self.slowness(number, now_s)
            for job in queue[: self.slots]:
                job.left_s -= STEP_S / slowness
                if job.left_s <= 0.0:
                    ended.append(job)
                    self._end(job, slowness, now_s)
            self.jobs[number] = [job for job in queue if job.left_s > 0.0]
        return ended

    def _end(self, job: Job, slowness: float, now_s: float) -> None:
        job.ended_at_s = now_s
        if self.reports_slowness:
            self._reports.append((now_s, job.upstream, slowness))
        if self.learns:
            first_byte_s = 0.0 if job.arrival.shape.is_model else now_s - job.at_s
            observed = WorkObservation(
                first_byte_s=first_byte_s,
                total_s=now_s - job.at_s,
                slowness=(job.slowness + slowness) / 2 if self.reports_slowness else 1,
                waiting_ratio=job.waiting_ratio,
            )
            self._models[job.decider].observe(job.arrival.shape, observed, now_s)

    def _deliver(self, now_s: float) -> None:
        while self._reports and now_s - self._reports[0][0] >= self.figures_age_s:
            at_s, number, slowness = self._reports.popleft()
            age_ms = round((now_s - at_s) * 1000)
            report = SlownessReport(round(100 * slowness), age_ms)
            self._known.note_reports({f"u{number}": report}, now_s)

    def _place(self, arrival: Arrival, now_s: float) -> None:
        decider = self._random.randrange(self.deciders)
        estimate = self._models[decider].predict(arrival.shape, now_s)
        numbers = list(range(self.upstreams))
        if self.deciders > MAX_REPORTING_DECIDERS:
            numbers = self._random.sample(numbers, SAMPLE_SIZE)
        views = {
            UpstreamId(f"u{number}"): self._view(number, decider, now_s)
            for number in numbers
        }
        request = UpstreamChoiceRequest(
            home_key="",
            failure_domain=ZONE,
            output_tokens=arrival.shape.output_tokens,
            work_s=estimate.run_s if estimate.is_learned else 0.0,
            figures_age_s=self.figures_age_s,
            draw_key=str(self._random.random()),
        )
        name = choose_upstream(list(views.values()), request, POLICY)
        assert name is not None
        number = int(name[1:])
        job = Job(
            arrival=arrival,
            decider=decider,
            upstream=number,
            at_s=now_s,
            left_s=arrival.work_s,
            predicted_s=estimate.run_s,
            slowness=views[name].slowness,
            waiting_ratio=max(1.0, (views[name].running_requests + 1) / self.slots),
        )
        self.jobs[number].append(job)
        own = self._own[decider]
        own.append(job)
        oldest_s = now_s - self.figures_age_s
        self._own[decider] = [job for job in own if job.ended_at_s > oldest_s]

    def _view(self, number: int, decider: int, now_s: float) -> UpstreamView:
        running, work_s = self._history[0][number] if self._history else (0, 0.0)
        # Half a step later, since sums of steps are not exact.
        known_at_s = now_s - self.figures_age_s + STEP_S / 2
        for job in self._own[decider]:
            if job.upstream != number:
                continue
            change = (job.ended_at_s > now_s) - (
                job.at_s <= known_at_s < job.ended_at_s
            )
            running += change
            work_s += change * job.predicted_s
        view = UpstreamView(
            name=UpstreamId(f"u{number}"),
            failure_domain=ZONE,
            running_requests=max(0, running),
            slots=self.slots,
            capacity_tokens=self.capacity_tokens,
            work_s=max(0.0, work_s),
        )
        return replace(view, slowness=self._known.slowness(view.name, now_s))
