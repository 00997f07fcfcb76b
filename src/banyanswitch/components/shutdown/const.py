"""Constants of the planned stop."""

from typing import Final

DOMAIN: Final = "shutdown"
