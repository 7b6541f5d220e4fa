"""Decide whether to admit a request with stages, or when its caller should retry.

Called once for each such request, before anything is sent for it. A request is admitted
if its expected response time is within a limit. The expected response time is the sum
of the time already elapsed, the critical path of its stages, the delay by the backlog
of the most delayed stage (over all entries, less what it computes until the request
reaches it), the engine's time to the first byte, and the recent forecast error of the
route.

- For a first try, the limit covers the critical path and a fraction of the slack, that
  is, of the rest of the route's latency target (`aim_ms`). The fraction grows with the
  urgency of the request; all routes below the highest priority have the same one,
  except at contended services (`_levels`).
- A retry that can still meet the target, counted from its first try, is admitted if it
  can be answered within the target, because its caller waited as told.
- A retry that can no longer meet the target is admitted only while the queues are
  short: its pieces are queued behind all others, and holding it is useless if it then
  starves.
- A stream that its caller resumes is admitted if it can go on within the allowed time:
  its first event has arrived, and a refusal loses what its caller has received. It is
  not late, and says nothing of the time since a first try.
- Where hardly anything waits before a request, refusing it shortens nothing: the error
  of forecasts is then due to something else, such as entries that are late. It is
  admitted if it can be answered within the target.
- No limit exceeds a fixed fraction of the allowed time.

Here, a retry is a request that its caller sends again after a refusal.

`leadford.forwarding.answers` decides the response to the caller, and
`leadford.forwarding.batching` the order of the pieces. Admission in
`leadford.pipelines.admission` follows a different rule: it compares the predicted
completion on single endpoints with deadlines, without batches and caller retries.
"""

from random import Random

import msgspec

from leadford.forwarding.admission._error import ForecastError
from leadford.forwarding.admission._first_try import FirstTryTimes
from leadford.forwarding.admission._forecast import (
    StageDelay,
    StageForecast,
)
from leadford.forwarding.admission._judged import (
    JudgedRequest,
    is_too_long,
    longest_delay,
)
from leadford.forwarding.admission._levels import LevelForecast
from leadford.forwarding.admission._limits import (
    DEADLINE_FRACTION,
    LimitTerms,
    limit_s,
)
from leadford.forwarding.admission._request import (
    AdmissionDecision,
    AdmissionRequest,
    Verdict,
)
from leadford.forwarding.admission._reservations import (
    RetryReservation,
    RetryReservations,
)
from leadford.forwarding.admission._retry_after import retry_after_s
from leadford.forwarding.admission._shares import AdmittedShares
from leadford.forwarding.admission._usual_wait import CommonTimeouts
from leadford.forwarding.batching import AdmittedBacklog
from leadford.forwarding.routes import Route, RouteId, ServiceId

# Delay with which an entry may learn of a refusal, and time by which a first try
# precedes its refusal: slightly more than a heartbeat interval.
REFUSAL_NEWS_DELAY_S = 0.5
# Maximum correction of a forecast as a fraction of the target.
MAX_ERROR_FRACTION = 0.6


class ForwardAdmission:
    """Admit or refuse requests with stages by the delay of their most delayed stage."""

    def __init__(
        self,
        *,
        backlog: AdmittedBacklog,
        reservations: RetryReservations,
        random: Random,
    ) -> None:
        self.backlog = backlog
        self.reservations = reservations
        self.random = random
        self.error_by_route_: dict[RouteId, ForecastError] = {}
        # Errors without the bound of corrections, also of requests that this entry
        # delayed itself: whether answers come in time at all.
        self.whole_error_by_route_: dict[RouteId, ForecastError] = {}
        self.first_tries_ = FirstTryTimes()
        self.common_timeouts_ = CommonTimeouts()
        self.shares_ = AdmittedShares()

    def decide(self, request: AdmissionRequest) -> AdmissionDecision:
        """Return the verdict, and record a refused request as a reservation."""
        judged = self._judge(request)
        if request.is_booked and can_keep_booking(request):
            # If it is late, its pieces are queued behind all that are in time.
            self._record_admitted(request, judged.forecast)
            return msgspec.structs.replace(judged.admission, is_caller_retry=True)
        too_long = [
            delay for delay in judged.delays if is_too_long(request, judged, delay)
        ]
        if not too_long:
            self._record_admitted(request, judged.forecast)
            return judged.admission
        return self._refuse(request, judged, longest_delay(too_long).service_id)

    def _judge(self, request: AdmissionRequest) -> JudgedRequest:
        """Return what the verdict on a request follows from, and learn from it."""
        refused = self.reservations.find(request.fingerprint, request.now)
        inferred_s = self._inferred_first_try_s(request)
        is_caller_retry = refused is not None or inferred_s is not None
        since_first_try_s = self._first_try_s(request, refused)
        if inferred_s is not None:
            since_first_try_s = inferred_s
        forecast = self._forecast(request)
        critical_path_s = forecast.shared_path_s(self.backlog, request.now)
        min_answer_s = request.elapsed_s + critical_path_s + request.first_byte_s
        is_late = is_caller_retry and since_first_try_s + min_answer_s > request.aim_s
        limits = LimitTerms(critical_path_s, is_caller_retry, is_late)
        engine_delay_s = max(0.0, request.endpoint_wait_s - critical_path_s)
        delays = (
            StageDelay(engine_delay_s, None),
            *forecast.delays(self.backlog, request.now, is_late=is_late),
        )
        error_s = self._forecast_error(request.route).value_s(request.now)
        longest = longest_delay(delays)
        admission = AdmissionDecision(
            Verdict.ADMIT,
            min_answer_s + longest.delay_s + error_s,
            error_s,
            limit_s=limit_s(request, limits, longest.service_id),
            is_caller_retry=is_caller_retry,
            since_first_try_s=since_first_try_s,
            is_late=is_late,
            is_refusal_known=refused is not None,
            level=request.level_at(None),
            delay=longest,
        )
        whole_error_s = self._whole_error(request.route).value_s(request.now)
        return JudgedRequest(
            forecast, limits, delays, min_answer_s, whole_error_s, admission
        )

    def _refuse(
        self,
        request: AdmissionRequest,
        judged: JudgedRequest,
        short_id: ServiceId | None,
    ) -> AdmissionDecision:
        """Return a refusal for the delay at a service, and record it."""
        wait_s = retry_after_s(
            request,
            judged.limits.critical_path_s,
            longest_delay(judged.delays).delay_s,
            random=self.random,
        )
        self._record_refused(request, judged.forecast, wait_s)
        return msgspec.structs.replace(
            judged.admission,
            verdict=Verdict.REFUSE,
            limit_s=limit_s(request, judged.limits, short_id),
            retry_after_s=wait_s,
            short_service_id=short_id,
            level=request.level_at(short_id),
        )

    def _record_refused(
        self, request: AdmissionRequest, forecast: StageForecast, wait_s: float
    ) -> None:
        """Record a refused request as a reservation.

        Units: wait_s is the retry delay in seconds.
        """
        reservation = RetryReservation(
            request.fingerprint,
            request.now + wait_s,
            request.route.is_urgent,
            forecast.pieces_by_service(),
            request.now,
        )
        self.reservations.record(reservation, is_own=True)

    def _record_admitted(
        self, request: AdmissionRequest, forecast: StageForecast
    ) -> None:
        """Count the pieces of an admitted request for the shares of workspaces."""
        if request.workspace_id is None:
            return
        self.shares_.record_request(
            request.workspace_id,
            forecast.pieces_by_service(),
            request.contended_ids,
            request.now,
        )

    def _forecast(self, request: AdmissionRequest) -> StageForecast:
        level_forecast = None
        if request.contended_ids:
            level_forecast = LevelForecast(
                request.levels, self.shares_, request.workspace_id
            )
        return StageForecast(
            route=request.route,
            counts=request.counts,
            capacity_by_service=request.capacity_by_service,
            level_forecast=level_forecast,
        )

    def is_return(self, request: AdmissionRequest) -> bool:
        """Tell whether a request looks like a retry, without recording its caller."""
        if self.reservations.find(request.fingerprint, request.now) is not None:
            return True
        if request.is_resumed or request.caller_timeout_s is None:
            return False
        since_first_try_s = self.common_timeouts_.since_first_try_s(
            request.route.route_id, request.caller_timeout_s
        )
        return since_first_try_s is not None

    def _inferred_first_try_s(self, request: AdmissionRequest) -> float | None:
        """Infer the time since the first try from the timeouts that callers state.

        None for a first try, a resumed stream, and if the callers of the route have no
        common timeout.
        """
        if request.is_resumed or request.caller_timeout_s is None:
            return None
        route_id = request.route.route_id
        self.common_timeouts_.record(route_id, request.caller_timeout_s)
        return self.common_timeouts_.since_first_try_s(
            route_id, request.caller_timeout_s
        )

    def _first_try_s(
        self, request: AdmissionRequest, refused: RetryReservation | None
    ) -> float:
        """Return the time since the first try of a retry, 0 where it is unknown."""
        if request.is_resumed or request.caller_timeout_s is None:
            return 0.0
        route_id = request.route.route_id
        self.first_tries_.record(route_id, request.caller_timeout_s)
        if refused is None:
            return 0.0
        since_first_try_s = self.first_tries_.since_first_try_s(
            route_id, request.caller_timeout_s
        )
        # Callers of one route may state different timeouts.
        return min(
            since_first_try_s, request.now - refused.known_at + REFUSAL_NEWS_DELAY_S
        )

    def record_response_time(
        self, route: Route, uncorrected_s: float, actual_s: float, now: float
    ) -> None:
        """Update the forecast error of a route from an actual response time.

        Units: uncorrected_s is the forecast in seconds, as it was without a correction;
        the error known now may be another one.
        """
        known = self._forecast_error(route)
        error_s = actual_s - uncorrected_s
        aim_s = route.aim_ms / 1_000.0
        known.update(min(max(error_s, 0.0), MAX_ERROR_FRACTION * aim_s), now)
        self.record_own_delay(route, uncorrected_s, actual_s, now)

    def record_own_delay(
        self, route: Route, uncorrected_s: float, actual_s: float, now: float
    ) -> None:
        """Record the response time of a request that this entry may have delayed.

        For a request without an answer, the time for which it has waited in vain.

        Units: seconds, as for `record_response_time`.
        """
        error_s = actual_s - uncorrected_s
        aim_s = route.aim_ms / 1_000.0
        self._whole_error(route).update(min(max(error_s, 0.0), aim_s), now)

    def _forecast_error(self, route: Route) -> ForecastError:
        """Return the average by which recent forecasts for a route were too short."""
        return self.error_by_route_.setdefault(route.route_id, ForecastError())

    def _whole_error(self, route: Route) -> ForecastError:
        """Return the same without the bound of corrections, whoever delayed answers."""
        return self.whole_error_by_route_.setdefault(route.route_id, ForecastError())


def can_keep_booking(request: AdmissionRequest) -> bool:
    """Return whether a request can meet its deadline without any backlog."""
    for stage, count in zip(request.route.stages, request.counts, strict=True):
        capacity = request.capacity_by_service.get(stage.service_id)
        if count > 0 and (capacity is None or capacity.endpoints == 0):
            return False
    forecast = StageForecast(
        route=request.route,
        counts=request.counts,
        capacity_by_service=request.capacity_by_service,
    )
    answer_s = forecast.critical_path_s() + request.first_byte_s
    return request.elapsed_s + answer_s <= DEADLINE_FRACTION * request.timeout_s
