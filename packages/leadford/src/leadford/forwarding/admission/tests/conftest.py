"""Shared builders for the admission tests: a route with stages, and a request."""

from leadford.forwarding.admission import AdmissionRequest
from leadford.forwarding.routes import (
    PieceLimits,
    Route,
    RouteId,
    RouteKind,
    ServiceId,
    WeightedService,
)


def piece_limits(**fields):
    """Return limits of a service with ten pieces a call, with `fields` replaced."""
    defaults = {
        "slots": 1,
        "queue": 2,
        "batch": 10,
        "call_ms": 200.0,
        "piece_ms": 10.0,
        "room_bytes": 1_000_000,
        "retention_s": 4.0,
    }
    return PieceLimits(**{**defaults, **fields})


def staged_route(*stages, **fields):
    """Return a streaming route with stages, with `fields` replaced."""
    defaults = {
        "route_id": RouteId("r"),
        "host": "h",
        "path_prefix": "/",
        "kind": RouteKind.STREAM,
        "services": (WeightedService(ServiceId("engine"), 1.0),),
        "timeout_ms": 8_000.0,
        "aim_ms": 2_000.0,
        "priority": 0,
        "stages": stages,
    }
    return Route(**{**defaults, **fields})


def request_for(route, counts, capacity_by_service, **fields):
    """Return a request that has just arrived, with `fields` replaced."""
    defaults = {
        "priority": 0,
        "fingerprint": "f",
        "first_byte_s": 0.1,
        "elapsed_s": 0.0,
        "timeout_s": route.timeout_ms / 1_000.0,
        "now": 0.0,
    }
    return AdmissionRequest(
        route, counts, capacity_by_service, **{**defaults, **fields}
    )
