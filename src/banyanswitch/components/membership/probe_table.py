"""Probes without an answer so far."""

from dataclasses import dataclass

from banyanswitch.components.membership.models import Member


@dataclass(frozen=True, slots=True)
class Probe:
    """One probe that was sent.

    Parameters
    ----------
    target : Member or None
        Member that must answer; ``None`` if only the address is known.
    due_at_s : float
        Event loop time at which the direct probe times out, in seconds.
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
        """Close a probe that an instance answered and return it.

        Returns ``None`` if the probe is not open or has another instance as its target.
        """
        probe = self._probes.get(probe_id)
        if probe is None:
            return None
        if probe.target is not None and probe.target.instance != instance:
            return None
        return self._probes.pop(probe_id)

    def get(self, probe_id: int) -> Probe | None:
        """Return an open probe, or ``None``."""
        return self._probes.get(probe_id)

    def close(self, probe_id: int) -> None:
        """Remove a probe."""
        self._probes.pop(probe_id, None)

    def clear(self) -> None:
        """Remove all probes."""
        self._probes.clear()
