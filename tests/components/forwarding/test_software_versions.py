"""A stream only goes on at the software version that began it; no network.

Upstreams ``a`` and ``b`` have version v1, ``x`` and ``y`` have version v2.
"""

import asyncio

import pytest

from banyanswitch.components.forwarding.models import Repeatability
from banyanswitch.components.http1.models import Headers
from tests.components.forwarding.fakes import (
    ATTEMPT,
    LAST_EVENT,
    RESUMES,
    RETRY_AFTER,
    FakeReply,
    FakeUpstream,
    record,
)
from tests.components.forwarding.instance import Instance

pytestmark = pytest.mark.looptime
STREAM = Repeatability.RESUMABLE_STREAM
FIRST = b"id: 1\ndata: %b\n\n"
SECOND = b"id: 2\ndata: %b\n\n"


def resumption(attempt: bytes, resumes: bytes | None) -> Headers:
    headers = ((ATTEMPT, attempt), (LAST_EVENT.lower(), b"1"))
    return headers if resumes is None else (*headers, (RESUMES, resumes))


async def async_begin_and_break(instance: Instance, attempt: bytes = b"a1") -> None:
    """Let a caller get the first event of a stream from ``a``, and leave."""
    first = instance.add("a", 1, response_s=5.0)
    reply, handling = instance.send(STREAM, headers=((ATTEMPT, attempt),))
    await asyncio.sleep(0.5)
    handling.cancel()
    await asyncio.gather(handling, return_exceptions=True)
    assert reply.body == FIRST % b"a"
    first.response_s = 0.0


async def async_take_up(
    instance: Instance, attempt: bytes = b"a2", resumes: bytes | None = b"a1"
) -> FakeReply:
    reply, handling = instance.send(STREAM, headers=resumption(attempt, resumes))
    await handling
    return reply


def served(*upstreams: FakeUpstream) -> list[str]:
    return [upstream.name for upstream in upstreams if upstream.exchanges]


# Guards against one response that holds events of two software versions.
async def test_broken_stream_is_not_resumed_at_another_version() -> None:
    instance = Instance()
    instance.add("a", 1, response_s=1.0, breaks_off=True)
    reply, handling = instance.send(STREAM)
    await asyncio.sleep(0.5)
    other = instance.add("x", 1, software_version="v2")
    await handling
    assert reply.is_aborted
    assert reply.body == FIRST % b"a"
    assert served(other) == []


# Guards against the loss of a taken-up stream that breaks before its first whole event.
async def test_stream_that_was_taken_up_is_resumed_from_the_callers_last_event() -> (
    None
):
    instance = Instance()
    await async_begin_and_break(instance)
    broken = instance.add("b", 1, breaks_off=True)
    instance.upstreams.remove("a")
    reply, handling = instance.send(STREAM, headers=resumption(b"a2", b"a1"))
    await asyncio.sleep(0.0)
    instance.add("c", 1)
    await handling
    assert served(broken) == ["b"]
    assert reply.body == SECOND % b"c"
    assert not reply.is_aborted


# Guards against the loss of a stream that an upstream of its version can continue.
async def test_broken_stream_is_resumed_at_its_own_version() -> None:
    instance = Instance()
    instance.add("a", 1, response_s=1.0, breaks_off=True)
    reply, handling = instance.send(STREAM)
    await asyncio.sleep(0.5)
    others = [instance.add(name, 1, software_version="v2") for name in "xyz"]
    instance.add("b", 1)
    await handling
    assert reply.body == FIRST % b"a" + SECOND % b"b"
    assert served(*others) == []


# Guards against a stream that its caller takes up at another software version.
async def test_stream_that_its_caller_takes_up_stays_at_its_version() -> None:
    instance = Instance()
    await async_begin_and_break(instance)
    others = [instance.add(name, 1, software_version="v2") for name in "wxyz"]
    replies = [await async_take_up(instance, b"a%d" % number) for number in range(2, 9)]
    assert [reply.body for reply in replies] == [SECOND % b"a"] * 7
    assert served(*others) == []


# Guards against pinning a stream to the version of its last attempt, not of its first.
async def test_caller_names_the_first_attempt_after_several_breaks() -> None:
    instance = Instance()
    await async_begin_and_break(instance)
    other = instance.add("x", 1, software_version="v2")
    await async_take_up(instance, b"a2", b"a1")
    reply = await async_take_up(instance, b"a3", b"a1")
    assert reply.body == SECOND % b"a"
    assert served(other) == []


# Guards against mixing versions, and against holding what can't be served.
async def test_stream_whose_version_is_gone_is_refused_at_once() -> None:
    instance = Instance()
    await async_begin_and_break(instance)
    other = instance.add("x", 1, software_version="v2")
    instance.upstreams.remove("a")
    sent_at_s = asyncio.get_running_loop().time()
    reply = await async_take_up(instance)
    assert reply.status == 503
    assert float(reply.headers[RETRY_AFTER]) > 0.0
    assert reply.ended_at_s == sent_at_s
    assert served(other) == []


# Guards against a guess of the version while several are served.
@pytest.mark.parametrize("resumes", [b"unknown", None])
async def test_stream_of_an_unknown_version_is_refused_beside_several(
    resumes: bytes | None,
) -> None:
    instance = Instance()
    upstreams = [instance.add("a", 1), instance.add("x", 1, software_version="v2")]
    await asyncio.sleep(60.0)
    reply = await async_take_up(instance, resumes=resumes)
    assert reply.status == 503
    assert served(*upstreams) == []


# Guards against a guess after the last upstream of the version has just left.
async def test_version_that_has_just_left_still_counts() -> None:
    instance = Instance()
    instance.add("a", 1)
    other = instance.add("x", 1, software_version="v2")
    await asyncio.sleep(60.0)
    instance.upstreams.remove("a")
    await asyncio.sleep(5.0)
    reply = await async_take_up(instance, resumes=b"unknown")
    assert reply.status == 503
    assert served(other) == []


# Guards against the loss of streams whose version is certain, though no one noted it.
@pytest.mark.parametrize("resumes", [b"unknown", None])
async def test_stream_of_an_unknown_version_goes_on_at_the_only_one(
    resumes: bytes | None,
) -> None:
    instance = Instance()
    instance.add("a", 1)
    await asyncio.sleep(60.0)
    reply = await async_take_up(instance, resumes=resumes)
    assert reply.body == SECOND % b"a"


# Guards against a guess by an instance that is cut off from all others and the store.
async def test_isolated_instance_does_not_guess() -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    await asyncio.sleep(60.0)
    instance.is_connected = False
    reply = await async_take_up(instance, resumes=b"unknown")
    assert reply.status == 503
    assert served(upstream) == []


# Guards against a stream of two versions at an instance that lags behind the store.
@pytest.mark.parametrize("resumes", [b"unknown", None])
async def test_version_that_has_not_been_read_yet_counts(resumes: bytes | None) -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    await asyncio.sleep(60.0)
    instance.confirmation.missing.append(record("x", software_version="v2"))
    reply = await async_take_up(instance, resumes=resumes)
    assert reply.status == 503
    assert served(upstream) == []


# Guards against a guess of an instance that can't ask the store for newer entries.
async def test_stream_of_an_unknown_version_is_refused_without_the_store() -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    await asyncio.sleep(60.0)
    instance.confirmation.is_reached = False
    reply = await async_take_up(instance, resumes=None)
    assert reply.status == 503
    assert float(reply.headers[RETRY_AFTER]) > 0.0
    assert served(upstream) == []


# Guards against the loss of streams with a known origin while the store is down, and
# against reads of the store for them.
async def test_stream_of_a_noted_version_goes_on_without_the_store() -> None:
    instance = Instance()
    await async_begin_and_break(instance)
    instance.confirmation.is_reached = False
    reply = await async_take_up(instance)
    assert reply.body == SECOND % b"a"
    assert instance.confirmation.calls == 0


# Guards against the loss of all streams when all instances have just started.
@pytest.mark.parametrize("resumes", [b"unknown", None])
async def test_instance_that_has_just_started_trusts_the_stored_versions(
    resumes: bytes | None,
) -> None:
    instance = Instance()
    instance.add("a", 1)
    instance.stored_versions.stored = frozenset({"v1"})
    reply = await async_take_up(instance, resumes=resumes)
    assert reply.body == SECOND % b"a"


# Guards against a guess after a version has left and all instances have started again.
@pytest.mark.parametrize("stored", [None, frozenset({"v1", "v2"}), frozenset({"v2"})])
async def test_instance_that_has_just_started_knows_what_left_before(
    stored: frozenset[str] | None,
) -> None:
    instance = Instance()
    upstream = instance.add("a", 1)
    instance.stored_versions.stored = stored
    reply = await async_take_up(instance, resumes=b"unknown")
    assert reply.status == 503
    assert served(upstream) == []


# Guards against a change of streams that may not be resumed, whatever they bring.
async def test_stream_that_may_not_be_resumed_is_passed_on_unchanged() -> None:
    instance = Instance()
    instance.add("a", 1)
    instance.add("x", 1, software_version="v2")
    headers = resumption(b"a2", None)
    reply, handling = instance.send(Repeatability.ONCE, headers=headers)
    await handling
    assert reply.status == 200
    assert reply.body.startswith(b"id: 2")


# Guards against pinning requests that have no events yet.
async def test_new_streams_use_all_versions() -> None:
    instance = Instance()
    upstreams = [
        instance.add("a", 1, response_s=1.0),
        instance.add("x", 1, response_s=1.0, software_version="v2"),
    ]
    sent = [
        instance.send(STREAM, headers=((ATTEMPT, b"n%d" % number),))
        for number in range(6)
    ]
    await asyncio.gather(*(handling for _, handling in sent))
    assert served(*upstreams) == ["a", "x"]
