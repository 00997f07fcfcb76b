"""Large prefills avoid cold upstreams; no network."""

from banyanswitch.decisions.cold_upstreams import warm_among, without_cold
from banyanswitch.decisions.upstream_choice import (
    UpstreamChoicePolicy,
    UpstreamChoiceRequest,
    UpstreamView,
)
from banyanswitch.identifiers import FailureDomainId, UpstreamId

POLICY = UpstreamChoicePolicy()
DOMAIN = FailureDomainId("z1")
COLD = UpstreamId("cold")


def view(name: str, *, prefill: int = 0, stored: int = 0) -> UpstreamView:
    return UpstreamView(
        name=UpstreamId(name),
        failure_domain=DOMAIN,
        prefill_tokens=prefill,
        stored_tokens=stored,
    )


def request(own: int, shared: int = 0) -> UpstreamChoiceRequest:
    return UpstreamChoiceRequest(
        home_key="", failure_domain=DOMAIN, own_tokens=own, shared_tokens=shared
    )


def names(views: list[UpstreamView], asked: UpstreamChoiceRequest) -> list[str]:
    return [view.name for view in without_cold(views, {COLD}, asked, POLICY)]


# Guards against long prompts that fill an upstream which is warming up.
def test_large_prefill_avoids_a_cold_upstream_beside_a_busy_warm_one() -> None:
    views = [view("cold"), view("warm", prefill=20_000)]
    assert names(views, request(5_000)) == ["warm"]


def test_short_prompt_may_use_a_cold_upstream() -> None:
    assert names([view("cold"), view("warm")], request(500)) == ["cold", "warm"]


def test_stored_parts_make_a_prefill_short() -> None:
    views = [view("cold", stored=5_000), view("warm")]
    assert names(views, request(100, 5_000)) == ["cold", "warm"]


# Guards against long prompts that are refused beside an idle cold upstream.
def test_large_prefill_uses_a_cold_upstream_if_no_warm_one_can_take_it() -> None:
    views = [view("cold"), view("warm", prefill=40_000)]
    assert names(views, request(5_000)) == ["cold", "warm"]
    assert names([view("cold")], request(5_000)) == ["cold"]


# Guards against samples of cold upstreams only, in a large fleet.
def test_warm_upstreams_are_preferred_in_a_sample_for_a_large_prefill() -> None:
    both = [COLD, UpstreamId("warm")]
    assert warm_among(both, {COLD}, request(5_000), POLICY) == ["warm"]
    assert warm_among(both, {COLD}, request(500), POLICY) == both
    assert warm_among([COLD], {COLD}, request(5_000), POLICY) == [COLD]
