"""Load orders and their results."""

from dataclasses import dataclass
from enum import Enum

from banyanswitch.identifiers import ServiceName, UpstreamId, WeightVersion


class OrderResult(Enum):
    """Result of an order, as far as its sender knows it."""

    ACCEPTED = "accepted"
    STALE_FENCING_TOKEN = "stale_fencing_token"
    EXPIRED = "expired"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to serve a weight version.

    It names the version itself, so carrying it out twice has no further effect.

    Parameters
    ----------
    fencing_token : int
        Token of the lease under which the order is sent.
    expires_at_unix_s : float
        Unix time after which the upstream must refuse the order, in seconds.
    """

    upstream: UpstreamId
    version: WeightVersion
    fencing_token: int
    expires_at_unix_s: float


@dataclass(frozen=True, slots=True)
class OrderIssued:
    """Bus message: an order was sent to an upstream, or sending it was attempted."""

    service: ServiceName
    order: LoadOrder
    result: OrderResult
