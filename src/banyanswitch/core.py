"""Kernel: component registry, typed message bus and task lifecycle."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any, Final, Protocol, TypeVar, cast

import structlog

from banyanswitch.exceptions import BanyanswitchError

T = TypeVar("T")
CallableT = TypeVar("CallableT", bound=Callable[..., Any])
StopHook = Callable[[], Awaitable[None]]
MessageHandler = Callable[[T], None]

LOGGER = structlog.get_logger(__name__)


def callback(function: CallableT) -> CallableT:
    """Mark a function that runs in the event loop and must not block."""
    function.__dict__["is_callback"] = True
    return function


class KernelError(BanyanswitchError):
    """The components are set up incorrectly."""


class MessageBus:
    """Deliver typed messages to the subscribers of their exact type."""

    def __init__(self) -> None:
        self._handlers: dict[type, list[MessageHandler[Any]]] = defaultdict(list)

    @callback
    def subscribe(
        self, message_type: type[T], handler: MessageHandler[T]
    ) -> Callable[[], None]:
        """Call ``handler`` for each message of ``message_type``.

        Returns
        -------
        unsubscribe : callable
            Ends the subscription.
        """
        handlers = self._handlers[message_type]
        handlers.append(handler)

        def unsubscribe() -> None:
            if handler in handlers:
                handlers.remove(handler)

        return unsubscribe

    @callback
    def publish(self, message: object) -> None:
        """Deliver ``message`` to all subscribers before returning.

        An exception in one subscriber is logged; the others still get the message.
        """
        for handler in tuple(self._handlers.get(type(message), ())):
            try:
                handler(message)
            except Exception:
                LOGGER.exception("subscriber_failed", message=type(message).__name__)


class Kernel:
    """Services, message bus, tasks and stop hooks that the components share.

    Parameters
    ----------
    settings : object
        Validated settings of the process.
    """

    def __init__(self, settings: object) -> None:
        self.settings = settings
        self.bus = MessageBus()
        self._services: dict[type, object] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._stop_hooks: list[tuple[str, StopHook]] = []

    @property
    def now_s(self) -> float:
        """Current time of the running event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    @callback
    def provide(self, interface: type[T], implementation: T) -> None:
        """Register ``implementation`` for other components under ``interface``.

        Raises
        ------
        KernelError
            If the interface already has an implementation.
        """
        if interface in self._services:
            raise KernelError(f"{interface.__name__} is provided twice")
        self._services[interface] = implementation

    @callback
    def require(self, interface: type[T]) -> T:
        """Return the implementation of ``interface``.

        Raises
        ------
        KernelError
            If no component has provided it.
        """
        if interface not in self._services:
            raise KernelError(f"no component provides {interface.__name__}")
        return cast(T, self._services[interface])

    @callback
    def create_task(
        self, coroutine: Coroutine[Any, Any, T], name: str
    ) -> asyncio.Task[T]:
        """Run a coroutine as a task until it ends or the kernel stops."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    @callback
    def on_stop(self, name: str, hook: StopHook) -> None:
        """Call ``hook`` when the kernel stops, in reverse order of registration."""
        self._stop_hooks.append((name, hook))

    async def async_stop(self) -> None:
        """Run the stop hooks, then cancel the remaining tasks."""
        while self._stop_hooks:
            name, hook = self._stop_hooks.pop()
            try:
                await hook()
            except Exception:
                LOGGER.exception("stop_hook_failed", component=name)
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @callback
    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        LOGGER.error("task_failed", task=task.get_name(), exc_info=task.exception())


class ComponentSetup(Protocol):
    """Function that sets up one component on a kernel."""

    async def __call__(self, kernel: Kernel) -> None:
        """Provide services, subscribe to messages and start tasks."""


@dataclass(frozen=True, slots=True)
class Component:
    """A registered component.

    Parameters
    ----------
    domain : str
        Name of the component, the ``DOMAIN`` of its package.
    async_setup : ComponentSetup
        Setup function of the component.
    depends_on : tuple of str
        Domains that must be set up first.
    """

    domain: str
    async_setup: ComponentSetup
    depends_on: tuple[str, ...]


class ComponentRegistry:
    """Components, each registered by its package on import."""

    def __init__(self) -> None:
        self._components: dict[str, Component] = {}

    def register(
        self, domain: str, async_setup: ComponentSetup, depends_on: Iterable[str] = ()
    ) -> None:
        """Add a component.

        Raises
        ------
        KernelError
            If the domain is already registered.
        """
        if domain in self._components:
            raise KernelError(f"component {domain} is registered twice")
        self._components[domain] = Component(domain, async_setup, tuple(depends_on))

    def sorted_by_dependency(self, domains: Iterable[str]) -> tuple[Component, ...]:
        """Return the named components and their dependencies, in dependency order.

        Raises
        ------
        KernelError
            If a component is not registered or the dependencies are circular.
        """
        wanted = tuple(domains)
        ordered: dict[str, Component] = {}
        for domain in wanted:
            self._visit(domain, ordered, path=())
        return tuple(ordered.values())

    def _visit(
        self, domain: str, ordered: dict[str, Component], path: tuple[str, ...]
    ) -> None:
        if domain in ordered:
            return
        if domain in path:
            raise KernelError(f"circular dependency of components: {path} {domain}")
        if domain not in self._components:
            raise KernelError(f"component {domain} is not registered")
        component = self._components[domain]
        for dependency in component.depends_on:
            self._visit(dependency, ordered, (*path, domain))
        ordered[domain] = component


REGISTRY: Final = ComponentRegistry()
