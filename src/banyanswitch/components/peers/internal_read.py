"""Reading of what another instance serves on its internal address."""

from http import HTTPStatus
from typing import TypeVar

import msgspec

from banyanswitch.components.http1.client import HttpClient
from banyanswitch.exceptions import PeerError, PeerResourceGoneError, UpstreamError

T = TypeVar("T")


async def async_read_peer(
    client: HttpClient,
    address: str,
    target: str,
    *,
    timeout_s: float,
    answer_type: type[T],
) -> T:
    """Return an instance's answer.

    Raises
    ------
    PeerResourceGoneError
        If the instance no longer has what was asked for.
    PeerError
        If it gave no usable answer in time.
    """
    try:
        answer = await client.async_call("GET", address, target, timeout_s=timeout_s)
    except UpstreamError as error:
        raise PeerError(str(error)) from error
    if answer.status == HTTPStatus.GONE:
        raise PeerResourceGoneError(f"{address} no longer has {target}")
    if answer.status != HTTPStatus.OK:
        raise PeerError(f"{address} answered {target} with status {answer.status}")
    try:
        return msgspec.msgpack.decode(answer.body, type=answer_type)
    except msgspec.MsgspecError as error:
        raise PeerError(f"{address} answered {target} unreadably: {error}") from error
