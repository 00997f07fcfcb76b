"""Contents of stores that answer an event call twice, the second time late."""

import asyncio
import json
import re

import pytest

from banyanswitch.components.forwarding.models import KvStoreNode
from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.kv_tier.store_follower import StoreFollower
from banyanswitch.components.peers.reader_assignment import ReaderAssignment
from banyanswitch.identifiers import FailureDomainId, StoreId
from banyanswitch.platform.engines import PlatformEngines
from tests.components.lease.conftest import FixedPeers, make_peer
from tests.fakes.http1 import encode_response
from tests.fakes.stuttering import (
    Cut,
    StutteringPool,
    in_one_read,
    own_in_a_later_read,
)

pytestmark = pytest.mark.looptime
NODE = KvStoreNode(
    name=StoreId("s"),
    address="s:1",
    failure_domain=FailureDomainId("z"),
    capacity_tokens=100_000,
    bandwidth_mbps=45_000.0,
    first_byte_s=0.0005,
    max_event_readers=12,
    is_managed=True,
)


class ScriptedStore:
    """Store to which one event is added with each of the first event calls."""

    def __init__(self, signs: str) -> None:
        self._signs = signs
        self._events: list[list[object]] = []

    def respond(self, request: bytes) -> bytes:
        """Return the answer to a list or event call."""
        document: dict[str, object] = {"bootEpoch": 7, "next": 0, "held": []}
        if since := re.search(rb"since=(\d+)", request):
            if len(self._events) < len(self._signs):
                sign = self._signs[len(self._events)]
                tokens = 16 if sign == "+" else 0
                number = len(self._events) + 1
                self._events.append([number, sign, "salt", "part", tokens, "m"])
            document = {
                "bootEpoch": 7,
                "next": len(self._events),
                "lost": False,
                "events": self._events[int(since[1]) :],
            }
        return encode_response(200, json.dumps(document).encode())


async def async_follow(signs: str, cut: Cut, calls_late: int) -> StoreFollower:
    """Return a follower some time after the last event."""
    pool = StutteringPool(ScriptedStore(signs).respond, cut, calls_late)
    follower = StoreFollower(
        NODE,
        PlatformEngines(HttpClient(pool)),
        ReaderAssignment(FixedPeers(make_peer("a"), [])),
        on_stored=lambda _key: None,
        on_clock=lambda _clock_ms: None,
    )
    task = asyncio.create_task(follower.async_run())
    await asyncio.sleep(2.0)
    task.cancel()
    return follower


# Guards against removed parts that come back with the second answer to an earlier call,
# and against changes that are never learnt since their events went to another call.
@pytest.mark.parametrize("calls_late", [1, 2, 3])
@pytest.mark.parametrize("cut", [in_one_read, own_in_a_later_read])
@pytest.mark.parametrize("signs", ["+-", "+-+", "+-+-"])
async def test_contents_are_not_those_of_a_second_answer(
    signs: str, cut: Cut, calls_late: int
) -> None:
    follower = await async_follow(signs, cut, calls_late)
    assert follower.is_usable
    assert follower.used_tokens == sum(follower.parts.values())
    assert bool(follower.parts) == signs.endswith("+")
