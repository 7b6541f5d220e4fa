"""Hold what the verdict on a request follows from, and tell which delays are too long.

A limit bounds what waits before a request, so that queues do not grow. Where hardly
anything waits, refusing the request shortens nothing: the error of forecasts is then
due to something else, such as entries that are late. Then only the target counts.
"""

from collections.abc import Iterable

import msgspec

from leadford.forwarding.admission._forecast import StageDelay, StageForecast
from leadford.forwarding.admission._limits import LimitTerms, in_time_s, limit_s
from leadford.forwarding.admission._request import AdmissionDecision, AdmissionRequest

# Fraction of the delay that a limit allows, up to which hardly anything waits.
MAX_SHORT_DELAY_FRACTION = 0.2


class JudgedRequest(msgspec.Struct, frozen=True):
    """Hold what the verdict on a request follows from.

    `admission` is the decision if it is admitted.

    Units: seconds. min_answer_s is the response time without any backlog, whole_error_s
    the error of forecasts without the bound of corrections.
    """

    forecast: StageForecast
    limits: LimitTerms
    delays: tuple[StageDelay, ...]
    min_answer_s: float
    whole_error_s: float
    admission: AdmissionDecision

    def expected_s(self, delay: StageDelay) -> float:
        """Return the expected response time by one of the delays, in seconds."""
        return self.min_answer_s + delay.delay_s + self.admission.error_s


def longest_delay(delays: Iterable[StageDelay]) -> StageDelay:
    """Return the longest of some delays, the first of several."""
    return max(delays, key=lambda delay: delay.delay_s)


def is_too_long(
    request: AdmissionRequest, judged: JudgedRequest, delay: StageDelay
) -> bool:
    """Return whether a delay is a reason to refuse a request."""
    max_s = limit_s(request, judged.limits, delay.service_id)
    if judged.expected_s(delay) <= max_s:
        return False
    min_answer_s = judged.min_answer_s
    short_delay_s = MAX_SHORT_DELAY_FRACTION * (max_s - min_answer_s)
    if delay.delay_s > short_delay_s:
        return True
    answered_s = min_answer_s + delay.delay_s + judged.whole_error_s
    return answered_s > in_time_s(request)
