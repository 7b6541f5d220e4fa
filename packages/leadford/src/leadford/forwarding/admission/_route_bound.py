"""Bound the number of routes about which admission keeps something."""

from typing import Any

from leadford.forwarding.routes import RouteId

# Far more routes than have stages.
MAX_ROUTES = 2_000


def drop_oldest_route(by_route: dict[RouteId, Any]) -> None:
    """Drop the route that was added first if there are too many."""
    if len(by_route) > MAX_ROUTES:
        del by_route[next(iter(by_route))]
