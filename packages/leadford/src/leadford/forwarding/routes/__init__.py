"""Model routes, services and workspaces, look up routes, and decide who may start."""

from leadford.forwarding.routes._contention import contended_services
from leadford.forwarding.routes._denial import ProcessStatus, StartDenial, decide_start
from leadford.forwarding.routes._levels import (
    LEVEL_HIGHEST,
    LEVEL_LESS_URGENT,
    LEVEL_LOWEST,
    RouteLevels,
)
from leadford.forwarding.routes._model import (
    PRIORITY_HIGHEST,
    PRIORITY_LOWEST,
    ColdLimits,
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
from leadford.forwarding.routes._parts import (
    ConfigDownload,
    ConfigPart,
    ConfigParts,
)
from leadford.forwarding.routes._resumable import is_resumable_stream, makes_resumable
from leadford.forwarding.routes._table import (
    LookupFailure,
    LookupFault,
    RouteMatch,
    RouteTable,
)

__all__ = [
    "LEVEL_HIGHEST",
    "LEVEL_LESS_URGENT",
    "LEVEL_LOWEST",
    "PRIORITY_HIGHEST",
    "PRIORITY_LOWEST",
    "ColdLimits",
    "ConfigDownload",
    "ConfigPart",
    "ConfigParts",
    "EngineLimits",
    "ForwardConfig",
    "LookupFailure",
    "LookupFault",
    "PieceLimits",
    "ProcessStatus",
    "ResultHandle",
    "Route",
    "RouteId",
    "RouteKind",
    "RouteLevels",
    "RouteMatch",
    "RouteTable",
    "Service",
    "ServiceId",
    "StageSpec",
    "StartDenial",
    "TrafficLimits",
    "WeightedService",
    "Workspace",
    "contended_services",
    "decide_start",
    "is_resumable_stream",
    "makes_resumable",
]
