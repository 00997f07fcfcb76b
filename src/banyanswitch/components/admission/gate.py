"""Gate that admits requests by the limits of their workspace and by priority."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from banyanswitch.components.admission.const import ADVANCE_S
from banyanswitch.config.models import Priority, Service, Workspace
from banyanswitch.core import Kernel, callback
from banyanswitch.decisions.admission import (
    AdmissionController,
    AdmissionPolicy,
    AdmissionRefusal,
    AdmissionRequest,
    Admitted,
    NotAdmitted,
    Queued,
)
from banyanswitch.exceptions import RefusalError
from banyanswitch.identifiers import RunId, ServiceName

TOO_MANY_REQUESTS_STATUS = 429
DETAILS = {
    AdmissionRefusal.RATE_LIMITED: "the workspace is over its rate of requests",
    AdmissionRefusal.TOO_MANY_CONCURRENT: "the workspace has too many requests open",
    AdmissionRefusal.OVERLOADED: "the request could not start in time",
}


@dataclass(frozen=True, slots=True)
class AdmissionCall:
    """A request that asks to be admitted.

    Parameters
    ----------
    latest_start_s : float
        Loop time after which a start is too late.
    """

    workspace: Workspace
    service: Service
    priority: Priority
    latest_start_s: float


class GateTicket:
    """Place of an admitted request.

    Parameters
    ----------
    gate : AdmissionGate
        Gate that admitted it.
    admission : AdmissionController
        Queue of its service.
    run : RunId
        Its number there.

    Attributes
    ----------
    has_waited : bool
        Whether it has waited in the queue.
    """

    def __init__(
        self, gate: "AdmissionGate", admission: AdmissionController, run: RunId
    ) -> None:
        self._gate = gate
        self._admission = admission
        self._run = run
        self.has_waited = False

    async def async_wait_again(self) -> None:
        """Go back to the queue because all upstreams are full.

        Raises
        ------
        RefusalError
            If the request can't start in time any more.
        """
        now_s = asyncio.get_running_loop().time()
        result = self._admission.on_busy(self._run, now_s)
        await self._gate.async_follow(self._run, result, self)


class AdmissionGate:
    """Admit requests, one queue a service.

    Parameters
    ----------
    kernel : Kernel
        Clock and task lifetimes.
    serving_entries : callable
        Returns the number of instances among which a workspace's callers are spread.
    policy : callable
        Returns the settings of admission for a service.
    """

    def __init__(
        self,
        kernel: Kernel,
        serving_entries: Callable[[], int],
        policy: Callable[[Service], AdmissionPolicy],
    ) -> None:
        self._kernel = kernel
        self._serving_entries = serving_entries
        self._policy = policy
        self._admissions: dict[ServiceName, AdmissionController] = {}
        self._waiting: dict[RunId, asyncio.Future[None]] = {}
        self._has_waiting = asyncio.Event()
        self._numbers = itertools.count()
        kernel.create_task(self._async_advance(), "advance admission")

    @asynccontextmanager
    async def async_admitted(self, call: AdmissionCall) -> AsyncIterator["GateTicket"]:
        """Hold a place while the block runs.

        Raises
        ------
        RefusalError
            At once, if the request is over a limit or can't start in time.
        """
        admission = self._admission(call.service)
        request = AdmissionRequest(
            run=RunId(str(next(self._numbers))),
            workspace=call.workspace.name,
            limits=call.workspace.limits,
            serving_entries=self._serving_entries(),
            priority=call.priority,
            latest_start_s=call.latest_start_s,
        )
        ticket = GateTicket(self, admission, request.run)
        try:
            await self.async_follow(
                request.run, admission.admit(request, self._kernel.now_s), ticket
            )
            yield ticket
        finally:
            admission.on_finished(request.run, self._kernel.now_s)
            self._deliver(admission)

    async def async_follow(
        self, run: RunId, result: Admitted | Queued | NotAdmitted, ticket: "GateTicket"
    ) -> None:
        """Return when a request may be placed, or raise its refusal."""
        if isinstance(result, NotAdmitted):
            raise _refusal(result)
        if isinstance(result, Admitted):
            return
        ticket.has_waited = True
        future = asyncio.get_running_loop().create_future()
        self._waiting[run] = future
        self._has_waiting.set()
        try:
            await future
        finally:
            del self._waiting[run]

    async def _async_advance(self) -> None:
        while True:
            await self._has_waiting.wait()
            await asyncio.sleep(ADVANCE_S)
            for admission in self._admissions.values():
                self._deliver(admission)
            if not self._waiting:
                self._has_waiting.clear()

    def _admission(self, service: Service) -> AdmissionController:
        policy = self._policy(service)
        admission = self._admissions.get(service.name)
        if admission is None:
            admission = self._admissions[service.name] = AdmissionController(policy)
        admission.set_policy(policy)
        return admission

    @callback
    def _deliver(self, admission: AdmissionController) -> None:
        for result in admission.advance(self._kernel.now_s):
            future = self._waiting.get(result.run)
            if future is None or future.done():
                continue
            if isinstance(result, NotAdmitted):
                future.set_exception(_refusal(result))
            else:
                future.set_result(None)


def _refusal(result: NotAdmitted) -> RefusalError:
    return RefusalError(
        result.reason.value,
        DETAILS[result.reason],
        status=TOO_MANY_REQUESTS_STATUS,
        retry_after_s=result.retry_after_s,
    )
