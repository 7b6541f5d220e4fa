"""Lay out, start and disturb a small fleet of real processes on loopback."""

from leadford_standins.fleet._layout import (
    EndpointSpec,
    FleetSpec,
    api_key,
    operator_token,
)
from leadford_standins.fleet._presets import association, damier, deployments
from leadford_standins.fleet._processes import Fleet, FleetFile
from leadford_standins.fleet._serve import serve_spec

__all__ = [
    "EndpointSpec",
    "Fleet",
    "FleetFile",
    "FleetSpec",
    "api_key",
    "association",
    "damier",
    "deployments",
    "operator_token",
    "serve_spec",
]
