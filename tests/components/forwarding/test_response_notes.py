"""What responses say of their upstreams, on each way to this instance.

The table is in docs/PLATFORM.md, under "What upstreams say of themselves".
"""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.forwarding.upstream_registry import (
    UpstreamRegistry,
    UpstreamState,
)
from banyanswitch.components.peer_forwarding.const import HEADER_SOURCE
from banyanswitch.components.peer_forwarding.source_header import (
    decode_source,
    encode_source,
)
from banyanswitch.identifiers import UpstreamId
from tests.components.forwarding.fakes import MODEL, FakeReply, FakeUpstream, record
from tests.components.forwarding.instance import Instance, now_s

pytestmark = pytest.mark.looptime
NAME = UpstreamId("a")
PEER = "b"
BODY = b"Content-Length: 15\r\n\r\nid: 2\ndata: x\n\n"
Check = Callable[[UpstreamRegistry], bool]
NOTICES: dict[str, tuple[bytes, Check]] = {
    "leaving": (b"leaving: 1", lambda r: r.notices.is_leaving(record(NAME))),
    "limit": (b"limit: 2.5", lambda r: bool(r.limits.report(60.0))),
    "weights": (b"weights: 7", lambda r: _state(r).weight_versions[MODEL] == 7),
    "slowness": (b"slowness: 4.0", lambda r: r.slowness.slowness(NAME, now_s()) > 2.0),
}
REST: tuple[bytes, Check] = (
    b"retry-after: 5.0",
    lambda r: r.notices.rests_until_s(record(NAME)) > now_s(),
)


def _state(registry: UpstreamRegistry) -> UpstreamState:
    state = registry.state(NAME)
    assert state is not None
    return state


def response(notice: bytes, status: int = 200, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%b\r\n%b%b" % (status, notice, more, BODY)


async def async_direct(instance: Instance, notice: bytes) -> FakeReply:
    instance.add(NAME, 1).raw_response = response(notice)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    return reply


async def async_refused(instance: Instance, notice: bytes) -> FakeReply:
    instance.add(NAME, 1).raw_response = response(notice, 503, b"not-run: 1\r\n")
    reply, handling = instance.send(Repeatability.ONCE)
    await handling
    return reply


async def async_resumed(instance: Instance, notice: bytes) -> FakeReply:
    """Let another upstream break a stream off that this one continues."""
    instance.add("z", 1, response_s=1.0, is_unframed=True, breaks_off=True)
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await asyncio.sleep(0.5)
    instance.add(NAME, 1).raw_response = response(notice)
    await handling
    return reply


async def async_passed_on(
    instance: Instance, notice: bytes, source: bytes = b"1 a"
) -> FakeReply:
    """Let another instance relay the response; this one doesn't reach the upstream."""
    instance.add(NAME, 1)
    instance.links.peers.note_report(PEER, f"{PEER}:2", [])
    instance.links.note_not_sent(record(NAME), has_timed_out=False)
    named = b"%b: %b\r\n" % (HEADER_SOURCE, source) if source else b""
    peer = FakeUpstream(PEER, raw_response=response(notice, more=named))
    instance.peer_pool.upstreams[f"{PEER}:2"] = peer
    reply, handling = instance.send(Repeatability.RESUMABLE_STREAM)
    await handling
    assert len(peer.exchanges) == 1
    assert HEADER_SOURCE not in reply.headers
    return reply


Send = Callable[[Instance, bytes], Awaitable[FakeReply]]
WAYS: list[Send] = [async_direct, async_refused, async_resumed, async_passed_on]


# Guards against notices that are read on one way only.
@pytest.mark.parametrize("async_send", WAYS)
@pytest.mark.parametrize("name", NOTICES)
async def test_notice_is_read_on_each_way(name: str, async_send: Send) -> None:
    notice, check = NOTICES[name]
    instance = Instance()
    await async_send(instance, notice)
    assert check(instance.upstreams.registry)


# Guards against more requests to an upstream that has asked for rest.
async def test_rest_is_read_in_a_refusal() -> None:
    notice, check = REST
    instance = Instance()
    await async_refused(instance, notice)
    assert check(instance.upstreams.registry)


# Guards against beliefs about an upstream that another one, or nobody, has caused.
@pytest.mark.parametrize("name", NOTICES)
@pytest.mark.parametrize("source", [b"1 unknown", b"2 a", b"a", b"x a", b""])
async def test_relayed_notice_of_another_start_is_ignored(
    name: str, source: bytes
) -> None:
    notice, check = NOTICES[name]
    instance = Instance()
    await async_passed_on(instance, notice, source)
    assert not check(instance.upstreams.registry)


# Guards against a departure that another upstream at the same address has named.
@pytest.mark.parametrize("name", NOTICES)
async def test_notice_of_another_upstream_is_ignored(name: str) -> None:
    notice, check = NOTICES[name]
    instance = Instance()
    await async_direct(instance, notice + b"\r\nanswered-by: other")
    assert not check(instance.upstreams.registry)


def test_source_is_read_back() -> None:
    assert decode_source(encode_source("a b", 17)) == ("a b", 17)
