"""Find contended services, where priorities contradict latency targets.

Where targets follow priorities, a queue ordered by due time serves the more urgent
routes first, and nothing else is needed. Ordered by due time, a less urgent route goes
first if its target is tighter than that of a route of the highest priority. Below the
highest priority, a less urgent route with a much looser target is admitted with a
backlog for which a more urgent one is refused.

Computed once for each configuration. Admission, bookings and the queues of batches
treat these services by level of priority; all other services are served by due time.
"""

from collections.abc import Iterable, Sequence

from leadford.forwarding.routes._model import PRIORITY_HIGHEST, Route, ServiceId

# Ratio of the targets from which the less urgent of two routes, both below the highest
# priority, is admitted with a backlog for which the more urgent one is refused.
LOOSER_TARGET_RATIO = 1.5


def contended_services(routes: Iterable[Route]) -> frozenset[ServiceId]:
    """Return the services of stages where priorities contradict latency targets."""
    routes_by_service: dict[ServiceId, list[Route]] = {}
    for route in routes:
        if route.aim_ms <= 0.0:
            continue
        for service_id in {stage.service_id for stage in route.stages}:
            routes_by_service.setdefault(service_id, []).append(route)
    return frozenset(
        service_id
        for service_id, sharing in routes_by_service.items()
        if _has_contradiction(sharing)
    )


def _has_contradiction(routes: Sequence[Route]) -> bool:
    """Tell whether any two routes have priorities that contradict their targets."""
    # Many routes share few combinations, so that few pairs are compared.
    combinations = {(route.priority, route.aim_ms) for route in routes}
    for priority, aim_ms in combinations:
        for other_priority, other_aim_ms in combinations:
            if priority >= other_priority:
                continue
            if _contradicts(priority, aim_ms, other_aim_ms):
                return True
    return False


def _contradicts(priority: int, aim_ms: float, less_urgent_aim_ms: float) -> bool:
    """Tell whether the target of a less urgent route contradicts the priorities."""
    if priority == PRIORITY_HIGHEST:
        return less_urgent_aim_ms < aim_ms
    return less_urgent_aim_ms >= LOOSER_TARGET_RATIO * aim_ms
