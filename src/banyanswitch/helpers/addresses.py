"""Network addresses of the form HOST:PORT."""

import ipaddress
from typing import Final

MAX_PORT: Final = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return host and port.

    uvloop takes a port above 65535 modulo 65536, so the range is checked here.

    Raises
    ------
    ValueError
        If the port is missing, no decimal number or out of range.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"address {address!r} has no port from 1 to {MAX_PORT}")
    return host, int(port)


def check_ip_address(address: str) -> None:
    """Check that an address consists of an IP address and a port.

    Raises
    ------
    ValueError
        If it doesn't.
    """
    host, _ = split_address(address)
    ipaddress.ip_address(host)
