"""Client of the platform's model servers and KV cache stores."""

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, TypeVar

import msgspec
import structlog

from banyanswitch.components.forwarding.protocols import (
    EngineReport,
    LoadOrder,
    PartEvent,
    PartEvents,
)
from banyanswitch.components.http1.client import HttpClient, HttpResponse
from banyanswitch.decisions.response_ownership import Ownership
from banyanswitch.decisions.store_events import EventsView, events_ownership
from banyanswitch.decisions.upstream_notices import ResponseNotice
from banyanswitch.exceptions import (
    FencedError,
    IdentityMismatchError,
    UpstreamBrokenError,
)
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.platform.const import (
    HEADER_EXPECTED_UPSTREAM,
    MILLISECONDS_PER_S,
    PATH_ORDER,
    PATH_PART_EVENTS,
    PATH_PART_FREE,
    PATH_PART_LIST,
    PATH_REPORT,
)
from banyanswitch.platform.headers import HeaderTranslator

LOGGER = structlog.get_logger(__name__)
STATUS_OK = 200
STATUS_ACCEPTED = 202
STATUS_FENCED = 412
CALL_TIMEOUT_S = 0.8
"""Timeout of a call that does not wait for events; the longest network path takes 20 ms
one way."""
EVENTS_TIMEOUT_MARGIN_S = 0.8
"""Time beyond the requested wait after which an event request times out."""
LOAD_OPERATION = "version"
SWITCH_MODE_WAIT = "wait"
EVENT_STORED = "+"
ResponseT = TypeVar("ResponseT")


class _Model(msgspec.Struct, frozen=True):
    name: str
    version: int


class _Report(msgspec.Struct, frozen=True):
    # Number of accepted orders; in an upstream's table row (`_UpstreamEntry` of
    # documents.py) the field of this name is the sequence number of the entry.
    sequence: int
    busy: bool = False
    models: list[_Model] = []


class _Events(msgspec.Struct, frozen=True):
    bootEpoch: int  # noqa: N815
    next: int
    lost: bool = False
    events: list[tuple[int, str, str, str, int, str]] = []
    clock_ms: float | None = None


class _PartList(msgspec.Struct, frozen=True):
    bootEpoch: int  # noqa: N815
    next: int
    held: list[tuple[str, str, int, str]] = []
    clock_ms: float | None = None


class PlatformEngines:
    """Implementation of ``EngineClient`` and ``PartStoreClient``.

    Orders, lists and calls that free parts use connections of their own, since the
    content of their responses doesn't show which call they belong to.

    Parameters
    ----------
    client : HttpClient
        Client that sends the calls.

    Attributes
    ----------
    on_notice : callable
        Called with the address of a model server and what its response says of it.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._translator = HeaderTranslator()
        self.on_notice: Callable[[str, ResponseNotice], None] = lambda *_: None

    async def async_report(self, address: str) -> EngineReport:
        """Return the state of a model server."""
        response = await self._client.async_call(
            "GET", address, PATH_REPORT, timeout_s=CALL_TIMEOUT_S
        )
        self._note(address, response)
        report = _decode(response, _Report)
        return EngineReport(
            orders_accepted=report.sequence,
            is_busy=report.busy,
            weight_versions={model.name: model.version for model in report.models},
        )

    async def async_order_load(self, address: str, order: LoadOrder) -> bool:
        """Order a load; return whether it was accepted or is already in effect.

        Raises
        ------
        FencedError
            If a higher fencing token has been used.
        UpstreamNotSentError
            If the order was not sent, for example as no connection was made in time.
        UpstreamBrokenError
            If it is unknown whether the order was accepted.
        """
        document: dict[str, Any] = {
            "operation": LOAD_OPERATION,
            "model": order.model,
            "version": order.version,
            "switchMode": SWITCH_MODE_WAIT,
            "holder": order.holder,
            "fencingToken": order.fencing_token,
            "expectedRevision": order.orders_accepted,
        }
        response = await self._client.async_call(
            "POST",
            address,
            PATH_ORDER,
            timeout_s=CALL_TIMEOUT_S,
            body=msgspec.json.encode(document),
            headers=[(HEADER_EXPECTED_UPSTREAM, order.upstream.encode())],
            send_by_s=order.send_by_s,
            uses_own_connection=True,
        )
        self._note(address, response)
        if response.status == STATUS_FENCED:
            raise FencedError(
                f"{order.upstream} refused the order: its fencing token is outdated"
            )
        return response.status in (STATUS_OK, STATUS_ACCEPTED)

    def _note(self, address: str, response: HttpResponse) -> None:
        notice = self._translator.read_notice(response.status, response.headers)
        self.on_notice(address, notice)

    async def async_events(
        self, address: str, epoch: int, since: int, wait_s: float
    ) -> PartEvents:
        """Return the events after the sequence number ``since`` of an epoch.

        Waits at most ``wait_s`` seconds for the first one. A response that belongs to
        an earlier call is dropped, and the call repeated once.
        """
        wait_ms = int(wait_s * MILLISECONDS_PER_S)
        async_call = partial(
            self._client.async_call,
            "GET",
            address,
            f"{PATH_PART_EVENTS}?since={since}",
            timeout_s=wait_s + EVENTS_TIMEOUT_MARGIN_S,
            headers=[(b"Wait-Ms", b"%d" % wait_ms)],
        )
        try:
            response = await async_call(is_own=partial(_is_own_events, epoch, since))
        except IdentityMismatchError as error:
            LOGGER.info("foreign_events_dropped", store=address, reason=str(error))
            response = await async_call(uses_own_connection=True)
        document = _decode(response, _Events)
        return PartEvents(
            epoch=document.bootEpoch,
            next_event=document.next,
            has_gap=document.lost,
            events=tuple(
                PartEvent(sign == EVENT_STORED, salt, part, tokens)
                for _, sign, salt, part, tokens, _ in document.events
            ),
            clock_ms=_truncate(document.clock_ms),
        )

    async def async_list(self, address: str) -> PartEvents:
        """Return all complete parts, each as an event that reports it as stored."""
        response = await self._client.async_call(
            "GET",
            address,
            PATH_PART_LIST,
            timeout_s=CALL_TIMEOUT_S,
            uses_own_connection=True,
        )
        document = _decode(response, _PartList)
        return PartEvents(
            epoch=document.bootEpoch,
            next_event=document.next,
            has_gap=False,
            events=tuple(
                PartEvent(True, salt, part, tokens)
                for salt, part, tokens, _ in document.held
            ),
            clock_ms=_truncate(document.clock_ms),
        )

    async def async_free(
        self,
        address: str,
        epoch: int,
        parts: Sequence[tuple[str, str]],
        send_by_s: Callable[[], float],
    ) -> bool:
        """Free parts, given as salt and name; return whether the store accepted.

        Raises
        ------
        UpstreamNotSentError
            If the call was not sent, for example as no connection was made in time.
        UpstreamBrokenError
            If it is unknown whether the store accepted.
        """
        response = await self._client.async_call(
            "POST",
            address,
            PATH_PART_FREE,
            timeout_s=CALL_TIMEOUT_S,
            body=msgspec.json.encode({"parts": list(parts), "bootEpoch": epoch}),
            send_by_s=send_by_s,
            uses_own_connection=True,
        )
        return response.status in (STATUS_OK, STATUS_ACCEPTED)


def _is_own_events(epoch: int, since: int, response: HttpResponse) -> bool:
    if response.status != STATUS_OK:
        return True
    document = _decode(response, _Events)
    view = EventsView(
        epoch=document.bootEpoch,
        next_event=document.next,
        first_event=min((number for number, *_ in document.events), default=None),
    )
    return events_ownership(epoch, since, view) is Ownership.OWN


def _decode(response: HttpResponse, response_type: type[ResponseT]) -> ResponseT:
    if response.status != STATUS_OK:
        raise UpstreamBrokenError(
            f"model server or KV store answered with status {response.status}"
        )
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except DECODING_ERRORS as error:
        raise UpstreamBrokenError(
            f"response of a model server or KV store can't be decoded: {error}"
        ) from error


def _truncate(value: float | None) -> int | None:
    return None if value is None else int(value)
