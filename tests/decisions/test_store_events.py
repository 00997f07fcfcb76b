"""Event numbers that tell a response from a second one to an earlier call."""

from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.decisions.response_ownership import Ownership
from banyanswitch.decisions.store_events import EventsView, events_ownership

EPOCH = 7
NUMBERS = st.integers(0, 50)


def answer(since: int, lost: int, count: int) -> EventsView:
    """Return a response with some events, the first of which were lost on the way."""
    return EventsView(
        epoch=EPOCH,
        next_event=since + lost + count,
        first_event=since + lost + 1 if count else None,
    )


# Guards against events that are dropped though they are those of the call.
@given(since=NUMBERS, lost=NUMBERS, count=NUMBERS)
def test_response_to_the_call_is_the_own_one(since: int, lost: int, count: int) -> None:
    events = answer(since, lost, count)
    assert events_ownership(EPOCH, since, events) is Ownership.OWN


# Guards against events that are applied again, or a sequence number that goes back.
@given(since=NUMBERS, lost=NUMBERS, count=NUMBERS, later=NUMBERS)
def test_second_response_to_an_earlier_call_is_harmless_or_not_the_own_one(
    since: int, lost: int, count: int, later: int
) -> None:
    events = answer(since, lost, count)
    now = events.next_event + later
    if events_ownership(EPOCH, now, events) is Ownership.OWN:
        assert (events.first_event, events.next_event) == (None, now)


# Guards against a restart of a store that is never noticed.
@given(since=NUMBERS, count=NUMBERS, now=NUMBERS)
def test_events_of_another_epoch_are_the_own_ones(
    since: int, count: int, now: int
) -> None:
    events = answer(since, 0, count)
    assert events_ownership(EPOCH + 1, now, events) is Ownership.OWN
