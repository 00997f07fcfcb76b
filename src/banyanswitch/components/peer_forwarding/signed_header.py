"""Header of a request that an instance passes on."""

from dataclasses import dataclass

from banyanswitch.components.http1.models import Header, Request, header_value
from banyanswitch.components.peer_forwarding.const import (
    HEADER_PASSED_ON,
    SIGNATURE_PURPOSE,
)
from banyanswitch.helpers.signing import SigningKeys

SEPARATOR = b" "
FIELDS = 3


@dataclass(frozen=True, slots=True)
class PassedOn:
    """What the passing instance says of a request.

    Parameters
    ----------
    instance : str
        The passing instance.
    earlier_attempts : int
        Attempts of the request at upstreams so far.
    """

    instance: str
    earlier_attempts: int


def encode_header(passed_on: PassedOn, target: bytes, keys: SigningKeys) -> Header:
    """Return the header, signed for the target of the request."""
    content = SEPARATOR.join(
        (passed_on.instance.encode(), b"%d" % passed_on.earlier_attempts)
    )
    signature = keys.sign(SIGNATURE_PURPOSE, content + SEPARATOR + target)
    return HEADER_PASSED_ON, content + SEPARATOR + signature.hex().encode()


def decode_header(request: Request, keys: SigningKeys) -> PassedOn | None:
    """Return the content of the header; ``None`` without a valid one."""
    value = header_value(request.headers, HEADER_PASSED_ON.lower())
    fields = [] if value is None else value.strip().rsplit(SEPARATOR, FIELDS - 1)
    if len(fields) != FIELDS or not fields[1].isdigit():
        return None
    content = SEPARATOR.join((*fields[:2], request.target))
    try:
        signature = bytes.fromhex(fields[2].decode("latin-1"))
    except ValueError:
        return None
    if not keys.is_valid(SIGNATURE_PURPOSE, content, signature):
        return None
    return PassedOn(fields[0].decode("latin-1"), int(fields[1]))
