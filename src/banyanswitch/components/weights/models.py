"""Orders to load weights and what became of them."""

from dataclasses import dataclass
from enum import Enum

from banyanswitch.identifiers import ServiceName, UpstreamId, WeightVersion


class OrderResult(Enum):
    """What is known after an order was sent."""

    ACCEPTED = "accepted"
    STALE_FENCING_TOKEN = "stale_fencing_token"
    EXPIRED = "expired"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    OUTCOME_UNKNOWN = "outcome_unknown"


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to serve one weight version, in absolute form.

    Parameters
    ----------
    fencing_token : int
        Token of the lease under which the order is given.
    expires_at_unix_s : float
        Time from which the upstream must refuse the order.
    """

    upstream: UpstreamId
    version: WeightVersion
    fencing_token: int
    expires_at_unix_s: float


@dataclass(frozen=True, slots=True)
class OrderIssued:
    """Bus message: an order was sent to an upstream."""

    service: ServiceName
    order: LoadOrder
    result: OrderResult
