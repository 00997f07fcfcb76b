"""Reads of resources that another instance serves on its internal address."""

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
    """Read a resource of another instance and decode it.

    Raises
    ------
    PeerResourceGoneError
        If the instance no longer has the resource.
    PeerError
        If the instance gave no valid answer within the timeout.
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
        raise PeerError(
            f"answer of {address} to {target} can't be decoded: {error}"
        ) from error
