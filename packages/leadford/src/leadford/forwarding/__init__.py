"""Forward requests unaltered: declared routes, services, workspaces and their lookup."""

from leadford.forwarding._model import (
    EngineLimits,
    ForwardConfig,
    PieceLimits,
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
from leadford.forwarding._table import Admitted, LookupError, LookupFault, RouteTable

__all__ = [
    "Admitted",
    "EngineLimits",
    "ForwardConfig",
    "LookupError",
    "LookupFault",
    "PieceLimits",
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
