"""Decide whether to admit a request with stages, before anything is sent for it."""

from leadford.forwarding.admission._bookings import (
    DUE_WITHIN_S,
    BookingLedger,
    BookingQuery,
    ClaimEnd,
    pieces_per_s,
)
from leadford.forwarding.admission._decision import ForwardAdmission
from leadford.forwarding.admission._forecast import StageCapacity, StageDelay
from leadford.forwarding.admission._request import (
    AdmissionDecision,
    AdmissionRequest,
    Verdict,
)
from leadford.forwarding.admission._reservations import (
    RetryReservation,
    RetryReservations,
)
from leadford.forwarding.admission._return_window import (
    admit_booked,
    booking_query,
    is_due,
)

__all__ = [
    "DUE_WITHIN_S",
    "AdmissionDecision",
    "AdmissionRequest",
    "BookingLedger",
    "BookingQuery",
    "ClaimEnd",
    "ForwardAdmission",
    "RetryReservation",
    "RetryReservations",
    "StageCapacity",
    "StageDelay",
    "Verdict",
    "admit_booked",
    "booking_query",
    "is_due",
    "pieces_per_s",
]
