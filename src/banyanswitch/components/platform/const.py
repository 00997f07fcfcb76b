"""Constants of the platform clients."""

from typing import Final

DOMAIN: Final = "platform"

HEADER_CALLER: Final = "X-Banyan-Caller"

ROUTE_TABLE_GET: Final = "/table/get"
ROUTE_TABLE_QUERY: Final = "/table/query"
ROUTE_TABLE_TRANSACT: Final = "/table/transact"
ROUTE_OBJECTS: Final = "/objects"

MAX_WRITES_PER_TRANSACTION: Final = 100
MAX_ITEM_BYTES: Final = 256 * 1024

MAX_CONNECTIONS: Final = 32
"""Connections kept to one service of the platform."""

CONNECT_SHARE: Final = 0.5
"""Share of a call's deadline that may pass before the connection stands."""

DEFAULT_RETRY_AFTER_S: Final = 1.0
"""Time to come back when the service does not name one."""

CLAIM_RESERVE_SHARE: Final = 0.4
"""Share of the burst that claims leave to leases and configuration."""

CONFIGURATION_RESERVE_SHARE: Final = 0.2
"""Share of the burst that configuration leaves to leases."""

BURST_S: Final = 2.0
"""Time for which unused writes are saved up, in seconds."""
