"""Processor time of one placement decision among 60 upstreams.

Run it with ``python -m bench.placement_cost``. It measures the parts that depend on the
upstreams: their load, slowness and views, the predicted work, and the choice.
"""

import time
from collections.abc import Callable

from banyanswitch.components.forwarding.loads import InFlight, LoadTracker
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

UPSTREAMS = 60
REPEATS = 300
ROUNDS = 7
DOMAIN = FailureDomainId("z")
NAMES = [UpstreamId(f"u{number}") for number in range(UPSTREAMS)]
POLICY = UpstreamChoicePolicy()
SHAPE = RequestShape(service="s", route="r", workspace="w", objective_s=0.4)


def _best_us(step: Callable[[], object]) -> float:
    """Return the shortest mean time of a step over several rounds, in µs."""
    times_s = []
    for _ in range(ROUNDS):
        began_s = time.process_time()
        for _ in range(REPEATS):
            step()
        times_s.append((time.process_time() - began_s) / REPEATS)
    return min(times_s) * 1e6


def main() -> None:
    """Print the time of each part."""
    loads, slowness, model = LoadTracker(), UpstreamSlowness(), CostModel()
    for name in NAMES:
        loads.begin(InFlight(name, 0, 0, 0.0, work_s=0.1, run_s=0.1))
        slowness.note_response(name, 2.0, 0.0)
    for number in range(50):
        observed = WorkObservation(first_byte_s=0.1, total_s=0.1)
        model.observe(SHAPE, observed, 0.01 * number)

    def views() -> list[UpstreamView]:
        found = []
        for name in NAMES:
            load = loads.total(name, 0.1)
            view = UpstreamView(
                name=name,
                failure_domain=DOMAIN,
                running_requests=load.requests,
                slots=4,
                work_s=load.work_ms / 1000,
                slowness=slowness.slowness(name, 0.1),
            )
            found.append(view)
        return found

    known = views()
    usual = [
        UpstreamView(name=name, failure_domain=DOMAIN, slots=4, running_requests=number)
        for number, name in enumerate(NAMES)
    ]
    request = UpstreamChoiceRequest(home_key="", failure_domain=DOMAIN)
    learned = UpstreamChoiceRequest(
        home_key="",
        failure_domain=DOMAIN,
        work_s=0.1,
        figures_age_s=0.1,
        draw_key="a",
    )
    report = {NAMES[0]: SlownessReport(400, 10)}
    steps: dict[str, Callable[[], object]] = {
        "views of 60 upstreams": views,
        "slowness of 60 upstreams": lambda: [slowness.slowness(n, 0.1) for n in NAMES],
        "predicted work": lambda: model.predict(SHAPE, 1.0),
        "choice, nothing reported": lambda: choose_upstream(usual, request, POLICY),
        "choice, slowness and work": lambda: choose_upstream(known, learned, POLICY),
        "slowness in a response": lambda: slowness.note_response(NAMES[0], 2.0, 0.1),
        "slowness in a message": lambda: slowness.note_reports(report, 0.1),
        "learning from a request": lambda: model.observe(SHAPE, observed, 1.0),
    }
    for name, step in steps.items():
        print(f"{name:28} {_best_us(step):8.1f} us")


if __name__ == "__main__":
    main()
