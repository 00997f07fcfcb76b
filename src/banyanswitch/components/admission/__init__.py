"""Admission of requests."""

from banyanswitch.components.addresses.const import ENTRIES_PER_WORKSPACE
from banyanswitch.components.admission.const import DOMAIN, OVERCOMMIT
from banyanswitch.components.admission.gate import AdmissionGate
from banyanswitch.config.models import Service
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import ConfigurationView, PeerDirectory


async def async_setup(kernel: Kernel) -> None:
    """Provide the `AdmissionGate`."""
    directory = kernel.require(PeerDirectory)
    configuration = kernel.require(ConfigurationView)

    def serving_entries() -> int:
        return min(ENTRIES_PER_WORKSPACE, len(directory.peers()))

    def capacity(service: Service) -> int:
        slots = sum(item.slots for item in configuration.upstreams(service.name))
        return int(slots * OVERCOMMIT)

    kernel.provide(AdmissionGate, AdmissionGate(kernel, serving_entries, capacity))


REGISTRY.register(DOMAIN, async_setup, depends_on=("configuration", "membership"))
