"""Assign the levels by which admission, backlog and queues rank requests.

At a contended service, where routes of several priorities compete, the level is the
priority of the route. Everywhere else there are two levels: the highest priority, and
all others. The priority of a workspace ranks requests within a level only.
"""

from collections.abc import Collection, Iterable

import msgspec

from leadford.forwarding.routes._model import (
    PRIORITY_HIGHEST,
    PRIORITY_LOWEST,
    Route,
    ServiceId,
)

LEVEL_HIGHEST = PRIORITY_HIGHEST
LEVEL_LOWEST = PRIORITY_LOWEST
# The level of all routes below the highest priority where there are two levels.
LEVEL_LESS_URGENT = 1


class RouteLevels(msgspec.Struct, frozen=True):
    """Hold the levels of a request, by service; fixed when the request arrives.

    `contended_ids` are the services at which the level is the priority of the route.
    """

    priority: int
    contended_ids: frozenset[ServiceId] = frozenset()

    @classmethod
    def from_route(
        cls, route: Route, contended_ids: Collection[ServiceId]
    ) -> "RouteLevels":
        """Return the levels of a route; `contended_ids` may hold further services."""
        service_ids = {stage.service_id for stage in route.stages}
        return cls(route.priority, frozenset(service_ids.intersection(contended_ids)))

    def level(self, service_id: ServiceId) -> int:
        """Return the level at a service."""
        if service_id in self.contended_ids:
            return min(max(self.priority, LEVEL_HIGHEST), LEVEL_LOWEST)
        return two_level(self.priority)

    def lowest_level(self, service_ids: Iterable[ServiceId]) -> int:
        """Return the least urgent level at some services; without services, of two."""
        levels = [self.level(service_id) for service_id in service_ids]
        return max(levels, default=two_level(self.priority))

    def contended_level(self, service_id: ServiceId) -> int | None:
        """Return the level at a contended service, None elsewhere."""
        return self.level(service_id) if service_id in self.contended_ids else None


def two_level(priority: int) -> int:
    """Return the level of a priority where there are two levels."""
    return LEVEL_HIGHEST if priority == PRIORITY_HIGHEST else LEVEL_LESS_URGENT
