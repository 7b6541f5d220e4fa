"""Decide whether to admit a request with stages, before anything is sent for it."""

from leadford.forwarding.admission._decision import (
    AdmissionDecision,
    AdmissionRequest,
    ForwardAdmission,
    Verdict,
)
from leadford.forwarding.admission._forecast import StageCapacity
from leadford.forwarding.admission._reservations import (
    RetryReservation,
    RetryReservations,
)

__all__ = [
    "AdmissionDecision",
    "AdmissionRequest",
    "ForwardAdmission",
    "RetryReservation",
    "RetryReservations",
    "StageCapacity",
    "Verdict",
]
