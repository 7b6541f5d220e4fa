"""Eject endpoints that fail or are slow, and restore them after probes."""

from leadford.pipelines.ejection._outliers import (
    EjectionEvent,
    EndpointState,
    OutlierEjector,
)

__all__ = ["EjectionEvent", "EndpointState", "OutlierEjector"]
