"""Admit requests and attempts only while they can still meet their deadlines."""

from leadford.pipelines.admission._deferral import Deferral
from leadford.pipelines.admission._endpoint import EndpointAdmission, ServiceEstimate
from leadford.pipelines.admission._entitlement import EntitlementLedger
from leadford.pipelines.admission._entry import (
    AdmissionVerdict,
    EntryAdmission,
    PoolForecast,
    StageNeed,
    forecast_pool,
)
from leadford.pipelines.admission._headroom import Headroom

__all__ = [
    "AdmissionVerdict",
    "Deferral",
    "EndpointAdmission",
    "EntitlementLedger",
    "EntryAdmission",
    "Headroom",
    "PoolForecast",
    "ServiceEstimate",
    "StageNeed",
    "forecast_pool",
]
