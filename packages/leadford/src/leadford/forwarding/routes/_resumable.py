"""Tell which changes of the configuration concern streams that callers may resume."""

from leadford.forwarding.routes._model import Route, RouteKind
from leadford.forwarding.routes._table import RouteTable


def is_resumable_stream(route: Route | None) -> bool:
    """Return whether callers may resume the answers of a route."""
    return route is not None and route.kind is RouteKind.STREAM and route.is_resumable


def makes_resumable(before: RouteTable, after: RouteTable) -> bool:
    """Return whether paths become resumable that had a route before, but were not."""
    resumable = [route for route in after.config.routes if is_resumable_stream(route)]
    old_by_place = _routes_by_place(before)
    new_by_place = _routes_by_place(after)
    for route in resumable:
        old = old_by_place.get(_place(route))
        if old is None:
            old = before.match(route.host, route.path_prefix)
        if old is not None and not is_resumable_stream(old):
            return True
    for route in before.config.routes:
        if is_resumable_stream(route) or _place(route) in new_by_place:
            continue
        # Its paths have the route that is the next longest now, if there is one.
        if _has_wider(resumable, route) and is_resumable_stream(
            after.match(route.host, route.path_prefix)
        ):
            return True
    return False


def _has_wider(routes: list[Route], route: Route) -> bool:
    """Return whether any of some routes also covers the paths of a route."""
    return any(
        wider.host.lower() == route.host.lower()
        and route.path_prefix.startswith(wider.path_prefix)
        for wider in routes
    )


def _routes_by_place(table: RouteTable) -> dict[tuple[str, str], Route]:
    return {_place(route): route for route in table.config.routes}


def _place(route: Route) -> tuple[str, str]:
    return route.host.lower(), route.path_prefix
