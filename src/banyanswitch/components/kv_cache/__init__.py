"""KV cache in stores: export, import and deletion of prefixes."""

from banyanswitch.components.kv_cache.const import DOMAIN
from banyanswitch.core import REGISTRY, Kernel

__all__ = ["DOMAIN", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Set up nothing yet: prompts are recomputed until transfers are in place."""


REGISTRY.register(DOMAIN, async_setup, depends_on=("routing",))
