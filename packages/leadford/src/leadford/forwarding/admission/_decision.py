"""Decide whether a request with stages begins, or is told when to come back.

Called once for each such request, before anything is sent for it. The rule: a request
is admitted if its answer is expected within a limit. Expected is what has passed, the
longest path of its stages, the backlog of the stage that is the furthest behind (over
all entries), the engine, and by how much such forecasts were too short lately.

- For a newcomer the limit leaves what the path takes and a part of the rest of its aim,
  the larger the more urgent it is; routes below the highest priority share one part.
- A request that returns and can still be in time, counted from its first try, is
  admitted while it can be answered within its aim: it has waited as it was told.
- One that cannot be in time any more is admitted only while the queues are short: its
  pieces go behind all others, and one that then starves was held for nothing.
- None goes beyond a part of the time that the caller gave.

What the caller is told stands in `leadford.forwarding.answers`; the order of match
work in `leadford.forwarding.batching`. Admission of the own interface
(`leadford.pipelines.admission`) is another rule: it compares predicted finishes of
single endpoints with deadlines, and knows neither batches nor returns.
"""

from enum import Enum
from random import Random

import msgspec

from leadford.common import Ewma
from leadford.forwarding.admission._first_try import FirstTryTimes
from leadford.forwarding.admission._forecast import StageCapacity, StageForecast
from leadford.forwarding.admission._reservations import (
    RetryReservation,
    RetryReservations,
)
from leadford.forwarding.admission._usual_wait import UsualWaits
from leadford.forwarding.batching import AdmittedBacklog
from leadford.forwarding.routes import Route, RouteId, ServiceId

# Part of its aim, less the path, that a backlog may take of a newcomer; for the most
# urgent workspace, less a step for each priority, and the least for any.
SPARE_PART_URGENT = 0.9
SPARE_PART_STEP = 0.1
SPARE_PART = 0.75
# The same for routes below the highest priority. Their pieces wait behind urgent ones,
# and who is refused has to come back, wait and be served within the same aim: a queue
# of half of what the path leaves serves as many, and leaves that time.
SPARE_PART_LESS_URGENT = 0.5
# The same for a request that cannot be in time any more: it is let in only while the
# queues are short, because its pieces go behind all others.
SPARE_PART_LATE = 0.3
# Aims within which the answer to a request that returns must be expected: with more,
# under lasting load everybody returns and is late.
RETURN_AIMS = 1.0
# Seconds by which an entry may hear of a refusal later than it was given, and by which
# a first try lies before its refusal: a heartbeat and a little more.
HEARD_LATE_S = 0.5
# Part of the caller's time that no expected answer may exceed.
DEADLINE_PART = 0.85
# Part of the time that path and engine leave of the aim, which the backlog may still
# fill when a refused request comes back.
RETURN_PART = 0.55
# Seconds. Nobody is told to come back sooner.
RETRY_MIN_S = 0.25
# Nobody is told to come back later than after the time left divided by this.
RETRY_MOST_DIVISOR = 3.0
# Part by which times to come back are spread at random.
JITTER = 0.15
# Part of the aim that a forecast may be corrected by, and the weight of the newest
# error.
ERROR_MOST_PART = 0.6
ERROR_WEIGHT = 0.15


class Verdict(Enum):
    """Say whether a request is admitted."""

    ADMIT = "admit"
    REFUSE = "refuse"


class AdmissionRequest(msgspec.Struct, frozen=True):
    """Hold what admission has to know of one request.

    `counts` are the pieces of each stage of the route, `priority` that of the workspace
    where it has one. `fingerprint` tells whether two requests are the same one sent
    again.

    Units: seconds. engine_s is what the service takes to the first byte, held_s the
    time until one of its endpoints takes another request; elapsed_s and allowed_s count
    from the caller's sending; asked_s is what the caller itself allows, None where it
    does not say; now is a moment of the monotonic clock.
    """

    route: Route
    counts: tuple[int, ...]
    capacity_by_service: dict[ServiceId, StageCapacity]
    priority: int
    fingerprint: str
    engine_s: float
    elapsed_s: float
    allowed_s: float
    now: float
    asked_s: float | None = None
    held_s: float = 0.0

    @property
    def aim_s(self) -> float:
        """Return within which time the route aims to answer."""
        aim_ms = self.route.aim_ms
        return aim_ms / 1_000.0 if aim_ms > 0 else self.allowed_s


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Hold a verdict, the expected time of the answer, and when to come back.

    `is_return` tells that the request came before a short while ago, `is_late` that it
    cannot be in time any more, counted from its first try. `is_heard` tells that its
    refusal is known here, and not only from what its caller announces.

    Units: seconds; expected_s counts from the caller's sending, first_try_s is the time
    between the first try and this one.
    """

    verdict: Verdict
    expected_s: float
    retry_after_s: float = 0.0
    is_return: bool = False
    first_try_s: float = 0.0
    is_late: bool = False
    is_heard: bool = False


class ForwardAdmission:
    """Decide over requests with stages by the stage that is the furthest behind."""

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
        self.error_by_route_: dict[RouteId, Ewma] = {}
        self.first_tries_ = FirstTryTimes()
        self.usual_waits_ = UsualWaits()

    def decide(self, request: AdmissionRequest) -> AdmissionDecision:
        """Return the verdict, and remember who is told to come back."""
        refused = self.reservations.refused(request.fingerprint, request.now)
        announced_s = self._announced_s(request)
        is_return = refused is not None or announced_s is not None
        first_try_s = self._first_try_s(request, refused)
        if announced_s is not None:
            first_try_s = announced_s
        forecast = StageForecast(
            route=request.route,
            counts=request.counts,
            capacity_by_service=request.capacity_by_service,
        )
        path_s = forecast.path_s()
        least_s = request.elapsed_s + path_s + request.engine_s
        is_late = is_return and first_try_s + least_s > request.aim_s
        behind_s = forecast.delay_s(self.backlog, request.now, is_late=is_late)
        behind_s = max(behind_s, request.held_s - path_s)
        error_s = self._forecast_error(request.route).value_
        expected_s = least_s + behind_s + error_s
        if expected_s <= _limit_s(request, path_s, is_return, is_late):
            return AdmissionDecision(
                Verdict.ADMIT,
                expected_s,
                0.0,
                is_return,
                first_try_s,
                is_late,
                refused is not None,
            )
        wait_s = self._retry_after_s(request, path_s, behind_s)
        reservation = RetryReservation(
            request.fingerprint,
            request.now + wait_s,
            request.route.is_urgent,
            forecast.pieces_by_service(),
            request.now,
        )
        self.reservations.record(reservation, is_own=True)
        return AdmissionDecision(
            Verdict.REFUSE,
            expected_s,
            wait_s,
            is_return,
            is_heard=refused is not None,
        )

    def _announced_s(self, request: AdmissionRequest) -> float | None:
        """Return the time since the first try, by what callers of the route announce.

        None for a first try, and where callers announce nothing usual.
        """
        if request.asked_s is None:
            return None
        route_id = request.route.route_id
        self.usual_waits_.record(route_id, request.asked_s)
        return self.usual_waits_.since_s(route_id, request.asked_s)

    def _first_try_s(
        self, request: AdmissionRequest, refused: RetryReservation | None
    ) -> float:
        """Return the time since the first try of a request that returns."""
        if request.asked_s is None:
            return 0.0
        route_id = request.route.route_id
        self.first_tries_.record(route_id, request.asked_s)
        if refused is None:
            return 0.0
        since_s = self.first_tries_.since_s(route_id, request.asked_s)
        # Callers of one route need not all wait equally long.
        return min(since_s, request.now - refused.known_at + HEARD_LATE_S)

    def record_answered(self, route: Route, expected_s: float, actual_s: float) -> None:
        """Learn from the time that a request took against what was expected."""
        known = self._forecast_error(route)
        error_s = actual_s - (expected_s - known.value_)
        aim_s = route.aim_ms / 1_000.0
        known.update(min(max(error_s, 0.0), ERROR_MOST_PART * aim_s))

    def _forecast_error(self, route: Route) -> Ewma:
        """Return by how many seconds forecasts for a route were too short lately."""
        error = self.error_by_route_.get(route.route_id)
        if error is None:
            error = Ewma(initial=0.0, weight=ERROR_WEIGHT)
            self.error_by_route_[route.route_id] = error
        return error

    def _retry_after_s(
        self, request: AdmissionRequest, path_s: float, behind_s: float
    ) -> float:
        """Return when a refused request should come back, a little spread at random.

        One that cannot be in time whenever it comes back is told to come as late as it
        may: what is before it has the most time to be done.
        """
        left_s = request.allowed_s - request.elapsed_s
        most_s = max(RETRY_MIN_S, left_s / RETRY_MOST_DIVISOR)
        spare_s = request.aim_s - path_s - request.engine_s
        wait_s = behind_s - RETURN_PART * spare_s
        if wait_s > spare_s:
            return most_s
        wait_s = max(RETRY_MIN_S, wait_s) * self.random.uniform(1.0, 1.0 + JITTER)
        return min(wait_s, most_s)


def _limit_s(
    request: AdmissionRequest, path_s: float, is_return: bool, is_late: bool
) -> float:
    """Return until when the answer must be expected."""
    if is_late:
        return _spare_limit_s(request, path_s, SPARE_PART_LATE)
    if is_return:
        return min(DEADLINE_PART * request.allowed_s, RETURN_AIMS * request.aim_s)
    if not request.route.is_urgent:
        return _spare_limit_s(request, path_s, SPARE_PART_LESS_URGENT)
    part = SPARE_PART_URGENT - SPARE_PART_STEP * request.priority
    return _spare_limit_s(request, path_s, max(SPARE_PART, part))


def _spare_limit_s(request: AdmissionRequest, path_s: float, part: float) -> float:
    """Return until when an answer must be expected whose backlog may take a part.

    What the path itself takes is not to spare; a backlog may take a part of the rest.
    """
    least_s = request.elapsed_s + path_s + request.engine_s
    limit_s = least_s + part * max(0.0, request.aim_s - least_s)
    return min(limit_s, DEADLINE_PART * request.allowed_s)
