"""Metrics for statsd."""

from typing import cast

import statsd

from banyanswitch.components.metrics.const import DOMAIN, METRIC_PREFIX, Gauge
from banyanswitch.components.metrics.recorder import MetricRecorder, MetricSink
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import ConfigurationView, PeerDirectory
from banyanswitch.settings import EntrySettings


async def async_setup(kernel: Kernel) -> None:
    """Provide the `MetricRecorder` and start sending."""
    settings = cast(EntrySettings, kernel.settings)
    recorder = MetricRecorder(_sink(settings))
    configuration = kernel.require(ConfigurationView)
    directory = kernel.require(PeerDirectory)
    recorder.set_gauge(Gauge.CONFIGURATION_REVISION, lambda: configuration.revision)
    recorder.set_gauge(Gauge.LIVE_INSTANCES, lambda: len(directory.peers()))
    kernel.provide(MetricRecorder, recorder)
    kernel.create_task(recorder.async_run(), DOMAIN)


def _sink(settings: EntrySettings) -> MetricSink | None:
    if not settings.statsd_host:
        return None
    client = statsd.StatsClient(
        settings.statsd_host, settings.statsd_port, prefix=METRIC_PREFIX
    )
    return cast(MetricSink, client.pipeline())


REGISTRY.register(DOMAIN, async_setup, depends_on=("configuration", "membership"))
