"""Tests of the account of the bytes held for clients."""

import pytest

from banyanswitch.decisions.memory_account import (
    Holder,
    MemoryAccount,
    MemoryPolicy,
    Phase,
    default_limit_bytes,
)

POLICY = MemoryPolicy(limit_bytes=1000, large_body_bytes=50)


def add(
    account: MemoryAccount, held_bytes: int, phase: Phase, at_s: float = 0.0
) -> Holder:
    holder = account.add(at_s)
    account.set_held(holder, held_bytes)
    holder.review(at_s, phase, POLICY)
    return holder


# Guards against an account that drifts from what the connections hold.
def test_removed_connections_hold_nothing() -> None:
    account = MemoryAccount(POLICY)
    holder = add(account, 300, Phase.RECEIVING)
    account.set_held(holder, 200)
    assert account.held_bytes == 200
    account.remove(holder)
    account.remove(holder)
    account.set_held(holder, 900)
    assert account.held_bytes == 0


# Guards against slow callers that are closed although there is room.
def test_nothing_is_closed_without_pressure() -> None:
    account = MemoryAccount(POLICY)
    holder = add(account, 500, Phase.SENDING)
    holder.review(100.0, Phase.SENDING, POLICY)
    assert account.to_close(100.0) == []
    assert account.accepts_body(10_000)


def test_connections_without_progress_are_closed_under_pressure() -> None:
    account = MemoryAccount(POLICY)
    stalled, moving = (add(account, 300, Phase.SENDING) for _ in range(2))
    moving.moved_bytes += 1_000_000
    for holder in (stalled, moving):
        holder.review(3.5, Phase.SENDING, POLICY)
    assert account.to_close(3.5) == [stalled]
    assert account.accepts_body(50)
    assert not account.accepts_body(51)


def test_what_has_held_most_for_longest_is_closed_first() -> None:
    account = MemoryAccount(POLICY)
    new = add(account, 400, Phase.RECEIVING, 9.0)
    small = add(account, 10, Phase.RECEIVING, 9.5)
    old = add(account, 350, Phase.RECEIVING)
    add(account, 300, Phase.RECEIVING, 9.5)
    assert account.to_close(10.0) == [old]
    account.remove(old)
    account.set_held(new, 800)
    assert account.to_close(10.0) == [new]
    assert small not in account.to_close(10.0)


# Guards against requests that are closed since their upstream takes its time.
def test_requests_that_wait_for_an_upstream_are_kept() -> None:
    account = MemoryAccount(POLICY)
    waiting = add(account, 2000, Phase.HANDLING)
    waiting.review(60.0, Phase.HANDLING, POLICY)
    assert account.to_close(60.0) == []
    assert not account.needs_check
    waiting.review(61.0, Phase.SENDING, POLICY)
    assert waiting.stalled_since_s == 61.0
    assert account.to_close(61.0) == [waiting]


@pytest.mark.parametrize("memory_mb", [150, 256, 552])
def test_default_limit_leaves_room_for_the_process(memory_mb: int) -> None:
    limit_bytes = default_limit_bytes(memory_mb * 2**20)
    assert 8 * 4_194_304 < limit_bytes < memory_mb * 2**20 - 100 * 2**20
