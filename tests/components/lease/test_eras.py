"""A duty whose record is older or missing after the store's return."""

import msgspec

from banyanswitch.components.lease.const import TOKENS_PER_ERA
from banyanswitch.components.lease.duty import Duty
from banyanswitch.components.lease.models import LeaseRecord, decode_lease
from banyanswitch.helpers.store_version import make_version
from banyanswitch.interfaces import Item, Write

DURATION_S = 2.4


def make_duty() -> Duty:
    return Duty("orders", "a", DURATION_S)


def make_item(duty: Duty, era: int, holder: str, token: int) -> Item:
    record = LeaseRecord(
        holder=holder,
        fencing_token=token,
        duration_s=DURATION_S,
        renewal=1,
        renewed_at_s=0.0,
    )
    return Item(duty.key, make_version(era, 5), msgspec.msgpack.encode(record))


def token_of(write: Write | None) -> int:
    assert write is not None
    return decode_lease(write.value or b"").fencing_token


# Guards against a lease beside one whose record the store has lost.
def test_missing_record_is_watched_for_the_duration() -> None:
    duty = make_duty()
    duty.note_era(2)
    duty.observe(None, 10.0, 1000.0)
    assert duty.next_write(10.0) is None
    duty.observe(None, 12.0, 1002.0)
    assert duty.next_write(10.0 + DURATION_S - 0.01) is None
    assert token_of(duty.next_write(10.0 + DURATION_S)) > 2 * TOKENS_PER_ERA


# Guards against trusting the age, the release or the own name in an older record.
def test_record_of_an_earlier_era_counts_as_just_renewed() -> None:
    for holder in ("a", "b", ""):
        duty = make_duty()
        duty.observe(make_item(duty, 3, holder, TOKENS_PER_ERA + 7), 10.0, 1000.0)
        assert duty.next_write(10.0 + DURATION_S - 0.01) is None
        assert token_of(duty.next_write(10.0 + DURATION_S)) > 3 * TOKENS_PER_ERA


def test_lease_of_an_earlier_era_is_not_held_any_more() -> None:
    duty = make_duty()
    duty.observe(make_item(duty, 1, "", TOKENS_PER_ERA + 7), 10.0, None)
    write = duty.next_write(10.0)
    assert write is not None
    duty.on_written(write, make_version(1, 6), 10.0)
    assert duty.held(10.1) is not None
    duty.note_era(2)
    assert duty.held(10.1) is None


def test_lease_that_was_free_in_an_earlier_era_is_not_acquired() -> None:
    duty = make_duty()
    duty.observe(make_item(duty, 1, "", TOKENS_PER_ERA + 7), 10.0, None)
    write = duty.next_write(10.0)
    assert write is not None
    duty.on_written(write, make_version(2, 6), 10.0)
    assert duty.held(10.1) is None
