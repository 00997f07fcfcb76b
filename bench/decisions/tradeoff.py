"""Trade-off between time to first token, recomputation and link usage."""

from dataclasses import asdict, dataclass, replace

from banyanswitch.config.models import ReusePolicy
from bench.decisions.deployments import KIM_PHAT, YUSHAN, Deployment
from bench.decisions.runs import PolicyName, Scenario, run_scenario

LINK_WEIGHTS = (0.0, 0.1, 0.5, 2.0)
NARROW_LINK_SHARE = 0.2
DURATION_S = 3_600.0


@dataclass(frozen=True, slots=True)
class TradeoffPoint:
    """Result of one setting of the reuse weights on links with low bandwidth."""

    deployment: str
    reuse: ReusePolicy
    returning_p50_s: float
    returning_p95_s: float
    short_p95_s: float
    recomputed_share: float
    link_share: float


def measure(seed: int) -> list[TradeoffPoint]:
    """Simulate all settings of two deployments at a fifth of the link bandwidth."""
    points = []
    for deployment in (KIM_PHAT, YUSHAN):
        for link_weight in LINK_WEIGHTS:
            points.append(_measure_point(deployment, link_weight, seed))
    return points


def as_document(points: list[TradeoffPoint]) -> list[dict[str, object]]:
    """Convert the points to dictionaries for JSON."""
    return [asdict(point) for point in points]


def _measure_point(
    deployment: Deployment, link_weight: float, seed: int
) -> TradeoffPoint:
    reuse = replace(deployment.reuse, link_weight=link_weight)
    rate = NARROW_LINK_SHARE * deployment.link_bytes_per_s
    narrow = replace(deployment, reuse=reuse, link_bytes_per_s=rate)
    scenario = Scenario(name="narrow links", duration_s=DURATION_S, warm_up_s=900.0)
    result = run_scenario(narrow, scenario, PolicyName.PRODUCT, seed)
    return TradeoffPoint(
        deployment=deployment.name,
        reuse=reuse,
        returning_p50_s=result.whole.returning.p50_s,
        returning_p95_s=result.whole.returning.p95_s,
        short_p95_s=result.whole.short.p95_s,
        recomputed_share=result.whole.recomputed_share,
        link_share=result.links.mean_share,
    )
