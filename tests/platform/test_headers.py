"""Tests of the request and response headers on the users' platform."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from banyanswitch.components.forwarding.models import PromptPart, UpstreamRequestPlan
from banyanswitch.components.http1.models import BodyFraming, Request, ResponseHead
from banyanswitch.identifiers import UpstreamId, WorkspaceId
from banyanswitch.platform.const import SYSTEM_HEADERS
from banyanswitch.platform.headers import HeaderTranslator

TRANSLATOR = HeaderTranslator()
PLAN = UpstreamRequestPlan(
    upstream=UpstreamId("i-1"), workspace=WorkspaceId("ws"), time_left_s=1.5
)


def make_request(*headers: tuple[bytes, bytes], body: bytes = b"") -> Request:
    return Request(b"POST", b"/p?q", ((b"Host", b"H.example:80"), *headers), body, 0.0)


def sent_headers(
    request: Request, plan: UpstreamRequestPlan = PLAN
) -> dict[bytes, bytes]:
    head = TRANSLATOR.upstream_request(request, plan).split(b"\r\n\r\n", 1)[0]
    lines = head.split(b"\r\n")[1:]
    return {
        name.lower(): value for name, value in (line.split(b": ", 1) for line in lines)
    }


def test_documented_example_is_parsed() -> None:
    metadata = TRANSLATOR.read_request_metadata(
        make_request(
            (b"Attempt-Id", b"9c41"),
            (b"Model", b"m1"),
            (b"Token-Usage", b"1460,80"),
            (b"Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
            (b"Deadline-Ms", b"12000"),
            (b"Authorization", b"Bearer k1"),
        )
    )
    assert metadata.host == "h.example"
    assert metadata.time_left_s == 12.0
    assert metadata.key == "k1"
    assert metadata.prompt_tokens == 1460
    assert metadata.output_tokens == 80
    assert metadata.parts[0] == PromptPart("5c1e", 800)
    assert len(metadata.parts) == 3
    assert metadata.last_event is None
    assert metadata.resumes is None


def test_stream_that_is_taken_up_again_is_parsed_and_forwarded() -> None:
    request = make_request((b"last-event-id", b"12"), (b"Resumes", b"9c41"))
    metadata = TRANSLATOR.read_request_metadata(request)
    assert metadata.last_event == b"12"
    assert metadata.resumes == b"9c41"
    assert sent_headers(request)[b"resumes"] == b"9c41"


@pytest.mark.parametrize("name", sorted(SYSTEM_HEADERS))
def test_system_headers_of_callers_are_dropped(name: bytes) -> None:
    sent = sent_headers(make_request((name.title(), b"forged")))
    assert b"forged" not in sent.values()


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    sent = sent_headers(
        make_request(
            (b"Connection", b"close, X-Private"),
            (b"X-Private", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"TE", b"trailers"),
            (b"X-Other", b"2"),
        )
    )
    assert b"x-private" not in sent
    assert b"connection" not in sent
    assert b"te" not in sent
    assert sent[b"x-other"] == b"2"


def test_plan_is_encoded_in_headers() -> None:
    plan = UpstreamRequestPlan(
        upstream=UpstreamId("i-1"),
        workspace=WorkspaceId("ws"),
        time_left_s=0.25,
        rank=3,
        cache_salt="2-ab",
        expected_weights=2,
        fetches=("10.0.0.1:1", "", ""),
        saves=("", "10.0.0.2:2", ""),
        fetch_until_ms=77,
        resume_after=b"4",
    )
    request = make_request((b"Last-Event-Id", b"1"), (b"Content-Length", b"2"))
    sent = sent_headers(request, plan)
    assert sent[b"deadline-ms"] == b"250"
    assert sent[b"expect-instance"] == b"i-1"
    assert sent[b"tenant"] == b"ws"
    assert sent[b"kv-fetch"] == b"10.0.0.1:1,-,-"
    assert sent[b"kv-save"] == b"-,10.0.0.2:2,-"
    assert sent[b"kv-until"] == b"77"
    assert sent[b"last-event-id"] == b"4"
    assert sent[b"expect-version"] == b"2"
    assert sent[b"request-priority"] == b"3"


def test_chunked_body_is_sent_with_content_length() -> None:
    request = make_request((b"Transfer-Encoding", b"chunked"), body=b"abc")
    data = TRANSLATOR.upstream_request(request, PLAN)
    assert b"transfer-encoding" not in data.lower()
    assert b"Content-Length: 3\r\n" in data
    assert data.endswith(b"\r\n\r\nabc")


def test_response_headers_are_parsed() -> None:
    head = ResponseHead(
        503,
        b"Service Unavailable",
        (
            (b"Not-Run", b"1"),
            (b"Server-Load", b"3,0,8"),
            (b"Attempt-Id", b"a"),
            (b"Retry-After", b"0.25"),
        ),
        BodyFraming.LENGTH,
    )
    metadata = TRANSLATOR.read_response_metadata(head)
    assert metadata.is_not_run
    assert not metadata.is_signed
    assert metadata.load == (3, 0, 8)
    assert metadata.retry_after_s == 0.25


# Guards against a parser that drops the load of services that report a fourth figure,
# or all figures when that one is unreadable.
@pytest.mark.parametrize(
    ("value", "load", "slowness"),
    [
        (b"3,0,8", (3, 0, 8), None),
        (b"3,1,8,100", (3, 1, 8), 1.0),
        (b"3, 0, 8, 400", (3, 0, 8), 4.0),
        (b"3,0,8,37.5", (3, 0, 8), 0.375),
        (b"3,0,8,400,9", (3, 0, 8), 4.0),
        (b"3,0,8,", (3, 0, 8), None),
        (b"3,0,8,0", (3, 0, 8), None),
        (b"3,0,8,-400", (3, 0, 8), None),
        (b"3,0,8,nan", (3, 0, 8), None),
        (b"3,0,8,inf", (3, 0, 8), None),
        (b"3,0", None, None),
        (b"3,x,8,400", None, None),
    ],
)
def test_load_has_an_optional_fourth_figure(
    value: bytes, load: tuple[int, int, int] | None, slowness: float | None
) -> None:
    head = ResponseHead(200, b"", ((b"Server-Load", value),), BodyFraming.LENGTH)
    metadata = TRANSLATOR.read_response_metadata(head)
    assert (metadata.load, metadata.slowness) == (load, slowness)


def test_misdirected_request_is_reported_as_not_run() -> None:
    metadata = TRANSLATOR.read_response_metadata(
        ResponseHead(421, b"", (), BodyFraming.LENGTH)
    )
    assert metadata.is_not_run
    assert metadata.is_misdirected


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b"Token-Usage",
                    b"Prompt-Prefix",
                    b"Deadline-Ms",
                    b"Authorization",
                    b"Model",
                ]
            ),
            st.binary(max_size=40),
        )
    )
)
def test_invalid_request_headers_do_not_raise(
    headers: list[tuple[bytes, bytes]],
) -> None:
    metadata = TRANSLATOR.read_request_metadata(make_request(*headers))
    assert metadata.prompt_tokens >= 0
    assert all(part.tokens >= 0 for part in metadata.parts)
