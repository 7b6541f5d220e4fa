"""Look up the route and the workspace of a request.

Answers from one version of the configuration: the longest prefix of the path for the
host, the workspace of the key, one of the route's services drawn by weight. What
follows from a failed look-up is decided in `_denial`.
"""

from enum import Enum
from random import Random

import msgspec
from returns.result import Failure, Result, Success

from leadford.common import WorkspaceId
from leadford.forwarding.routes._model import (
    ForwardConfig,
    Route,
    Service,
    ServiceId,
    Workspace,
)


class LookupFault(Enum):
    """Say why a request has no route."""

    NO_ROUTE = "no-route"
    NO_KEY = "no-key"


class LookupFailure(msgspec.Struct, frozen=True):
    """Describe a failed lookup and the version it was made with."""

    fault: LookupFault
    version: int


class RouteMatch(msgspec.Struct, frozen=True):
    """Hold what the configuration says of one request."""

    route: Route
    service: Service
    workspace_id: WorkspaceId | None
    priority: int
    version: int


class RouteTable:
    """Answer lookups in one version of the configuration."""

    def __init__(
        self,
        *,
        config: ForwardConfig,
        routes_by_host: dict[str, list[Route]],
        workspaces_by_key: dict[str, Workspace],
    ) -> None:
        self.config = config
        self.routes_by_host = routes_by_host
        self.workspaces_by_key = workspaces_by_key

    @classmethod
    def from_config(cls, config: ForwardConfig) -> "RouteTable":
        """Index a configuration."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in config.routes:
            routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in routes_by_host.values():
            # The longest prefix wins, so it is tried first.
            routes.sort(key=lambda route: -len(route.path_prefix))
        workspaces_by_key = {
            key: workspace for workspace in config.workspaces for key in workspace.keys
        }
        return cls(
            config=config,
            routes_by_host=routes_by_host,
            workspaces_by_key=workspaces_by_key,
        )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        name = host.rsplit(":", 1)[0].lower()
        for route in self.routes_by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def lookup(
        self, host: str, path: str, api_key: str | None, random: Random
    ) -> Result[RouteMatch, LookupFailure]:
        """Return what holds for a request, or why it is not allowed."""
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
    """Draw one of the services of a route by weight."""
    if len(route.services) == 1:
        return route.services[0].service_id
    point = random.uniform(0.0, sum(part.weight for part in route.services))
    for part in route.services:
        point -= part.weight
        if point < 0.0:
            return part.service_id
    weighted = [part for part in route.services if part.weight > 0.0]
    return (weighted or route.services)[-1].service_id
