"""Messages between instances."""

import msgspec

from banyanswitch.components.kv_tier.fetch_permit import PermitReport
from banyanswitch.components.part_quarantine.models import (
    EMPTY_REPORT,
    QuarantineReport,
)
from banyanswitch.components.upstream_limits.models import LimitReport
from banyanswitch.decisions.fetch_floor import FetchFloor
from banyanswitch.decisions.load_shares import Load
from banyanswitch.decisions.slowness import SlownessReport


class InstanceReport(msgspec.Struct, frozen=True, array_like=True):
    """State of one instance: its work in flight and what it observed.

    Parameters
    ----------
    instance : str
        The sender.
    peer_address : str
        Address at which the sender serves its table copies.
    table_versions : dict of str to int
        Content version of each table that the sender knows.
    loads : dict of str to Load
        The sender's work in flight at each upstream; empty in a large fleet, where the
        upstreams' homes keep it.
    fetches : dict of str to int
        Tokens of the sender's fetches in progress from each address.
    loading : dict of str to int
        Upstreams that are loading weights, with the version; sent by the instance that
        orders the loads.
    weights : dict of str to tuple
        Model and weight version that upstreams were observed to have.
    fetch_floors : dict of str to FetchFloor
        Lower bound on the weights whose parts may be fetched, by model; parts below it
        are about to be freed. Every instance repeats the floors that it knows.
    replaced : list of str
        Upstreams at whose addresses other upstreams responded.
    target_ages_s : dict of str to dict of int to float
        Time since each weight version of a model became the target, in seconds.
    quarantine : QuarantineReport
        Ends of upstreams, and prompt parts that are withheld.
    limits : list of LimitReport
        Limits that upstreams named to the sender.
    request_address : str
        Address at which the sender takes requests that others pass on; empty if it
        takes none, as in reports of earlier versions.
    unreached : list of str
        Upstreams that the sender doesn't reach.
    permit : PermitReport or None
        Newest permit to fetch parts of older weights; ``None`` if it has ended. The
        sender knows the floors that the holder had raised when it issued the permit.
    slowness : dict of str to SlownessReport
        Slowness that the sender observed since its last report; empty in a large
        fleet, where the upstreams' homes keep it.
    weight_ages_s: dict of str to float
        Time since the earliest moment at which upstreams may have had the versions in
        ``weights``, in seconds, when the last recipient gets the report; missing in
        reports of earlier versions.
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
    target_ages_s: dict[str, dict[int, float]]
    quarantine: QuarantineReport = EMPTY_REPORT
    limits: list[LimitReport] = []
    request_address: str = ""
    unreached: list[str] = []
    permit: PermitReport | None = None
    slowness: dict[str, SlownessReport] = {}
    weight_ages_s: dict[str, float] = {}
