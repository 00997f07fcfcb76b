"""Transfer of a store's whole part list between instances."""

import asyncio
import random
from http import HTTPStatus

import msgspec
import structlog

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.components.kv_tier.const import (
    SNAPSHOT_INTERVAL_S,
    SNAPSHOT_TIMEOUT_S,
)
from banyanswitch.components.kv_tier.coordinator import PartTier
from banyanswitch.components.kv_tier.models import Missed, RelayedEvents, StoreList
from banyanswitch.components.peers.internal_read import async_read_peer
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import StoreId
from banyanswitch.interfaces import PeerDirectory

LOGGER = structlog.get_logger(__name__)
LIST_PATH = "/stores/"


class ListRelay:
    """Apply events from the readers of stores, and request lists after missed events.

    Parameters
    ----------
    tier : PartTier
        Follows the stores.
    client : HttpClient
        Makes the calls.
    peers : PeerDirectory
        Instances that serve lists; a single one could not send its list to all
        others at once.
    generator : random.Random
        Chooses among these instances.
    """

    def __init__(
        self,
        tier: PartTier,
        client: HttpClient,
        peers: PeerDirectory,
        generator: random.Random,
    ) -> None:
        self._tier = tier
        self._client = client
        self._peers = peers
        self._random = generator
        self._requested_at_s: dict[StoreId, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @callback
    def apply(
        self, peer_address: str, events_by_store: dict[str, RelayedEvents]
    ) -> None:
        """Apply events that the instance at ``peer_address`` relayed, by store."""
        for name, relayed in events_by_store.items():
            store = StoreId(name)
            missed = self._tier.apply_relayed(store, relayed)
            if missed is Missed.RESTART:
                self._request_list(store, peer_address)
            elif missed is Missed.EVENTS:
                self._request_list(store, self._random_peer_address() or peer_address)

    async def async_answer(self, request: Request, reply: Reply) -> None:
        """Answer another instance's request with a store's whole list."""
        name = request.path.decode("latin-1").removeprefix(LIST_PATH)
        part_list = self._tier.part_list(StoreId(name))
        if part_list is None:
            reply.send(HTTPStatus.NOT_FOUND, (), b"")
            return
        reply.send(HTTPStatus.OK, (), msgspec.msgpack.encode(part_list))

    def _random_peer_address(self) -> str | None:
        this = self._peers.this_instance().instance
        others = [p.peer_address for p in self._peers.peers() if p.instance != this]
        return self._random.choice(others) if others else None

    def _request_list(self, store: StoreId, peer_address: str) -> None:
        loop = asyncio.get_running_loop()
        requested_at_s = self._requested_at_s.get(store, float("-inf"))
        if loop.time() - requested_at_s < SNAPSHOT_INTERVAL_S:
            return
        self._requested_at_s[store] = loop.time()
        task = loop.create_task(self._async_request_list(store, peer_address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_request_list(self, store: StoreId, peer_address: str) -> None:
        try:
            part_list = await async_read_peer(
                self._client,
                peer_address,
                LIST_PATH + store,
                timeout_s=SNAPSHOT_TIMEOUT_S,
                answer_type=StoreList,
            )
        except PeerError as error:
            LOGGER.info(
                "relay_failed", store=store, peer=peer_address, reason=str(error)
            )
            return
        self._tier.apply_list(store, part_list)
