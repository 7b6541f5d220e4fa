"""Look up the route and the workspace of a request.

A lookup in one version of the configuration finds the route with the longest prefix of
the path for the host, the workspace of the key, and one of the route's services, drawn
by weight. `_denial` decides what follows from a failed lookup.
"""

from enum import Enum
from random import Random

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import WorkspaceId
from leadford.forwarding.routes._contention import contended_services
from leadford.forwarding.routes._model import (
    ForwardConfig,
    Route,
    Service,
    ServiceId,
    Workspace,
)


class LookupFault(Enum):
    """Enumerate the reasons why a lookup fails."""

    NO_ROUTE = "no-route"
    NO_KEY = "no-key"


class LookupFailure(msgspec.Struct, frozen=True):
    """Describe a failed lookup and the configuration version that it used."""

    fault: LookupFault
    version: int


class RouteMatch(msgspec.Struct, frozen=True):
    """Hold the route, service, workspace and priority that apply to a request."""

    route: Route
    service: Service
    workspace_id: WorkspaceId | None
    priority: int
    version: int


class RouteTable:
    """Look up routes and workspaces in one version of the configuration."""

    def __init__(
        self,
        *,
        config: ForwardConfig,
        routes_by_host: dict[str, list[Route]],
        workspaces_by_key: dict[str, Workspace],
        contended_service_ids: frozenset[ServiceId] = frozenset(),
    ) -> None:
        self.config = config
        self.routes_by_host = routes_by_host
        self.workspaces_by_key = workspaces_by_key
        self.contended_service_ids = contended_service_ids

    @classmethod
    def from_config(cls, config: ForwardConfig) -> "RouteTable":
        """Index a configuration."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in routes_by_host.values():
            # `match` returns the first match, so the longest prefix comes first.
            routes.sort(key=lambda route: -len(route.path_prefix))
        workspaces_by_key = {
            key: workspace for workspace in config.workspaces for key in workspace.keys
        }
        return cls(
            config=config,
            routes_by_host=routes_by_host,
            workspaces_by_key=workspaces_by_key,
            contended_service_ids=contended_services(config.routes),
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        host_name = host.rsplit(":", 1)[0].lower()
        for route in self.routes_by_host.get(host_name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def lookup(
        self, host: str, path: str, api_key: str | None, random: Random
    ) -> Result[RouteMatch, LookupFailure]:
        """Return the route and workspace of a request, or why there are none.

        Errors: the host and path match no route, or the route needs a valid key.
        """
        version = self.config.version
        route = self.match(host, path)
        if route is None:
            return Failure(LookupFailure(LookupFault.NO_ROUTE, version))
        workspace = self.workspaces_by_key.get(api_key) if api_key else None
        needs_key = bool(self.config.workspaces) and not route.is_public
        if workspace is None and needs_key:
            return Failure(LookupFailure(LookupFault.NO_KEY, version))
        service_id = choose_service(route, random)
        service = self.config.services_by_id.get(service_id)
        if service is None:
            service = Service(service_id, connections_max=1)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return Success(
            RouteMatch(
                route=route,
                service=service,
                workspace_id=workspace.workspace_id if workspace else None,
                priority=priority,
                version=version,
            )
        )


def choose_service(route: Route, random: Random) -> ServiceId:
    """Draw one of the services of a route at random by weight."""
    if len(route.services) == 1:
        return route.services[0].service_id
    point = random.uniform(0.0, sum(candidate.weight for candidate in route.services))
    for candidate in route.services:
        point -= candidate.weight
        if point < 0.0:
            return candidate.service_id
    weighted = [candidate for candidate in route.services if candidate.weight > 0.0]
    return (weighted or route.services)[-1].service_id
