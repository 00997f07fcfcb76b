"""State of one duty on one instance: observe, acquire, renew and release."""

import math

import msgspec

from banyanswitch.components.lease.const import (
    CLOCK_MARGIN_S,
    MARGIN_SHARE,
    TOKENS_PER_ERA,
)
from banyanswitch.components.lease.models import (
    LeaseRecord,
    Observation,
    decode_lease,
    lease_key,
)
from banyanswitch.helpers.store_version import era_of
from banyanswitch.interfaces import Item, Lease, Write


class Duty:
    """State machine of one duty, without I/O or a clock.

    The holder counts the lease duration from before its write is sent, and other
    instances count it from a later time: from after they have read that write, or from
    the time of the store's clock in the record plus `CLOCK_MARGIN_S`, if that is
    earlier. So two instances never hold the lease at the same time, as long as the
    rates of their monotonic clocks differ by less than the margin.

    The second count needs a store's clock that is never set forward. Estimates of it
    are never too high. A reader's that is too low only makes it wait longer; a holder's
    makes the record look older than it is, by at most `CLOCK_MARGIN_S`, as a record
    contains no time if the error may be larger.

    The clock of a suspended machine's event loop stands still, so a holder that wakes
    up may count its lease as valid although another one has acquired it or may do so.
    It must check for suspensions and call `forfeit` before each effect. Its next
    renewal may be sent before that check, but has no effect under it, and its time is
    not before that of the last renewal that had one. The same applies to a write that
    was delayed by the suspension and whose time is from before.

    If the store returns from an older copy, it begins a new era: the record may be an
    older one or missing, and its token may be given out again. So no lease of a past
    era is valid in the new one, a record of an earlier era or a missing one counts as
    renewed when it is first read, and the tokens of an era are higher than those of all
    earlier eras. In a store with eras, this applies to the first era too.

    Parameters
    ----------
    name : str
        Name of the duty.
    holder : str
        Unique identifier of this process.
    duration_s : float
        Duration of the leases that this instance acquires, in seconds.
    """

    def __init__(self, name: str, holder: str, duration_s: float) -> None:
        self.name = name
        self.key = lease_key(name)
        self._holder = holder
        self._duration_s = duration_s
        self._seen: Observation | None = None
        self._lease: Lease | None = None
        self._predecessor_renewed_by_s: float | None = None
        self._forfeited_at_s = float("-inf")
        self._era = 0
        self._missing_since_s: float | None = None

    def note_era(self, era: int) -> None:
        """Invalidate the lease and the record of an earlier era of the store."""
        if era <= self._era:
            return
        self._era = era
        self._lease = None
        self._seen = None
        self._missing_since_s = None

    def held(self, now_s: float) -> Lease | None:
        """Return the lease if it is valid."""
        if self._lease is None or now_s >= self._lease.expires_at_s:
            return None
        return self._lease

    def observe(
        self, item: Item | None, now_s: float, clock_s: float | None = None
    ) -> None:
        """Update the state from a record that was read.

        Parameters
        ----------
        clock_s : float, optional
            Time of the store's clock, in seconds; may be too low, but not too high.
        """
        if item is None:
            self._seen = None
            if self._missing_since_s is None:
                self._missing_since_s = now_s
            return
        self.note_era(era_of(item.revision))
        self._missing_since_s = None
        if self._seen is not None and self._seen.revision >= item.revision:
            return
        record = decode_lease(item.value)
        renewed_by_s = now_s
        if self._is_of_era(record):
            renewed_by_s = min(now_s, self._renewed_by_s(record, now_s, clock_s))
        self._seen = Observation(item.revision, record, renewed_by_s)
        if record.holder != self._holder:
            self._lease = None

    def forfeit(self, now_s: float) -> None:
        """Invalidate the lease; the record has to be read again.

        A write that was sent before does not yield a lease when it succeeds.
        """
        self._lease = None
        self._seen = None
        self._forfeited_at_s = now_s

    def next_write(self, now_s: float, clock_s: float | None = None) -> Write | None:
        """Return the write that renews or acquires the lease, if one is due.

        Parameters
        ----------
        clock_s : float, optional
            Time of the store's clock, in seconds, too low by at most `CLOCK_MARGIN_S`.
        """
        seen = self._seen
        if seen is None:
            if not self._is_free_without_record(now_s):
                return None
            return self._write(self._next_token(0), 0, 0, clock_s)
        token, renewal = seen.record.fencing_token, seen.record.renewal
        if self.held(now_s) is not None:
            return self._write(token, renewal + 1, seen.revision, clock_s)
        if not self._is_free(seen, now_s):
            return None
        return self._write(self._next_token(token), 0, seen.revision, clock_s)

    def release_write(self) -> Write | None:
        """Invalidate the lease and return the write that releases it, if held."""
        if self._lease is None or self._seen is None:
            return None
        self._lease = None
        record = msgspec.structs.replace(self._seen.record, holder="")
        content = msgspec.msgpack.encode(record)
        return Write(self.key, content, self._seen.revision)

    def on_written(self, write: Write, revision: int, sent_at_s: float) -> None:
        """Update the state after a write of this duty was applied."""
        if sent_at_s <= self._forfeited_at_s:
            return
        if era_of(revision) != self._era:
            # The lease was found free in an earlier era.
            self.note_era(era_of(revision))
            return
        record = decode_lease(write.value or b"")
        if record.renewal == 0:
            seen = self._seen
            self._predecessor_renewed_by_s = seen.renewed_by_s if seen else None
        self._seen = Observation(revision, record, sent_at_s)
        self._lease = Lease(
            name=self.name,
            fencing_token=record.fencing_token,
            expires_at_s=sent_at_s + record.duration_s * (1.0 - MARGIN_SHARE),
            renewed_at_s=sent_at_s,
            predecessor_renewed_by_s=self._predecessor_renewed_by_s,
        )

    def _is_free(self, seen: Observation, now_s: float) -> bool:
        is_released = seen.record.holder in ("", self._holder)
        if is_released and self._is_of_era(seen.record):
            return True
        return now_s - seen.renewed_by_s >= seen.record.duration_s

    def _is_free_without_record(self, now_s: float) -> bool:
        """Return whether no lease can be valid although there is no record."""
        if not self._era:
            return True
        since_s = self._missing_since_s
        return since_s is not None and now_s - since_s >= self._duration_s

    def _is_of_era(self, record: LeaseRecord) -> bool:
        return record.fencing_token // TOKENS_PER_ERA == self._era

    def _next_token(self, token: int) -> int:
        return max(token, self._era * TOKENS_PER_ERA) + 1

    def _renewed_by_s(
        self, record: LeaseRecord, now_s: float, clock_s: float | None
    ) -> float:
        """Return the loop time by which the record's write had been sent, or infinity.

        It's too late by the error of ``clock_s`` and by what `CLOCK_MARGIN_S` exceeds
        the error of the record's time, and never too early.
        """
        if clock_s is None or record.renewed_at_s is None:
            return math.inf
        return now_s - (clock_s - record.renewed_at_s) + CLOCK_MARGIN_S

    def _write(
        self, fencing_token: int, renewal: int, revision: int, clock_s: float | None
    ) -> Write:
        record = LeaseRecord(
            holder=self._holder,
            fencing_token=fencing_token,
            duration_s=self._duration_s,
            renewal=renewal,
            renewed_at_s=clock_s,
        )
        return Write(self.key, msgspec.msgpack.encode(record), revision)
