"""State of one duty on one instance: observe, acquire, renew and release."""

import msgspec

from banyanswitch.components.lease.const import MARGIN_SHARE
from banyanswitch.components.lease.models import (
    LeaseRecord,
    Observation,
    decode_lease,
    lease_key,
)
from banyanswitch.interfaces import Item, Lease, Write


class Duty:
    """State machine of one duty, without I/O or a clock.

    The holder counts the lease duration from before its write is sent, and other
    instances count it from after they have read that write. So two instances never
    hold the lease at the same time, as long as the rates of their monotonic clocks
    differ by less than the margin.

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
        self._forfeited_at_s = float("-inf")

    def held(self, now_s: float) -> Lease | None:
        """Return the lease if it is valid."""
        if self._lease is None or now_s >= self._lease.expires_at_s:
            return None
        return self._lease

    def observe(self, item: Item | None, now_s: float) -> None:
        """Update the state from a record that was read."""
        if item is None:
            self._seen = None
            return
        if self._seen is not None and self._seen.revision >= item.revision:
            return
        record = decode_lease(item.value)
        self._seen = Observation(item.revision, record, now_s)
        if record.holder != self._holder:
            self._lease = None

    def forfeit(self, now_s: float) -> None:
        """Invalidate the lease; the record has to be read again.

        A write that was sent before does not yield a lease when it succeeds.
        """
        self._lease = None
        self._seen = None
        self._forfeited_at_s = now_s

    def next_write(self, now_s: float) -> Write | None:
        """Return the write that renews or acquires the lease, if one is due."""
        seen = self._seen
        if seen is None:
            return self._write(fencing_token=1, renewal=0, revision=0)
        record = seen.record
        if self.held(now_s) is not None:
            return self._write(record.fencing_token, record.renewal + 1, seen.revision)
        if not self._is_free(seen, now_s):
            return None
        return self._write(record.fencing_token + 1, 0, seen.revision)

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
        record = decode_lease(write.value or b"")
        self._seen = Observation(revision, record, sent_at_s)
        expires_at_s = sent_at_s + record.duration_s * (1.0 - MARGIN_SHARE)
        self._lease = Lease(self.name, record.fencing_token, expires_at_s, sent_at_s)

    def _is_free(self, seen: Observation, now_s: float) -> bool:
        if seen.record.holder in ("", self._holder):
            return True
        return now_s - seen.seen_at_s >= seen.record.duration_s

    def _write(self, fencing_token: int, renewal: int, revision: int) -> Write:
        record = LeaseRecord(
            holder=self._holder,
            fencing_token=fencing_token,
            duration_s=self._duration_s,
            renewal=renewal,
        )
        return Write(self.key, msgspec.msgpack.encode(record), revision)
