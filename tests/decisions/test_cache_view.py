from hypothesis import given, settings
from hypothesis import strategies as st

from banyanswitch.decisions.cache_view import (
    CacheEvent,
    CacheEventKind,
    CacheMatch,
    CacheView,
    Resync,
)
from banyanswitch.decisions.prefix import cache_salt, chained_piece_hashes
from banyanswitch.identifiers import UpstreamId, WeightVersion, WorkspaceId

SALT = cache_salt(WorkspaceId("w"), WeightVersion("v"))
CHAIN = chained_piece_hashes(bytes(range(80)), 10, SALT)
ONE = UpstreamId("u1")


def stored(sequence: int, index: int) -> CacheEvent:
    return CacheEvent(sequence, CacheEventKind.STORED, CHAIN[index])


def evicted(sequence: int, index: int) -> CacheEvent:
    return CacheEvent(sequence, CacheEventKind.EVICTED, CHAIN[index])


def test_missing_initial_events_require_a_resync() -> None:
    view = CacheView()
    assert view.apply_events(ONE, [stored(7, 0)], 0.0) == Resync(ONE)
    view.resync(ONE, CHAIN[:3], 8, 1.0)
    assert view.apply_events(ONE, [stored(9, 3)], 2.0) is None
    assert view.matches(CHAIN) == [CacheMatch(ONE, 4)]


def test_sequence_gap_requires_resync_until_the_list_is_applied() -> None:
    view = CacheView()
    assert view.apply_events(ONE, [stored(1, 0)], 0.0) is None
    assert view.apply_events(ONE, [stored(3, 2)], 1.0) == Resync(ONE)
    assert view.apply_events(ONE, [stored(4, 3)], 2.0) == Resync(ONE)
    view.resync(ONE, CHAIN[:4], 4, 3.0)
    assert view.apply_events(ONE, [evicted(5, 3)], 4.0) is None
    assert view.matches(CHAIN) == [CacheMatch(ONE, 3)]


def test_repeated_and_late_events_are_ignored() -> None:
    view = CacheView()
    events = [stored(1, 0), stored(2, 1), evicted(3, 1)]
    view.apply_events(ONE, events, 0.0)
    assert view.apply_events(ONE, [stored(2, 1), stored(1, 0)], 1.0) is None
    assert view.matches(CHAIN) == [CacheMatch(ONE, 1)]


def test_list_older_than_the_applied_events_is_ignored() -> None:
    view = CacheView()
    view.apply_events(ONE, [stored(1, 0), stored(2, 1)], 0.0)
    view.resync(ONE, CHAIN[:1], 1, 1.0)
    assert view.matches(CHAIN) == [CacheMatch(ONE, 2)]


def test_confidence_halves_without_events() -> None:
    view = CacheView(confidence_half_life_s=10.0)
    view.apply_events(ONE, [], 0.0)
    assert view.confidence(ONE, 20.0) == 0.25


@settings(derandomize=True, max_examples=100)
@given(st.permutations(range(1, 9)), st.integers(1, 4))
def test_batches_in_any_order_end_in_the_same_view(
    order: list[int], batch_size: int
) -> None:
    view = CacheView()
    history = [stored(number, number - 1) for number in range(1, 9)]
    for start in range(0, len(order), batch_size):
        batch = [history[number - 1] for number in order[start : start + batch_size]]
        if view.apply_events(ONE, batch, 0.0) is not None:
            newest = max(order[: start + batch_size])
            view.resync(ONE, CHAIN[:newest], newest, 0.0)
    assert view.matches(CHAIN) == [CacheMatch(ONE, 8)]
