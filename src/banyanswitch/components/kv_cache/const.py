"""Constants of the KV cache component."""

from typing import Final

DOMAIN: Final = "kv_cache"
