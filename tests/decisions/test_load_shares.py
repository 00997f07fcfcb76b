"""Sum of the instances' shares in the load of an upstream."""

from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.load_shares import NO_LOAD, Load, LoadShares

LIFETIME_S = 1.6
INSTANCES = ("a", "b", "c")
UPSTREAMS = ("u", "v")

reports = st.tuples(
    st.sampled_from(INSTANCES),
    st.sampled_from(UPSTREAMS),
    st.builds(Load, st.integers(0, 3), st.integers(0, 900), st.integers(0, 900)),
    st.floats(0.0, 1.0),
)


@given(st.lists(reports, max_size=40), st.integers(1, 3))
def test_each_share_counts_once_and_for_its_lifetime(
    history: list[tuple[str, str, Load, float]], repeats: int
) -> None:
    """Reports may be lost, repeated, and come from instances that have ended."""
    shares = LoadShares(LIFETIME_S)
    last: dict[tuple[str, str], tuple[float, Load]] = {}
    now_s = 0.0
    for instance, upstream, load, pause_s in history:
        now_s += pause_s
        for _ in range(repeats):
            shares.note(instance, {upstream: load}, now_s)
        last[instance, upstream] = (now_s, load)
        for asking in INSTANCES:
            for name in UPSTREAMS:
                expected = NO_LOAD
                for (other, at), (reported_at_s, known) in last.items():
                    is_current = now_s - reported_at_s <= LIFETIME_S
                    if other != asking and at == name and is_current:
                        expected = expected.plus(known)
                assert shares.of_others(name, asking, now_s) == expected


def test_nothing_is_kept_of_instances_that_have_ended() -> None:
    shares = LoadShares(LIFETIME_S)
    for number in range(330):
        shares.note(f"i{number}", {"u": Load(1, 10, 20)}, 0.0)
    assert shares.of_others("u", "i0", 1.0) == Load(329, 3290, 6580)
    shares.forget_expired(2.0)
    assert shares.of_others("u", "i0", 1.0) == NO_LOAD
