"""Settings of a process that forwards on a platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardingSettings:
    """Checked settings.

    Parameters
    ----------
    caller_address, readiness_address, directory_address : str
        Host and port to listen on.
    peer_port : int
        Port for other instances, the same on all of them.
    peer_seeds : tuple of str
        Hosts and ports of instances to ask first.
    store_address : str
        Host and port of the platform's store.
    entry_interval_s : float
        Time between two entries of an upstream in the store, in seconds.
    drain_s : float
        Time for which a leaving upstream still serves, in seconds.
    grace_s : float
        Time from the order to stop until the process is killed, in seconds.
    retry_ratio, retry_window_s, retry_slack : float
        Arrivals beyond the first that all instances may cause at one service in a
        window: the ratio of its requests, and the slack.
    lease_s : float
        Time for which orders of one holder exclude those of others, in seconds.
    weights_deadline_s : float
        Time after which no request may begin on older weights, in seconds.
    address_ttl_s : float
        Longest time that callers keep an address, in seconds.
    """

    instance: str
    failure_domain: str
    host: str
    caller_address: str
    readiness_address: str
    directory_address: str
    peer_port: int
    peer_seeds: tuple[str, ...]
    store_address: str
    entry_interval_s: float
    memory_bytes: int
    max_descriptors: int
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    lease_s: float
    weights_deadline_s: float
    address_ttl_s: float


def host_and_port(address: str) -> tuple[str, int]:
    """Return the two parts of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
