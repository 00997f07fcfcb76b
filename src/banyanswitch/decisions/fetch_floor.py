"""From which weight version on stored parts are worth keeping."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class FloorView:
    """Weights of one model's upstreams.

    Parameters
    ----------
    target : int
        Version that is wanted.
    upstream_versions : tuple of int
        Version of each upstream that serves the model.
    """

    target: int
    upstream_versions: tuple[int, ...]


def fetch_floor(view: FloorView) -> int:
    """Return the lowest version whose stored parts are not freed.

    Once half of the upstreams have the wanted version, most requests run on it and
    its parts need the room of the older ones.
    """
    if not view.upstream_versions:
        return 0
    moved = sum(version >= view.target for version in view.upstream_versions)
    if 2 * moved >= len(view.upstream_versions):
        return view.target
    return min(*view.upstream_versions, view.target)
