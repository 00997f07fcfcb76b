"""Tests of the store choice and of the expected fetch time, without a network."""

from collections import Counter
from dataclasses import replace

from banyanswitch.decisions.part_stores import (
    FILL_SHARE,
    MAX_TRANSFER_S,
    StoreView,
    choose_store,
    transfer_s,
)
from banyanswitch.identifiers import StoreId

TOKEN_BYTES = 18_432
FAST = [
    StoreView(
        name=StoreId(f"fast{number}"),
        capacity_tokens=110_000,
        used_tokens=0,
        first_byte_s=0.0005,
        bandwidth_mbps=45_000.0,
    )
    for number in range(3)
]
SLOW = [
    StoreView(
        name=StoreId(f"slow{number}"),
        capacity_tokens=525_000,
        used_tokens=0,
        first_byte_s=0.006,
        bandwidth_mbps=28_000.0,
    )
    for number in range(2)
]
STORES = FAST + SLOW


def test_large_parts_are_distributed_by_bandwidth() -> None:
    counts = Counter(choose_store(f"p{n}", 12_800, STORES) for n in range(4_000))
    total = sum(view.bandwidth_mbps for view in STORES)
    for view in STORES:
        share = counts[view.name] / 4_000
        assert abs(share - view.bandwidth_mbps / total) < 0.03


def test_small_parts_leave_capacity_on_the_fast_links() -> None:
    chosen = {choose_store(f"p{n}", 246, STORES) for n in range(100)}
    assert chosen == {"slow0", "slow1"}


def test_part_goes_to_a_store_with_free_capacity() -> None:
    full = [replace(view, used_tokens=view.capacity_tokens) for view in STORES[1:]]
    assert choose_store("p", 12_800, [STORES[0], *full]) == "fast0"
    assert choose_store("p", 246, [STORES[0], *full]) == "fast0"
    assert choose_store("p", 12_800, full) is None


def test_store_filled_to_its_limit_receives_no_part() -> None:
    view = replace(FAST[0], used_tokens=int(FAST[0].capacity_tokens * FILL_SHARE))
    assert choose_store("p", 246, [view]) is None


def test_tiny_parts_are_not_stored() -> None:
    assert choose_store("p", 16, STORES) is None


def test_link_with_many_queued_large_parts_is_too_slow() -> None:
    """Many prompts return at once, with their parts behind the slowest links."""
    idle = transfer_s(SLOW[0], 12_800, TOKEN_BYTES)
    assert 0.06 < idle < 0.08
    busy = replace(SLOW[0], queued_tokens=8 * 12_800)
    assert transfer_s(busy, 12_800, TOKEN_BYTES) > MAX_TRANSFER_S
