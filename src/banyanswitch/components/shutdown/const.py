"""Constants of the graceful shutdown."""

from typing import Final

DOMAIN: Final = "shutdown"
