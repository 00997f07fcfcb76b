"""Validated calls that the gateway passes to routing."""

from dataclasses import dataclass, field
from typing import Protocol

from banyanswitch.config.models import Priority, Service, Workspace
from banyanswitch.helpers.run_identity import StreamPosition


class AdmissionTicket(Protocol):
    """Ticket of an admitted call, with which it can be queued again."""

    @property
    def has_waited(self) -> bool:
        """Whether the call has waited in the queue."""

    async def async_requeue(self) -> None:
        """Queue the call again while all upstreams are full, until it is admitted.

        Raises
        ------
        RefusalError
            If the call can no longer start in time.
        """


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A validated request for a model service.

    Parameters
    ----------
    path : str
        Path on the upstream, for example ``/v1/chat/completions``.
    body : bytes
        Unchanged body of the caller's request.
    prompt : bytes
        Bytes of the prompt or messages, from which the piece hashes are computed.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    latest_start_s : float
        Loop time after which the admission queue refuses the request, in seconds.
    """

    workspace: Workspace
    service: Service
    path: str
    body: bytes = field(repr=False)
    prompt: bytes = field(repr=False)
    prompt_tokens: int
    max_tokens: int
    is_stream: bool
    priority: Priority
    latest_start_s: float
    ticket: AdmissionTicket | None = None


@dataclass(frozen=True, slots=True)
class ResumeCall:
    """A request to resume a stream after the last event that the caller received."""

    workspace: Workspace
    position: StreamPosition


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A validated request for a plain service."""

    workspace: Workspace
    service: Service
    method: str
    path: str
    content_type: str
    body: bytes = field(repr=False)
    idempotency_key: str | None
    priority: Priority
    latest_start_s: float
    ticket: AdmissionTicket | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether the HTTP method allows the call to be sent more than once."""
        return self.method in {"GET", "HEAD"}
