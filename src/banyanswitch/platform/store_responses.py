"""Statuses and bodies of the responses of the platform's store."""

from typing import Final, TypeVar

import msgspec

from banyanswitch.components.http1.client import HttpResponse
from banyanswitch.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.helpers.decoding import DECODING_ERRORS

STATUS_OK: Final = 200
STATUS_GONE: Final = 410
STATUS_CONDITION_FAILED: Final = 412
STATUS_TOO_MANY: Final = 429
STATUS_UNAVAILABLE: Final = 503
ResponseT = TypeVar("ResponseT")


def raise_for_status(response: HttpResponse) -> None:
    """Raise an error for a response without a result.

    Raises
    ------
    PlatformUnavailableError
        If the store has not performed the call.
    PlatformOutcomeUnknownError
        If the status doesn't tell whether it has.
    """
    if response.status == STATUS_OK:
        return
    reason = f"the store answered with status {response.status}"
    if response.status in (STATUS_TOO_MANY, STATUS_UNAVAILABLE):
        raise PlatformUnavailableError(reason)
    raise PlatformOutcomeUnknownError(reason)


def decode(
    response: HttpResponse,
    response_type: type[ResponseT],
    error_type: type[PlatformUnavailableError] | type[PlatformOutcomeUnknownError],
) -> ResponseT:
    """Return the document in a response, or raise an error of the given type."""
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except DECODING_ERRORS as error:
        raise error_type(f"response of the store can't be decoded: {error}") from error
