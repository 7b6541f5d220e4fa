"""Find when a refused caller may usefully return, and admit it when it has.

A booking is made not before the backlog allows it according to the forecast, not
later than callers wait, and early enough to be answered by the deadline. An entry may
not recognize a return; the scheduler then names the booking that is due.
"""

import msgspec

from leadford.forwarding.admission._bookings import MAX_EARLY_CLAIM_S, BookingQuery
from leadford.forwarding.admission._decision import (
    DEADLINE_FRACTION,
    MAX_RETRY_AFTER_DIVISOR,
    MIN_RETRY_AFTER_S,
    AdmissionDecision,
    AdmissionRequest,
    Verdict,
    can_keep_booking,
)
from leadford.forwarding.admission._forecast import StageForecast


def booking_query(
    request: AdmissionRequest, decision: AdmissionDecision
) -> BookingQuery | None:
    """Return the booking that a refused request needs; None if no return is useful."""
    forecast = StageForecast(
        route=request.route,
        counts=request.counts,
        capacity_by_service=request.capacity_by_service,
    )
    pieces = forecast.pieces_by_service().get(decision.short_service_id, 0)
    remaining_s = request.timeout_s - request.elapsed_s
    # After its return, the request is admitted within this part of the rest.
    answer_s = (forecast.critical_path_s() + request.first_byte_s) / DEADLINE_FRACTION
    latest_s = min(remaining_s / MAX_RETRY_AFTER_DIVISOR, remaining_s - answer_s)
    if pieces == 0 or latest_s < MIN_RETRY_AFTER_S:
        return None
    return BookingQuery(
        request.fingerprint,
        request.route.priority,
        pieces,
        min(decision.retry_after_s, latest_s),
        latest_s,
    )


def is_due(return_s: float) -> bool:
    """Return whether a booking may be claimed now, by when its caller may return.

    New bookings are made for later: the caller has returned for this one.
    """
    return return_s <= MAX_EARLY_CLAIM_S


def admit_booked(
    request: AdmissionRequest, decision: AdmissionDecision
) -> AdmissionDecision:
    """Admit a refused request whose booking was found only after the decision."""
    if not can_keep_booking(request):
        return decision
    return msgspec.structs.replace(decision, verdict=Verdict.ADMIT, retry_after_s=0.0)
