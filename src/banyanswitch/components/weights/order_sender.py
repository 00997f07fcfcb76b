"""Transmission of load orders to upstreams."""

from typing import Final, Protocol

import aiohttp
import msgspec

from banyanswitch.components.weights.models import LoadOrder, OrderResult
from banyanswitch.const import HEADER_CALLER
from banyanswitch.identifiers import InstanceId

ORDERS_PATH: Final = "/engine/orders"
KIND_LOAD_WEIGHTS: Final = "load_weights"

FIRST_SERVER_ERROR_STATUS: Final = 500
RESULT_OF_STATUS: Final = {
    200: OrderResult.ACCEPTED,
    202: OrderResult.ACCEPTED,
    409: OrderResult.STALE_FENCING_TOKEN,
    410: OrderResult.EXPIRED,
}


class OrderSender(Protocol):
    """Sends load orders to upstreams."""

    async def async_send(
        self, url: str, order: LoadOrder, timeout_s: float
    ) -> OrderResult:
        """Send an order at most once and return its result as far as it is known."""


class OrderBody(msgspec.Struct, frozen=True, kw_only=True):
    """Request body of a load order."""

    kind: str
    version: str
    fencing_token: int
    expires_at_unix_s: float


class HttpOrderSender:
    """Implements ``OrderSender`` over HTTP.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the component; the caller closes it.
    caller : InstanceId
        Name of this instance.
    """

    def __init__(self, session: aiohttp.ClientSession, caller: InstanceId) -> None:
        self._session = session
        self._headers = {HEADER_CALLER: caller}

    async def async_send(
        self, url: str, order: LoadOrder, timeout_s: float
    ) -> OrderResult:
        """Send an order at most once and return its result as far as it is known."""
        body = OrderBody(
            kind=KIND_LOAD_WEIGHTS,
            version=order.version,
            fencing_token=order.fencing_token,
            expires_at_unix_s=order.expires_at_unix_s,
        )
        try:
            async with self._session.post(
                url.rstrip("/") + ORDERS_PATH,
                data=msgspec.json.encode(body),
                headers=self._headers,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return _result_of_status(response.status)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return OrderResult.NOT_SENT
        except (aiohttp.ClientError, TimeoutError):
            return OrderResult.OUTCOME_UNKNOWN


def _result_of_status(status: int) -> OrderResult:
    if status >= FIRST_SERVER_ERROR_STATUS:
        return OrderResult.OUTCOME_UNKNOWN
    return RESULT_OF_STATUS.get(status, OrderResult.REFUSED)
