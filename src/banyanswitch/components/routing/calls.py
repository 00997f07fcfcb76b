"""Checked calls, as the gateway hands them to routing."""

from dataclasses import dataclass, field
from typing import Protocol

from banyanswitch.config.models import Priority, Service, Workspace
from banyanswitch.helpers.run_identity import StreamPosition


class AdmissionTicket(Protocol):
    """Place of an admitted call in admission."""

    @property
    def has_waited(self) -> bool:
        """Whether the call has waited in the queue."""

    async def async_wait_again(self) -> None:
        """Go back to the queue because all upstreams are full.

        Raises
        ------
        RefusalError
            If the call can't start in time any more.
        """


@dataclass(frozen=True, slots=True)
class ModelCall:
    """A checked request for a model service.

    Parameters
    ----------
    path : str
        Path on the upstream, for example ``/v1/chat/completions``.
    body : bytes
        Body as the caller sent it.
    prompt : bytes
        Canonical bytes of the prompt, from which pieces are hashed.
    prompt_tokens : int
        Estimated length of the prompt.
    latest_start_s : float
        Loop time after which the request is not sent to an upstream any more.
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
    """A request to go on with a stream after the event that the caller has."""

    workspace: Workspace
    position: StreamPosition


@dataclass(frozen=True, slots=True)
class PlainCall:
    """A checked request for a plain service."""

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
        """Whether the method allows the call to be sent again."""
        return self.method in {"GET", "HEAD"}
