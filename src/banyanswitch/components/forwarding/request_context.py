"""State of one request while it is handled."""

from dataclasses import dataclass, field

from banyanswitch.components.forwarding.models import (
    ForwardedService,
    ForwardedWorkspace,
    RequestMetadata,
    Route,
)
from banyanswitch.components.forwarding.request_content import RequestContent
from banyanswitch.components.forwarding.response_relay import ResponseProgress
from banyanswitch.components.http1.models import Request
from banyanswitch.components.http1.reply import Reply
from banyanswitch.decisions.part_quarantine import Combination
from banyanswitch.decisions.stream_resumption import StreamOrigin
from banyanswitch.identifiers import UpstreamId


@dataclass(slots=True, kw_only=True)
class RequestContext:
    """State of one request while it is handled.

    Parameters
    ----------
    tried_parts : Combination or None
        Withheld parts that this request may try at one upstream.
    earlier_attempts : int or None
        Attempts at the instance that passed the request on; ``None`` if a caller sent
        it here.
    is_counted : bool
        Whether the request has been counted for the retry budget.
    is_overloaded : bool
        Whether no upstream had room for the request within its wait.
    """

    request: Request
    metadata: RequestMetadata
    content: RequestContent
    reply: Reply
    route: Route
    workspace: ForwardedWorkspace | None
    service: ForwardedService
    ends_at_s: float
    progress: ResponseProgress
    excluded: set[UpstreamId] = field(default_factory=set)
    sent: int = 0
    unsent: int = 0
    may_have_run: bool = False
    last_upstream: str = ""
    origin: StreamOrigin | None = None
    tried_parts: Combination | None = None
    earlier_attempts: int | None = None
    is_counted: bool = False
    is_overloaded: bool = False

    @property
    def has_attempts(self) -> bool:
        """Whether this instance has sent the request to an upstream."""
        return self.sent > (self.earlier_attempts or 0)
