"""Numbers of callers and upstreams that fit into no report; no network."""

from collections.abc import Iterator

import msgspec
import pytest

from banyanswitch.components.forwarding.event_stream import EventSplitter
from banyanswitch.components.forwarding.loads import InFlight
from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.http1.models import BodyFraming, Request, ResponseHead
from banyanswitch.identifiers import UpstreamId
from banyanswitch.platform.headers import HeaderTranslator
from tests.components.forwarding.fakes import FakeReply, model_request
from tests.components.forwarding.instance import CAPACITY_TOKENS, Instance, now_s

NUMBERS = (
    "0",
    "00000000000000000000000000000000000000000007",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551616",
    "9" * 400,
    "9" * 5000,
    "-1",
    "1.5",
    "1e400",
    "nan",
    "\u0661",
)
INTEGER_LIMIT = 2**63


def requests(number: str) -> Iterator[Request]:
    for name, value in (
        ("Token-Usage", f"{number},{number}"),
        ("Token-Usage", f"100,{number}"),
        ("Prompt-Prefix", f"aa:{number},bb:{number}"),
        ("Deadline-Ms", number),
        ("Length-Hint", number),
        ("Last-Event-Id", number),
    ):
        headers = ((b"Model", b"m"), (name.encode(), value.encode()))
        yield Request(b"POST", b"/", headers, b"", 0.0)


# Guards against a number of a caller that ends the handler of its request, or makes
# the reports of its instance impossible.
@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:20])
def test_numbers_of_callers_fit_into_reports(number: str) -> None:
    for request in requests(number):
        metadata = HeaderTranslator().read_request_metadata(request)
        tokens = metadata.prompt_tokens + metadata.output_tokens
        tokens += sum(part.tokens for part in metadata.parts)
        assert 0 <= tokens * 1000 * 1000 < INTEGER_LIMIT
        msgspec.msgpack.encode(tokens * 1000)
        EventSplitter(metadata.last_event).feed(b"id: 1\ndata: x\n\n")


@pytest.mark.parametrize("number", NUMBERS, ids=lambda number: number[:20])
def test_numbers_of_upstreams_fit_into_reports(number: str) -> None:
    for name in (
        "Weight-Versions",
        "Server-Load",
        "Server-Limit",
        "Retry-After",
        "Keep-Alive",
    ):
        value = f"{number},{number},{number}" if name == "Server-Load" else number
        headers = ((name.encode(), value.encode()),)
        head = ResponseHead(200, b"OK", headers, BodyFraming.LENGTH)
        found = HeaderTranslator().read_response_metadata(head)
        msgspec.msgpack.encode([found.weight_version, found.load, found.limit_per_s])
        EventSplitter(b"1").feed(f"id: {number}\ndata: x\n\n".encode())


# Guards against a wait for capacity that no upstream has, and against its trace in the
# loads by which other requests are placed.
@pytest.mark.looptime
@pytest.mark.parametrize("tokens", [CAPACITY_TOKENS, 10**9, 2**63])
async def test_request_larger_than_any_upstream_is_refused_at_once(tokens: int) -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    reply = FakeReply()
    path = f"/{Repeatability.RESUMABLE_STREAM.value}/"
    request = model_request(path, prompt_tokens=tokens, time_left_s=30.0)
    began_at_s = now_s()
    await instance._forwarder.async_handle(request, reply)
    assert (reply.status, reply.is_declined) == (503, False)
    assert now_s() == began_at_s
    assert not upstream.exchanges
    assert not instance.upstreams.loads.local_loads()


# Guards against a request that is never removed from the loads because a report failed.
@pytest.mark.looptime
async def test_request_goes_on_if_its_load_can_not_be_reported() -> None:
    instance = Instance()
    instance.add("a", 1)
    loads = instance.upstreams.loads

    def fail() -> None:
        raise OverflowError("the number does not fit")

    loads.on_large_prefill_change = fail
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    assert reply.status == 200
    assert not loads.local_loads()
    number = loads.begin(
        InFlight(UpstreamId("a"), 1, 1, now_s(), is_large_prefill=True)
    )
    loads.end(number)
    assert not loads.has_work(UpstreamId("a"))
