"""Table copies under stale reads, lost history and store outages."""

import asyncio
import math
import random

import pytest

from banyanswitch.components.table_mirror.const import (
    FEED_WAIT_S,
    MAX_REMOVED_ROWS,
    MAX_SILENCE_S,
)
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.exceptions import HistoryGoneError, PlatformUnavailableError
from banyanswitch.helpers.store_version import make_version
from banyanswitch.interfaces import Item, TableChanges

pytestmark = pytest.mark.looptime


class ScriptedFeed:
    """Implements ``TableFeed`` with answers from lists."""

    def __init__(self) -> None:
        self.snapshots: list[TableChanges | Exception] = []
        self.changes: list[TableChanges | Exception] = []
        self.cursors: list[int] = []
        self.waits_s: list[float] = []

    def clock_s(self, max_error_s: float = math.inf) -> float | None:
        return None

    async def async_read_table(self, table: str) -> TableChanges:
        return self._next(self.snapshots)

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        self.cursors.append(after)
        self.waits_s.append(wait_s)
        if not self.changes:
            await asyncio.sleep(1000.0)
        return self._next(self.changes)

    @staticmethod
    def _next(answers: list[TableChanges | Exception]) -> TableChanges:
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def item(key: str, revision: int) -> Item:
    return Item(f"t/{key}", revision, b"%d" % revision)


def revisions(mirror: TableMirror) -> dict[str, int]:
    return {found.key: found.revision for found in mirror.items}


async def async_follow(mirror: TableMirror) -> None:
    task = asyncio.create_task(mirror.async_run())
    await asyncio.sleep(30.0)
    task.cancel()


async def test_changes_and_removals_are_applied() -> None:
    feed = ScriptedFeed()
    feed.snapshots = [TableChanges(5, (item("a", 3), item("b", 4)), ())]
    feed.changes = [TableChanges(7, (item("a", 6),), ("t/b",))]
    mirror = TableMirror("t", feed, random.Random(1))
    seen: list[tuple[tuple[Item, ...], tuple[str, ...]]] = []
    mirror.subscribe(lambda changed, removed: seen.append((changed, removed)))
    await async_follow(mirror)
    assert revisions(mirror) == {"t/a": 6}
    assert feed.cursors == [5, 7]
    assert seen[-1] == ((item("a", 6),), ("t/b",))


async def test_stale_read_after_lost_history_changes_nothing() -> None:
    feed = ScriptedFeed()
    feed.snapshots = [
        TableChanges(9, (item("a", 8),), ()),
        TableChanges(6, (item("a", 5), item("gone", 4)), ()),
        TableChanges(11, (item("a", 10),), ()),
    ]
    feed.changes = [HistoryGoneError("compacted")]
    mirror = TableMirror("t", feed, random.Random(1))
    await async_follow(mirror)
    assert revisions(mirror) == {"t/a": 10}


async def test_rows_removed_while_history_was_lost_are_dropped() -> None:
    feed = ScriptedFeed()
    feed.snapshots = [
        TableChanges(5, (item("a", 3), item("b", 4)), ()),
        TableChanges(9, (item("a", 3),), ()),
    ]
    feed.changes = [HistoryGoneError("compacted")]
    mirror = TableMirror("t", feed, random.Random(1))
    await async_follow(mirror)
    assert revisions(mirror) == {"t/a": 3}


async def test_mirror_recovers_after_an_outage() -> None:
    feed = ScriptedFeed()
    feed.snapshots = [
        PlatformUnavailableError("down"),
        PlatformUnavailableError("down"),
        TableChanges(5, (item("a", 3),), ()),
    ]
    feed.changes = [PlatformUnavailableError("down"), TableChanges(6, (), ())]
    mirror = TableMirror("t", feed, random.Random(1))
    await async_follow(mirror)
    assert revisions(mirror) == {"t/a": 3}
    assert feed.cursors[:2] == [5, 5]
    assert mirror.last_failure_s > 0


async def test_older_copy_of_another_instance_is_ignored() -> None:
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    mirror.apply_snapshot(TableChanges(8, (item("a", 8),), ()))
    mirror.apply_snapshot(TableChanges(5, (item("a", 5),), ()))
    assert revisions(mirror) == {"t/a": 8}
    mirror.apply_snapshot(TableChanges(9, (item("a", 9),), ()))
    assert revisions(mirror) == {"t/a": 9}
    assert mirror.content_version == 9


async def test_removed_row_is_not_restored_by_an_older_change() -> None:
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    mirror.apply_snapshot(TableChanges(5, (item("a", 5),), ()))
    mirror.apply_changes(TableChanges(7, (), ("t/a",)))
    mirror.apply_changes(TableChanges(7, (item("a", 6),), ()))
    assert revisions(mirror) == {}
    mirror.apply_changes(TableChanges(8, (item("a", 8),), ()))
    assert revisions(mirror) == {"t/a": 8}


async def test_row_is_not_removed_by_an_older_removal() -> None:
    """A lagging instance still reports the removal of a row that was written again."""
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    mirror.apply_changes(TableChanges(9, (item("a", 9),), ()))
    mirror.apply_changes(TableChanges(7, (), ("t/a",)))
    assert revisions(mirror) == {"t/a": 9}


async def test_number_of_remembered_removed_rows_is_bounded() -> None:
    """Upstreams are added and removed for months.

    A copy must refuse requests for changes older than the removals that it dropped.
    """
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    count = 3 * MAX_REMOVED_ROWS
    for number in range(1, count + 1):
        mirror.apply_changes(
            TableChanges(2 * number, (item(f"u{number}", 2 * number - 1),), ())
        )
        mirror.apply_changes(TableChanges(2 * number, (), (f"t/u{number}",)))
    with pytest.raises(HistoryGoneError):
        mirror.changes_since(10)
    recent = mirror.changes_since(2 * (count - 100))
    assert recent.removed == tuple(f"t/u{n}" for n in range(count - 99, count + 1))


async def test_time_of_the_stores_return_is_that_of_the_first_contact() -> None:
    feed = ScriptedFeed()
    feed.snapshots = [TableChanges(5, (), ())]
    feed.changes = [
        PlatformUnavailableError("down"),
        PlatformUnavailableError("down"),
        TableChanges(5, (), ()),
    ]
    mirror = TableMirror("t", feed, random.Random(1))
    assert mirror.regained_at_s == float("-inf")
    await async_follow(mirror)
    assert mirror.last_failure_s < mirror.regained_at_s < mirror.last_failure_s + 1.0
    assert mirror.last_contact_s == mirror.regained_at_s


def in_era(era: int, found: Item) -> Item:
    return Item(found.key, make_version(era, found.revision), found.value)


# Guards against reading whole tables for ever after versions have gone back.
async def test_rows_of_a_new_era_replace_those_with_higher_numbers() -> None:
    feed = ScriptedFeed()
    old = (in_era(1, item("a", 8)), in_era(1, item("gone", 9)))
    new = (in_era(2, item("a", 5)),)
    feed.snapshots = [
        TableChanges(make_version(1, 9), old, ()),
        TableChanges(make_version(2, 6), new, ()),
    ]
    feed.changes = [HistoryGoneError("another era")]
    mirror = TableMirror("t", feed, random.Random(1))
    await async_follow(mirror)
    assert revisions(mirror) == {"t/a": make_version(2, 5)}
    assert feed.cursors == [make_version(1, 9), make_version(2, 6)]
    assert feed.snapshots == []


# Guards against rows that a copy of an earlier era brings back.
async def test_copy_of_an_earlier_era_changes_nothing() -> None:
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    mirror.apply_snapshot(
        TableChanges(make_version(2, 5), (in_era(2, item("a", 5)),), ())
    )
    old = (in_era(1, item("a", 8)), in_era(1, item("gone", 9)))
    mirror.apply_snapshot(TableChanges(make_version(1, 9), old, ()))
    mirror.apply_changes(TableChanges(make_version(1, 9), old, ()))
    assert mirror.items[0].revision == make_version(2, 5)
    assert mirror.content_version >= make_version(2, 5)


# Guards against dropping upstreams whose entries are missing in an older copy at once.
async def test_new_era_counts_as_the_stores_return() -> None:
    mirror = TableMirror("t", ScriptedFeed(), random.Random(1))
    mirror.apply_snapshot(
        TableChanges(make_version(1, 5), (in_era(1, item("a", 5)),), ())
    )
    assert mirror.regained_at_s == float("-inf")
    regained_at_s = []
    mirror.subscribe(
        lambda _changed, _removed: regained_at_s.append(mirror.regained_at_s)
    )
    await asyncio.sleep(3.0)
    mirror.apply_snapshot(TableChanges(make_version(2, 4), (), ()))
    assert regained_at_s == [asyncio.get_running_loop().time()]


# Guards against taking a removal long after an outage for one that it caused.
async def test_first_call_after_a_failure_does_not_wait_for_a_change() -> None:
    feed = ScriptedFeed()
    feed.snapshots = [TableChanges(5, (), ())]
    feed.changes = [
        TableChanges(5, (), ()),
        PlatformUnavailableError("down"),
        TableChanges(5, (), ()),
        TableChanges(5, (), ()),
    ]
    mirror = TableMirror("t", feed, random.Random(1))
    await async_follow(mirror)
    assert feed.waits_s == [FEED_WAIT_S, FEED_WAIT_S, 0.0, FEED_WAIT_S, FEED_WAIT_S]


# Guards against rows that came and went unnoticed while the feed was not followed.
@pytest.mark.parametrize(
    ("changes", "has_gap"),
    [
        (TableChanges(7, (item("a", 6),), ("t/b",)), False),
        (TableChanges(7, (), ("t/b", "t/unseen")), True),
        (HistoryGoneError("test"), True),
    ],
)
async def test_rows_that_may_have_been_missed_are_noted(
    changes: TableChanges | Exception, has_gap: bool
) -> None:
    feed = ScriptedFeed()
    rows = (item("a", 3), item("b", 4))
    feed.snapshots = [TableChanges(5, rows, ()), TableChanges(8, rows, ())]
    feed.changes = [changes]
    mirror = TableMirror("t", feed, random.Random(1))
    await async_follow(mirror)
    assert (mirror.gap_at_s > -math.inf) is has_gap


# Guards against a suspension or a partition that no failed call has shown.
@pytest.mark.parametrize("silence_s", [FEED_WAIT_S, MAX_SILENCE_S + 0.1])
async def test_late_answer_of_the_feed_is_noted(silence_s: float) -> None:
    mirror = TableMirror("t", SlowFeed(silence_s), random.Random(1))
    await async_follow(mirror)
    assert (mirror.gap_at_s > -math.inf) is (silence_s > MAX_SILENCE_S)


class SlowFeed(ScriptedFeed):
    """Feed that answers each call for changes after a time."""

    def __init__(self, answer_s: float) -> None:
        super().__init__()
        self.snapshots = [TableChanges(5, (item("a", 3),), ())]
        self._answer_s = answer_s

    async def async_changes(
        self, table: str, after: int, wait_s: float
    ) -> TableChanges:
        await asyncio.sleep(self._answer_s)
        return TableChanges(after, (), ())
