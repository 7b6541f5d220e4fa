"""Choose the delay after which the caller of a refused request should retry."""

from random import Random

from leadford.forwarding.admission._request import AdmissionRequest

# Fraction of the slack that the backlog may still take when a refused request is
# retried.
RETRY_SLACK_FRACTION = 0.55
MIN_RETRY_AFTER_S = 0.25
# The longest retry delay is the remaining time divided by this.
MAX_RETRY_AFTER_DIVISOR = 3.0
# Maximum fraction by which a retry delay is lengthened at random.
JITTER_FRACTION = 0.15


def retry_after_s(
    request: AdmissionRequest,
    critical_path_s: float,
    queue_delay_s: float,
    *,
    random: Random,
) -> float:
    """Return the retry delay of a refused request, with random jitter.

    A request that cannot meet its target whenever it is retried gets the longest delay,
    which leaves the most time to process the backlog.

    Units: seconds.
    """
    remaining_s = request.timeout_s - request.elapsed_s
    max_retry_after_s = max(MIN_RETRY_AFTER_S, remaining_s / MAX_RETRY_AFTER_DIVISOR)
    slack_s = request.aim_s - critical_path_s - request.first_byte_s
    wait_s = queue_delay_s - RETRY_SLACK_FRACTION * slack_s
    if wait_s > slack_s:
        return max_retry_after_s
    jitter = random.uniform(1.0, 1.0 + JITTER_FRACTION)
    return min(max(MIN_RETRY_AFTER_S, wait_s) * jitter, max_retry_after_s)
