"""Admit work only while its deadline can still be met."""

from leadford.admission._endpoint import EndpointAdmission, ServiceEstimate
from leadford.admission._entry import (
    AdmissionVerdict,
    EntryAdmission,
    PoolForecast,
    StageNeed,
    forecast_pool,
)

__all__ = [
    "AdmissionVerdict",
    "EndpointAdmission",
    "EntryAdmission",
    "PoolForecast",
    "ServiceEstimate",
    "StageNeed",
    "forecast_pool",
]
