"""Book the return of one refused request, and claim its booking when it returns.

Called before and after the decision of admission. Where no service of the request is
contended, nothing is asked, and nothing changes. `leadford.forwarding.admission`
decides which times are useful.
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
    """Claim and book for one request."""

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
        self.until_: float | None = None

    async def claim(self, request: AdmissionRequest) -> AdmissionRequest:
        """Return the request as of now, marked if capacity was booked for it."""
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
            request.fingerprint, service_ids, self._until()
        )
        self.progress.is_return_kept_ = is_booked
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
        """Return a refusal with the time that was booked, if there is one.

        A return that was not recognized is admitted: its booking is due.
        """
        service_id = decision.short_service_id
        if service_id is None or not self._is_bookable(service_id):
            return decision
        query = booking_query(request, decision)
        if query is None:
            return decision
        bookings = self.state.bookings_
        return_s = await bookings.book(service_id, query, self._until())
        if return_s is None:
            return decision
        if is_due(return_s):
            is_kept = await bookings.claim(
                request.fingerprint, [service_id], self._until()
            )
            self.progress.is_return_kept_ = is_kept
            return admit_booked(request, decision) if is_kept else decision
        self.progress.booked_s_ = return_s
        self.state.reservations_.record_return_time(
            request.fingerprint, self.state.now() + return_s
        )
        return msgspec.structs.replace(decision, retry_after_s=return_s)

    def _is_bookable(self, service_id: ServiceId) -> bool:
        bookings = self.state.bookings_
        return bookings is not None and bookings.owner(service_id) is not None

    def _until(self) -> float:
        """Return when the queries of this request end."""
        if self.until_ is None:
            self.until_ = self.state.now() + MAX_BOOKING_WAIT_S
        return self.until_
