"""Bound the return time of a refused caller, and admit it if its booking is due.

The return time is not before the forecast expects the backlog to allow it, not beyond
the maximum retry delay, and early enough to answer by the deadline, and within the
latency target if that is still possible. A request that cannot meet its target books at
the lowest level, and waits behind those that can be in time. An entry may not recognize
a caller retry; the scheduler then answers a booking request with the booking that is
due.
"""

import msgspec

from leadford.forwarding.admission._bookings import MAX_EARLY_CLAIM_S, BookingQuery
from leadford.forwarding.admission._decision import can_keep_booking
from leadford.forwarding.admission._forecast import StageForecast
from leadford.forwarding.admission._limits import DEADLINE_FRACTION
from leadford.forwarding.admission._request import (
    AdmissionDecision,
    AdmissionRequest,
    Verdict,
)
from leadford.forwarding.admission._retry_after import (
    MAX_RETRY_AFTER_DIVISOR,
    MIN_RETRY_AFTER_S,
)
from leadford.forwarding.routes import PRIORITY_LOWEST


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
    answer_s = forecast.critical_path_s() + request.first_byte_s
    # With the time that remains after the wait, `can_keep_booking` must still hold.
    latest_s = min(
        remaining_s / MAX_RETRY_AFTER_DIVISOR,
        remaining_s - answer_s / DEADLINE_FRACTION,
    )
    if pieces == 0 or latest_s < MIN_RETRY_AFTER_S:
        return None
    level = request.route.priority
    since_first_try_s = decision.since_first_try_s + request.elapsed_s
    latest_in_target_s = request.aim_s - since_first_try_s - answer_s
    if latest_in_target_s >= MIN_RETRY_AFTER_S:
        latest_s = min(latest_s, latest_in_target_s)
    else:
        level = PRIORITY_LOWEST
    return BookingQuery(
        request.fingerprint,
        level,
        pieces,
        min(decision.retry_after_s, latest_s),
        latest_s,
    )


def is_due(return_s: float) -> bool:
    """Return whether a booking can be claimed now, given its return time.

    A new booking has a later return time, so a due one was made for an earlier try.

    Units: return_s in seconds from now.
    """
    return return_s <= MAX_EARLY_CLAIM_S


def admit_booked(
    request: AdmissionRequest, decision: AdmissionDecision
) -> AdmissionDecision:
    """Admit a refused request whose booking was found only after the decision."""
    if not can_keep_booking(request):
        return decision
    return msgspec.structs.replace(decision, verdict=Verdict.ADMIT, retry_after_s=0.0)
