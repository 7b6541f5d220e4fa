"""Model the request that admission judges, and its decision."""

from enum import Enum

import msgspec

from leadford.common import WorkspaceId
from leadford.forwarding.admission._forecast import StageCapacity, StageDelay
from leadford.forwarding.routes import Route, RouteLevels, ServiceId


class Verdict(Enum):
    """Say whether a request is admitted."""

    ADMIT = "admit"
    REFUSE = "refuse"


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Describe one request for the admission decision.

    `counts` holds the number of pieces of each stage of the route. `priority` is the
    priority of the workspace if it has one. A request that is sent again has the same
    `fingerprint`.

    Units: seconds. first_byte_s is the time of the service to the first byte;
    endpoint_wait_s is the time until one of its endpoints accepts another request;
    elapsed_s and timeout_s count from when the caller sent the request;
    caller_timeout_s is the time that the caller itself allows, None if it states none;
    now is a time of the monotonic clock.
    """

    route: Route
    counts: tuple[int, ...]
    capacity_by_service: dict[ServiceId, StageCapacity]
    priority: int
    fingerprint: str
    first_byte_s: float
    elapsed_s: float
    timeout_s: float
    now: float
    caller_timeout_s: float | None = None
    endpoint_wait_s: float = 0.0
    # Whether capacity is booked for the caller, and its booking is due.
    is_booked: bool = False
    workspace_id: WorkspaceId | None = None
    # The services at which the request is judged by level of priority.
    contended_ids: frozenset[ServiceId] = frozenset()
    # Whether the caller resumes a stream, of which it has events.
    is_resumed: bool = False

    @property
    def levels(self) -> RouteLevels:
        """Return the levels of the request."""
        return RouteLevels.from_route(self.route, self.contended_ids)

    def level_at(self, service_id: ServiceId | None) -> int:
        """Return the level at a service; for None, the least urgent at any stage."""
        levels = self.levels
        if service_id is not None:
            return levels.level(service_id)
        return levels.lowest_level(stage.service_id for stage in self.route.stages)

    @property
    def aim_s(self) -> float:
        """Return the latency target of the route, or the allowed time without one.

        The target of a stream is for its first event, which a caller that resumes it
        has had.
        """
        if self.is_resumed:
            return self.timeout_s
        aim_ms = self.route.aim_ms
        return aim_ms / 1_000.0 if aim_ms > 0 else self.timeout_s


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Hold a verdict, the expected response time and the retry delay.

    `is_caller_retry` is true for a retry of a recently refused request, `is_late` for
    one that can no longer meet its target, counted from its first try.
    `is_refusal_known` is true if the refusal is recorded here, not only inferred from
    the timeout that the caller states. `short_service_id` is the service of the stage
    that is delayed too long, None if no stage is. `level` is the level of the request
    there, otherwise the lowest at its stages. `delay` is the longest one expected.

    Units: seconds; expected_s counts from when the caller sent the request, and
    includes error_s, the forecast error by which it was corrected. limit_s is what it
    was compared with. since_first_try_s is the time between the first try and this one.
    """

    verdict: Verdict
    expected_s: float
    error_s: float = 0.0
    limit_s: float = 0.0
    retry_after_s: float = 0.0
    is_caller_retry: bool = False
    since_first_try_s: float = 0.0
    is_late: bool = False
    is_refusal_known: bool = False
    short_service_id: ServiceId | None = None
    level: int = 0
    delay: StageDelay = StageDelay()
