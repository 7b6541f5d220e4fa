"""Forward requests unaltered: routes, services, workspaces and their lookup."""

from leadford.forwarding.routes._model import (
    EngineLimits,
    ForwardConfig,
    PieceLimits,
    ResultHandle,
    Route,
    RouteId,
    RouteKind,
    Service,
    ServiceId,
    StageSpec,
    TrafficLimits,
    WeightedService,
    Workspace,
)
from leadford.forwarding.routes._table import (
    Admitted,
    LookupError,
    LookupFault,
    RouteTable,
)

__all__ = [
    "Admitted",
    "EngineLimits",
    "ForwardConfig",
    "LookupError",
    "LookupFault",
    "PieceLimits",
    "ResultHandle",
    "Route",
    "RouteId",
    "RouteKind",
    "RouteTable",
    "Service",
    "ServiceId",
    "StageSpec",
    "TrafficLimits",
    "WeightedService",
    "Workspace",
]
