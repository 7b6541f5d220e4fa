"""Define the configuration of forwarded routes.

The adapter decodes it from the platform's store. Entries send each other the whole
configuration by field name, so the names must not change.
"""

from enum import Enum
from typing import NewType

import msgspec

from leadford.common import ConfigVersion, WorkspaceId

RouteId = NewType("RouteId", str)
ServiceId = NewType("ServiceId", str)
ResultHandle = NewType("ResultHandle", str)

PRIORITY_HIGHEST = 0
PRIORITY_LOWEST = 9


class RouteKind(Enum):
    """Enumerate what a route carries and whether it may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class StageSpec(msgspec.Struct, frozen=True):
    """Describe a stage that runs before a request, and the stages that it reads from.

    `after` holds the indices of the stages whose results it reads.

    Units: result_bytes is the approximate size of one result.
    """

    service_id: ServiceId
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class WeightedService(msgspec.Struct, frozen=True):
    """Assign a service its weight in a route."""

    service_id: ServiceId
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Describe one route.

    Units: times in milliseconds; priority 0 is the most urgent.
    """

    route_id: RouteId
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: float
    aim_ms: float
    attempts_max: int = 1
    priority: int = PRIORITY_LOWEST
    stages: tuple[StageSpec, ...] = ()
    is_public: bool = False
    is_resumable: bool = False
    gap_aim_ms: float = 0.0

    @property
    def is_urgent(self) -> bool:
        """Return whether the route has the highest priority."""
        return self.priority == PRIORITY_HIGHEST

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


class PieceLimits(msgspec.Struct, frozen=True):
    """Limit the load of an endpoint of a batched stage.

    Units: call_ms is the fixed duration of a call, and piece_ms is added for each piece
    in it; room_bytes is the memory for results, each held for at most retention_s.
    """

    slots: int
    queue: int
    batch: int
    call_ms: float
    piece_ms: float
    room_bytes: int
    retention_s: float

    def duration_ms(self, pieces: int) -> float:
        """Return the expected duration of a call with a number of pieces."""
        return self.call_ms + pieces * self.piece_ms

    @property
    def full_call_s(self) -> float:
        """Return the expected duration of a full call.

        Units: seconds.
        """
        return self.duration_ms(self.batch) / 1_000.0


class EngineLimits(msgspec.Struct, frozen=True):
    """Limit the load of a model engine."""

    slots: int
    memory_tokens: int


class ColdLimits(msgspec.Struct, frozen=True):
    """Limit the request rate of a cold endpoint, from all entries together.

    Units: per_s in requests per second; lasts_s is how long it stays cold, in seconds.
    """

    per_s: float
    lasts_s: float


class Service(msgspec.Struct, frozen=True):
    """Describe a service; `connections_max` limits an endpoint over all entries.

    `health_path` is not used: request outcomes decide on health. It stays because
    entries send this structure to each other. `cold` is omitted from that message if a
    service has no such limits, so that entries of earlier versions send and read the
    same.
    """

    service_id: ServiceId
    connections_max: int
    health_path: str = ""
    pieces: PieceLimits | None = None
    engine: EngineLimits | None = None
    cold: ColdLimits | msgspec.UnsetType = msgspec.UNSET

    @property
    def cold_limits(self) -> ColdLimits | None:
        """Return the limits of a cold endpoint of the service, if there are any."""
        return None if isinstance(self.cold, msgspec.UnsetType) else self.cold


class TrafficLimits(msgspec.Struct, frozen=True):
    """Limit the size of requests, the header timeout and the idle time."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


class Workspace(msgspec.Struct, frozen=True):
    """Describe a workspace and its keys; its priority overrides that of a route."""

    workspace_id: WorkspaceId
    keys: tuple[str, ...]
    priority: int | None = None


class ForwardConfig(msgspec.Struct, frozen=True):
    """Hold one version of the whole configuration of forwarding."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services_by_id: dict[ServiceId, Service]
    limits: TrafficLimits
    workspaces: tuple[Workspace, ...] = ()
