"""Active configuration, target weight versions and evacuated failure domains."""

import asyncio
import random
from collections.abc import Callable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Final

import structlog

from banyanswitch.components.forwarding.const import TARGET_TIME_RESOLUTION_S
from banyanswitch.components.forwarding.models import (
    ForwardedService,
    ForwardedWorkspace,
    ForwardingConfiguration,
    Repeatability,
    Route,
)
from banyanswitch.components.forwarding.protocols import DocumentDecoder
from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.core import callback
from banyanswitch.decisions.prefix import isolated_scope, shared_scope
from banyanswitch.identifiers import FailureDomainId, ServiceName, WorkspaceId
from banyanswitch.interfaces import Item

NO_WORKSPACE: Final = WorkspaceId("")
LOGGER = structlog.get_logger(__name__)


@dataclass(slots=True)
class WeightTarget:
    """Target weight version of a model.

    Parameters
    ----------
    target_since_s : dict of int to float
        Loop time at which each version became the target, as far as this instance
        knows.
    """

    version: int
    target_since_s: dict[int, float]

    def superseded_at_s(self, version: int) -> float | None:
        """Return the loop time at which a newer version first became the target.

        ``None`` means that no newer version is known.
        """
        later = [at_s for other, at_s in self.target_since_s.items() if other > version]
        return min(later, default=None)


class RoutingState:
    """Look-ups in the active configuration and the target weight versions.

    A row is ignored unless its version is higher than the known one.

    Parameters
    ----------
    mirror : TableMirror
        Local copy of the operators' table.
    decoder : DocumentDecoder
        Decodes its rows.
    configuration_key : str
        Key of the row with the configuration.

    Attributes
    ----------
    on_returned : callable
        Called with a failure domain that is no longer evacuated.
    is_current : callable
        Returns whether the rows are not those of an older copy of the store.
    """

    def __init__(
        self, mirror: TableMirror, decoder: DocumentDecoder, configuration_key: str
    ) -> None:
        self._decoder = decoder
        self._configuration_key = configuration_key
        self._routes_by_host: dict[str, list[Route]] = {}
        self._workspaces_by_key: dict[str, ForwardedWorkspace] = {}
        self._workspaces_by_name: dict[WorkspaceId, ForwardedWorkspace] = {}
        self._targets: dict[str, WeightTarget] = {}
        self._evacuated: set[FailureDomainId] = set()
        self.on_returned: Callable[[FailureDomainId], None] = lambda _domain: None
        self.is_current: Callable[[], bool] = lambda: True
        self._target_handlers: list[Callable[[str], None]] = []
        self.configuration: ForwardingConfiguration | None = None
        self._shared_scope = ""
        self.applied_at_s = 0.0
        mirror.subscribe(self._on_rows)

    @property
    def limits(self) -> ConnectionLimits:
        """Connection limits of callers."""
        if self.configuration is None:
            return ConnectionLimits()
        return self.configuration.limits

    @property
    def has_workspaces(self) -> bool:
        """Whether callers need an API key."""
        return self.configuration is not None and bool(self.configuration.workspaces)

    @property
    def targets(self) -> dict[str, WeightTarget]:
        """Target weight version by model."""
        return self._targets

    @property
    def evacuated(self) -> AbstractSet[FailureDomainId]:
        """Failure domains to whose upstreams nothing more is sent."""
        return self._evacuated

    @callback
    def subscribe_targets(self, handler: Callable[[str], None]) -> None:
        """Call ``handler`` with a model whose target versions or times change."""
        self._target_handlers.append(handler)

    @callback
    def superseded_at_s(self, model: str, version: int) -> float | None:
        """Return the loop time from which a weight version of a model is outdated.

        ``None`` means that no newer version is known.
        """
        target = self._targets.get(model)
        return target.superseded_at_s(version) if target is not None else None

    @callback
    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @callback
    def service(self, name: ServiceName) -> ForwardedService | None:
        """Return a service of the active configuration."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(name)

    @callback
    def resumable_services(self) -> frozenset[ServiceName]:
        """Return the services of the streams that may be resumed."""
        routes = self.configuration.routes if self.configuration is not None else ()
        return frozenset(
            share.service
            for route in routes
            if route.repeatability is Repeatability.RESUMABLE_STREAM
            for share in route.shares
        )

    @callback
    def workspace(self, key: str | None) -> ForwardedWorkspace | None:
        """Return the workspace of an API key, or ``None`` if there is none."""
        return self._workspaces_by_key.get(key) if key else None

    @callback
    def cache_scope(self, workspace: ForwardedWorkspace | None) -> str:
        """Return the scope of the cache salts of a workspace's requests.

        The shared scope belongs to the active configuration. A request that was
        admitted under an earlier one may use it only if its workspace is isolated in
        neither. While a newer configuration may be missing, each workspace has a scope
        of its own.

        Parameters
        ----------
        workspace : ForwardedWorkspace or None
            Workspace as it was when the request was admitted.
        """
        if not self.is_current():
            return isolated_scope(workspace.name if workspace else NO_WORKSPACE)
        if workspace is None:
            return self._shared_scope
        active = self._workspaces_by_name.get(workspace.name)
        if workspace.is_isolated or active is None or active.is_isolated:
            return isolated_scope(workspace.name)
        return self._shared_scope

    @callback
    def note_target_time(self, model: str, version: int, target_since_s: float) -> None:
        """Record when a version became the target, unless an earlier time is known.

        Differences below `TARGET_TIME_RESOLUTION_S` don't count.
        """
        target = self._targets.setdefault(model, WeightTarget(0, {}))
        known_s = target.target_since_s.get(version)
        if known_s is None or target_since_s <= known_s - TARGET_TIME_RESOLUTION_S:
            target.target_since_s[version] = target_since_s
            self._notify_targets(model)

    @callback
    def apply(self, configuration: ForwardingConfiguration) -> None:
        """Apply a configuration if its version is higher than the active one's."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        routes: dict[str, list[Route]] = {}
        for route in configuration.routes:
            routes.setdefault(route.host, []).append(route)
        for host_routes in routes.values():
            host_routes.sort(key=lambda route: -len(route.prefix))
        self._routes_by_host = routes
        self._workspaces_by_key = {
            key: workspace
            for workspace in configuration.workspaces
            for key in workspace.keys
        }
        self._workspaces_by_name = {
            workspace.name: workspace for workspace in configuration.workspaces
        }
        self._shared_scope = shared_scope(
            workspace.name
            for workspace in configuration.workspaces
            if workspace.is_isolated
        )
        self.configuration = configuration
        self.applied_at_s = asyncio.get_running_loop().time()
        LOGGER.info(
            "configuration_applied",
            version=configuration.version,
            replaced=known.version if known else None,
            routes=len(configuration.routes),
        )

    def _on_rows(self, changed: tuple[Item, ...], removed: tuple[str, ...]) -> None:
        for item in changed:
            key = item.key.partition("/")[2]
            if key == self._configuration_key:
                configuration = self._decoder.configuration(item.value)
                if configuration is not None:
                    self.apply(configuration)
                continue
            domain = self._decoder.evacuated_domain(key)
            if domain is not None:
                self._note_evacuated(domain, item.revision)
                continue
            named = self._decoder.target_weights(key, item.value)
            if named is not None:
                self._note_target(*named, item.revision)
        for key in removed:
            domain = self._decoder.evacuated_domain(key.partition("/")[2])
            if domain is not None:
                self._note_returned(domain)

    def _note_evacuated(self, domain: FailureDomainId, revision: int) -> None:
        if domain in self._evacuated:
            return
        self._evacuated.add(domain)
        LOGGER.info("failure_domain_evacuated", domain=domain, revision=revision)

    def _note_returned(self, domain: FailureDomainId) -> None:
        if domain not in self._evacuated:
            return
        self._evacuated.remove(domain)
        LOGGER.info("failure_domain_returned", domain=domain)
        self.on_returned(domain)

    def _note_target(self, model: str, version: int, revision: int) -> None:
        target = self._targets.setdefault(model, WeightTarget(0, {}))
        if version <= target.version:
            return
        now_s = asyncio.get_running_loop().time()
        target.version = version
        target.target_since_s.setdefault(version, now_s)
        LOGGER.info("weights_named", model=model, version=version, revision=revision)
        self._notify_targets(model)

    def _notify_targets(self, model: str) -> None:
        for handler in self._target_handlers:
            handler(model)


def pick_service(route: Route, generator: random.Random) -> ServiceName | None:
    """Return a random service of a route, weighted by its shares."""
    if not route.shares:
        return None
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [max(0.0, share.weight) for share in route.shares]
    if not any(weights):
        return route.shares[0].service
    return generator.choices([share.service for share in route.shares], weights)[0]
