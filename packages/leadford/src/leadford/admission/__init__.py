"""Admit work only while its deadline can still be met."""

from leadford.admission._deferral import Deferral
from leadford.admission._endpoint import EndpointAdmission, ServiceEstimate
from leadford.admission._entitlement import EntitlementLedger
from leadford.admission._entry import (
    AdmissionVerdict,
    EntryAdmission,
    PoolForecast,
    StageNeed,
    forecast_pool,
)
from leadford.admission._forward import (
    AdmissionDecision,
    ForwardAdmission,
    Promise,
    RefusedMemory,
    StageCapacity,
    Verdict,
)
from leadford.admission._headroom import Headroom

__all__ = [
    "AdmissionDecision",
    "AdmissionVerdict",
    "Deferral",
    "EndpointAdmission",
    "EntitlementLedger",
    "EntryAdmission",
    "ForwardAdmission",
    "Headroom",
    "PoolForecast",
    "Promise",
    "RefusedMemory",
    "ServiceEstimate",
    "StageCapacity",
    "StageNeed",
    "Verdict",
    "forecast_pool",
]
