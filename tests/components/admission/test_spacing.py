"""Test the base spacing of batch starts.

It is the lag of load reports, or the prefill time of the smallest batch request if that
is shorter.
"""

import pytest

from banyanswitch.components.admission import base_batch_spacing_s
from banyanswitch.components.admission.const import REPORT_LAG_S
from banyanswitch.config.models import Service, ServiceKind, Upstream
from banyanswitch.identifiers import FailureDomainId, ServiceName, UpstreamId

NAME = ServiceName("m")


@pytest.mark.parametrize(
    ("piece_tokens", "spacing_s"), [(4000, REPORT_LAG_S), (400, 0.1), (16, 0.004)]
)
def test_spacing_follows_the_smallest_batch_request(
    piece_tokens: int, spacing_s: float
) -> None:
    service = Service(name=NAME, kind=ServiceKind.MODEL, piece_tokens=piece_tokens)
    upstream = Upstream(
        name=UpstreamId("m-1"),
        service=NAME,
        url="http://127.0.0.1:1",
        failure_domain=FailureDomainId("a"),
        prefill_tokens_per_s=8000.0,
    )
    assert base_batch_spacing_s(service, [upstream]) == pytest.approx(spacing_s)
    assert base_batch_spacing_s(service, []) == REPORT_LAG_S
