"""Book the return of a refused request, and claim the booking when it returns.

`claim` runs before the decision of admission, `book` after a refusal. Both send nothing
if no service of the request is contended. `leadford.forwarding.admission` decides which
times of return are useful.
"""

import msgspec

from leadford.forwarding.admission import (
    AdmissionDecision,
    AdmissionRequest,
    ForwardAdmission,
    admit_booked,
    booking_query,
    is_due,
)
from leadford.forwarding.routes import ServiceId
from leadford_server.forwarding._progress import RequestProgress
from leadford_server.forwarding._state import ForwardState

# Time that all queries of one request may add to its answer.
MAX_BOOKING_WAIT_S = 0.04


class CallerReturn:
    """Claim a booking, or make one, for one request."""

    def __init__(
        self,
        *,
        state: ForwardState,
        admission: ForwardAdmission,
        progress: RequestProgress,
    ) -> None:
        self.state = state
        self.admission = admission
        self.progress = progress
        self.queries_end_at_: float | None = None

    async def claim(self, request: AdmissionRequest) -> AdmissionRequest:
        """Return the request, marked if a booking was found for it.

        Its times are those after the query, which may have taken a while.
        """
        if self.state.bookings_ is None or not self.admission.is_return(request):
            return request
        service_ids = [
            service_id
            for service_id in {
                stage.service_id: stage for stage in request.route.stages
            }
            if self._is_bookable(service_id)
        ]
        if not service_ids:
            return request
        is_booked = await self.state.bookings_.claim(
            request.fingerprint, service_ids, self._queries_end_at()
        )
        self.progress.has_booking_ = is_booked
        now = self.state.now()
        return msgspec.structs.replace(
            request,
            now=now,
            elapsed_s=request.elapsed_s + now - request.now,
            is_booked=is_booked,
        )

    async def book(
        self, request: AdmissionRequest, decision: AdmissionDecision
    ) -> AdmissionDecision:
        """Return the refusal with the booked time of return, if there is one.

        If the booked time is now, the request is a return that this entry did not
        recognize as one. It is admitted, unless its booking was claimed meanwhile.
        """
        service_id = decision.short_service_id
        if service_id is None or not self._is_bookable(service_id):
            return decision
        query = booking_query(request, decision)
        if query is None:
            return decision
        bookings = self.state.bookings_
        return_s = await bookings.book(service_id, query, self._queries_end_at())
        if return_s is None:
            return decision
        if is_due(return_s):
            has_booking = await bookings.claim(
                request.fingerprint, [service_id], self._queries_end_at()
            )
            self.progress.has_booking_ = has_booking
            return admit_booked(request, decision) if has_booking else decision
        self.progress.booked_s_ = return_s
        self.state.reservations_.record_return_time(
            request.fingerprint, self.state.now() + return_s
        )
        return msgspec.structs.replace(decision, retry_after_s=return_s)

    def _is_bookable(self, service_id: ServiceId) -> bool:
        bookings = self.state.bookings_
        return bookings is not None and bookings.owner(service_id) is not None

    def _queries_end_at(self) -> float:
        """Return when the queries of this request end, counted from the first one."""
        if self.queries_end_at_ is None:
            self.queries_end_at_ = self.state.now() + MAX_BOOKING_WAIT_S
        return self.queries_end_at_
