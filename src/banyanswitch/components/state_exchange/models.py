"""Messages between instances."""

import msgspec

from banyanswitch.components.forwarding.loads import Load
from banyanswitch.decisions.fetch_floor import FetchFloor


class InstanceReport(msgspec.Struct, frozen=True, array_like=True):
    """What one instance has in flight and believes.

    Parameters
    ----------
    peer_address : str
        Where the sender serves its table copies.
    table_versions : dict of str to int
        Newest change that it knows of each table.
    loads : dict of str to Load
        Its work in flight at each upstream.
    fetches : dict of str to int
        Tokens of its fetches under way from each address.
    loading : dict of str to int
        Upstreams that load weights, with the version; said by who orders loads.
    weights : dict of str to tuple
        Model and version that upstreams were seen to have.
    fetch_floors : dict of str to FetchFloor
        Which stored parts of each model are about to be freed; passed on by all.
    replaced : list of str
        Upstreams whose addresses other upstreams were seen to have.
    named_ages_s : dict of str to dict of int to float
        How long ago each weight version of a model was named, in seconds.
    """

    instance: str
    peer_address: str
    table_versions: dict[str, int]
    loads: dict[str, Load]
    fetches: dict[str, int]
    loading: dict[str, int]
    weights: dict[str, tuple[str, int]]
    fetch_floors: dict[str, FetchFloor]
    replaced: list[str]
    named_ages_s: dict[str, dict[int, float]]
