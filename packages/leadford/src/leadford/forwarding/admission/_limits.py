"""Bound the expected response time with which a request is admitted.

`_decision` says which limit applies to which request, and why.
"""

import msgspec

from leadford.forwarding.admission._levels import level_slack_fraction
from leadford.forwarding.admission._request import AdmissionRequest
from leadford.forwarding.routes import ServiceId

# Fraction of the slack that the backlog may take from a first try on a route of the
# highest priority: for the most urgent workspace, the reduction for each further step
# of priority, and the minimum.
SLACK_FRACTION_URGENT = 0.9
SLACK_FRACTION_STEP = 0.1
MIN_SLACK_FRACTION_URGENT = 0.75
# The same for routes below the highest priority. Their pieces wait behind urgent ones,
# and a refused request has to be retried, queued and served within the same target. A
# queue of half the slack serves as many requests and leaves time for that.
SLACK_FRACTION_LESS_URGENT = 0.5
# The same for a retry that can no longer meet its target: it is admitted only while
# the queues are short, because its pieces are queued behind all others.
SLACK_FRACTION_LATE = 0.3
# Multiple of the target within which the answer to a retry must be expected. With a
# larger one, every request is retried and late under sustained load.
RETRY_AIM_FRACTION = 1.0
# Fraction of the allowed time that no expected response time may exceed.
DEADLINE_FRACTION = 0.85


class LimitTerms(msgspec.Struct, frozen=True):
    """Hold what the limits of one request depend on at all of its services."""

    critical_path_s: float
    is_caller_retry: bool
    is_late: bool


def limit_s(
    request: AdmissionRequest, terms: LimitTerms, service_id: ServiceId | None
) -> float:
    """Return the longest expected response time with which a request is admitted.

    `service_id` is the service that delays it, None for its engine.
    """
    critical_path_s = terms.critical_path_s
    if terms.is_late:
        return _slack_limit_s(request, critical_path_s, SLACK_FRACTION_LATE)
    if terms.is_caller_retry or request.is_resumed:
        return in_time_s(request)
    if service_id is not None and service_id in request.contended_ids:
        fraction = level_slack_fraction(
            request.levels.level(service_id), request.priority
        )
        return _slack_limit_s(request, critical_path_s, fraction)
    if not request.route.is_urgent:
        return _slack_limit_s(request, critical_path_s, SLACK_FRACTION_LESS_URGENT)
    fraction = SLACK_FRACTION_URGENT - SLACK_FRACTION_STEP * request.priority
    return _slack_limit_s(
        request, critical_path_s, max(MIN_SLACK_FRACTION_URGENT, fraction)
    )


def in_time_s(request: AdmissionRequest) -> float:
    """Return the longest response time that is in time for the caller.

    Units: seconds.
    """
    return min(
        DEADLINE_FRACTION * request.timeout_s, RETRY_AIM_FRACTION * request.aim_s
    )


def _slack_limit_s(
    request: AdmissionRequest, critical_path_s: float, fraction: float
) -> float:
    """Return the limit if the backlog may take a fraction of the slack.

    The slack is the rest of the target after the minimum response time.
    """
    min_answer_s = request.elapsed_s + critical_path_s + request.first_byte_s
    limit_s = min_answer_s + fraction * max(0.0, request.aim_s - min_answer_s)
    return min(limit_s, DEADLINE_FRACTION * request.timeout_s)
