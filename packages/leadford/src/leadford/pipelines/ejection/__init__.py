"""Keep work away from endpoints that fail or lag, and let them come back."""

from leadford.pipelines.ejection._outliers import (
    EjectionEvent,
    EndpointState,
    OutlierEjector,
)

__all__ = ["EjectionEvent", "EndpointState", "OutlierEjector"]
