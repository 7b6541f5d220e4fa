"""Decide whether a request with stages begins, before anything is sent for it."""

from leadford.forwarding.admission._forward import (
    AdmissionDecision,
    ForwardAdmission,
    Promise,
    RefusedMemory,
    StageCapacity,
    Verdict,
)

__all__ = [
    "AdmissionDecision",
    "ForwardAdmission",
    "Promise",
    "RefusedMemory",
    "StageCapacity",
    "Verdict",
]
