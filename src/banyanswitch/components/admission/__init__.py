"""Admission of requests."""

from banyanswitch.components.addresses.const import ENTRIES_PER_WORKSPACE
from banyanswitch.components.admission.const import (
    DEFAULT_CAPACITY,
    DOMAIN,
    REPORT_LAG_S,
)
from banyanswitch.components.admission.gate import AdmissionGate
from banyanswitch.config.models import Service
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.decisions.admission_models import AdmissionPolicy
from banyanswitch.interfaces import ConfigurationView, PeerDirectory


async def async_setup(kernel: Kernel) -> None:
    """Provide the `AdmissionGate`."""
    directory = kernel.require(PeerDirectory)
    configuration = kernel.require(ConfigurationView)

    def serving_entries() -> int:
        return min(ENTRIES_PER_WORKSPACE, len(directory.peers()))

    def policy(service: Service) -> AdmissionPolicy:
        upstreams = configuration.upstreams(service.name)
        slots = sum(upstream.slots for upstream in upstreams)
        instances_each = len(directory.peers()) / max(1, len(upstreams))
        return AdmissionPolicy(
            capacity=slots or DEFAULT_CAPACITY,
            batch_spacing_s=REPORT_LAG_S * instances_each,
        )

    kernel.provide(AdmissionGate, AdmissionGate(kernel, serving_entries, policy))


REGISTRY.register(DOMAIN, async_setup, depends_on=("configuration", "membership"))
