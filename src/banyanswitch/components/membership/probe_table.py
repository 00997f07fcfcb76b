"""Probes that wait for an answer."""

from dataclasses import dataclass

from banyanswitch.components.membership.models import Member


@dataclass(frozen=True, slots=True)
class Probe:
    """One probe that was sent.

    Parameters
    ----------
    target : Member or None
        Member that must answer; ``None`` if only an address was known.
    due_at_s : float
        Loop time at which the wait for the answer ends.
    requester : Member or None
        Instance on whose behalf the probe was sent.
    requester_probe_id : int
        Identifier of the probe at the requester.
    """

    target: Member | None
    due_at_s: float
    requester: Member | None = None
    requester_probe_id: int = 0


class ProbeTable:
    """Open probes by identifier."""

    def __init__(self) -> None:
        self._probes: dict[int, Probe] = {}
        self._last_id = 0

    def open(self, probe: Probe) -> int:
        """Add a probe and return its identifier."""
        self._last_id += 1
        self._probes[self._last_id] = probe
        return self._last_id

    def close_answered(self, probe_id: int, instance: str) -> Probe | None:
        """Close the probe that this instance answered and return it."""
        probe = self._probes.get(probe_id)
        if probe is None:
            return None
        if probe.target is not None and probe.target.instance != instance:
            return None
        return self._probes.pop(probe_id)

    def get(self, probe_id: int) -> Probe | None:
        """Return an open probe."""
        return self._probes.get(probe_id)

    def close(self, probe_id: int) -> None:
        """Forget a probe."""
        self._probes.pop(probe_id, None)

    def clear(self) -> None:
        """Forget all probes."""
        self._probes.clear()
