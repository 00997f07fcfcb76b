from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.decisions.address_choice import (
    EntryView,
    choose_entries,
    order_for_conversation,
)
from banyanswitch.identifiers import FailureDomainId, InstanceId, WorkspaceId


def make_entries(domains: list[int], leaving: set[int]) -> list[EntryView]:
    return [
        EntryView(
            InstanceId(f"i{index}"), FailureDomainId(f"d{domain}"), index in leaving
        )
        for index, domain in enumerate(domains)
    ]


DOMAINS = st.lists(st.integers(0, 4), min_size=1, max_size=12)


@settings(derandomize=True, max_examples=200)
@given(DOMAINS, st.sets(st.integers(0, 11)), st.text(max_size=4), st.integers(1, 5))
def test_entries_span_domains_and_exclude_leaving_ones(
    domains: list[int], leaving: set[int], workspace: str, count: int
) -> None:
    entries = make_entries(domains, leaving)
    live = {entry.instance: entry for entry in entries if not entry.is_leaving}
    chosen = choose_entries(WorkspaceId(workspace), entries, count)
    assert len(set(chosen)) == len(chosen) == min(count, len(live))
    assert set(chosen) <= set(live)
    live_domains = {entry.failure_domain for entry in live.values()}
    used = {live[instance].failure_domain for instance in chosen}
    assert len(used) == min(len(chosen), len(live_domains))


@settings(derandomize=True, max_examples=300)
@given(DOMAINS, st.integers(0, 11), st.text(max_size=4), st.integers(1, 5))
def test_one_leaving_entry_replaces_at_most_one_member(
    domains: list[int], index: int, workspace: str, count: int
) -> None:
    leaving = index % len(domains)
    name = WorkspaceId(workspace)
    before = choose_entries(name, make_entries(domains, set()), count)
    after = choose_entries(name, make_entries(domains, {leaving}), count)
    assert len(set(after) - set(before)) <= 1


def test_workspaces_and_conversations_spread_evenly() -> None:
    entries = make_entries([0, 0, 1, 1, 2, 2], set())
    first = [choose_entries(WorkspaceId(f"w{n}"), entries, 2)[0] for n in range(600)]
    chosen = choose_entries(WorkspaceId("w"), entries, 3)
    second = [order_for_conversation(f"c{n}", chosen)[0] for n in range(600)]
    for results, candidate_count in ((first, 6), (second, 3)):
        counts = [results.count(name) for name in set(results)]
        assert len(counts) == candidate_count
        assert max(counts) <= 1.5 * 600 / candidate_count
