"""Gate that admits requests by workspace limits and priority."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from banyanswitch.components.admission.const import ADVANCE_INTERVAL_S
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
REFUSAL_DETAILS = {
    AdmissionRefusal.RATE_LIMITED: "the workspace is over its rate of requests",
    AdmissionRefusal.TOO_MANY_CONCURRENT: "the workspace has too many requests open",
    AdmissionRefusal.OVERLOADED: "the request could not start in time",
}


@dataclass(frozen=True, slots=True)
class AdmissionCall:
    """Properties of a request for admission.

    Parameters
    ----------
    latest_start_s : float
        Loop time after which the request must not start, in seconds.
    """

    workspace: Workspace
    service: Service
    priority: Priority
    latest_start_s: float


class GateTicket:
    """Ticket of an admitted request, with which it can be queued again.

    Parameters
    ----------
    gate : AdmissionGate
        Gate that admitted the request.
    controller : AdmissionController
        Admission controller of its service.
    run : RunId
        Number that identifies the request in the controller.

    Attributes
    ----------
    has_waited : bool
        Whether the request has waited in the queue.
    """

    def __init__(
        self, gate: "AdmissionGate", controller: AdmissionController, run: RunId
    ) -> None:
        self._gate = gate
        self._controller = controller
        self._run = run
        self.has_waited = False

    async def async_requeue(self) -> None:
        """Queue the request again while all upstreams are full, until it is admitted.

        Raises
        ------
        RefusalError
            If the request can no longer start in time.
        """
        now_s = asyncio.get_running_loop().time()
        result = self._controller.on_busy(self._run, now_s)
        await self._gate.async_wait_until_admitted(self._run, result, self)


class AdmissionGate:
    """Admit requests, with one admission controller per service.

    Parameters
    ----------
    kernel : Kernel
        Clock and task lifetimes.
    serving_entries : callable
        Returns the number of instances that share a workspace's callers.
    policy : callable
        Returns the admission settings of a service.
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
        self._controllers: dict[ServiceName, AdmissionController] = {}
        self._waiting: dict[RunId, asyncio.Future[None]] = {}
        self._has_waiting = asyncio.Event()
        self._run_numbers = itertools.count()
        kernel.create_task(self._async_advance(), "advance admission")

    @asynccontextmanager
    async def async_admitted(self, call: AdmissionCall) -> AsyncIterator["GateTicket"]:
        """Wait for an admission slot and hold it while the block runs.

        Raises
        ------
        RefusalError
            If the request exceeds a limit or can't start in time. This is raised as
            soon as it is known.
        """
        controller = self._controller(call.service)
        request = AdmissionRequest(
            run=RunId(str(next(self._run_numbers))),
            workspace=call.workspace.name,
            limits=call.workspace.limits,
            serving_entries=self._serving_entries(),
            priority=call.priority,
            latest_start_s=call.latest_start_s,
        )
        ticket = GateTicket(self, controller, request.run)
        try:
            await self.async_wait_until_admitted(
                request.run, controller.admit(request, self._kernel.now_s), ticket
            )
            yield ticket
        finally:
            controller.on_finished(request.run, self._kernel.now_s)
            self._deliver_results(controller)

    async def async_wait_until_admitted(
        self, run: RunId, result: Admitted | Queued | NotAdmitted, ticket: "GateTicket"
    ) -> None:
        """Wait until a request may be placed.

        Raises
        ------
        RefusalError
            If the request is refused, now or while it is queued.
        """
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
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            for controller in self._controllers.values():
                self._deliver_results(controller)
            if not self._waiting:
                self._has_waiting.clear()

    def _controller(self, service: Service) -> AdmissionController:
        policy = self._policy(service)
        controller = self._controllers.get(service.name)
        if controller is None:
            controller = self._controllers[service.name] = AdmissionController(policy)
        controller.set_policy(policy)
        return controller

    @callback
    def _deliver_results(self, controller: AdmissionController) -> None:
        for result in controller.advance(self._kernel.now_s):
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
        REFUSAL_DETAILS[result.reason],
        status=TOO_MANY_REQUESTS_STATUS,
        retry_after_s=result.retry_after_s,
    )
