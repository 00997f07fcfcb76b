"""Reports between instances of this version and of the one before it (0c21667)."""

import msgspec

from banyanswitch.components.part_quarantine.models import (
    EMPTY_REPORT,
    QuarantineReport,
)
from banyanswitch.components.state_exchange.models import InstanceReport
from banyanswitch.components.upstream_limits.models import LimitReport
from banyanswitch.decisions.fetch_floor import FetchFloor
from banyanswitch.decisions.load_shares import Load
from banyanswitch.decisions.slowness import SlownessReport


class EarlierReport(msgspec.Struct, frozen=True, array_like=True):
    """The report as version 0c21667 sends and reads it."""

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


FIELDS = {
    "instance": "a",
    "peer_address": "a:1",
    "table_versions": {"servers": 3},
    "loads": {"u": Load(1, 2, 3)},
    "fetches": {"s:1": 4},
    "loading": {"u": 2},
    "weights": {"u": ("m", 1)},
    "fetch_floors": {},
    "replaced": ["v"],
    "target_ages_s": {"m": {2: 0.5}},
    "limits": [LimitReport("u", 1, 2.5, 0.1)],
}


# Guards against instances that drop the reports of another version during a release.
def test_earlier_version_reads_reports_of_this_one() -> None:
    report = InstanceReport(
        **FIELDS,  # type: ignore[arg-type]
        request_address="a:2",
        unreached=["u"],
        slowness={"u": SlownessReport(400, 10)},
    )
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=EarlierReport)
    assert read == EarlierReport(**FIELDS)  # type: ignore[arg-type]


# Guards against requests that are passed on to a version that can't take them.
def test_report_of_the_earlier_version_names_no_address_for_requests() -> None:
    report = EarlierReport(**FIELDS)  # type: ignore[arg-type]
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(report), type=InstanceReport)
    assert read == InstanceReport(**FIELDS)  # type: ignore[arg-type]
    assert (read.request_address, read.unreached) == ("", [])
    assert read.slowness == {}
