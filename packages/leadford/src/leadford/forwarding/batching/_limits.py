"""Decide how long to wait for calls, schedulers and stages.

Called by the scheduler of a group (calls), by the entry that holds a request (answers
of schedulers, the check of its stages) and by its attempts (inputs that an engine
fetches). The limits are derived from the expected duration of calls. What happens after
a limit is decided in `_remake` and in `leadford.forwarding.answers`.
"""

from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits

# A call counts as lost after this multiple of its expected duration, plus the slack. A
# longer wait would leave a request no time to make the pieces again.
CALL_DURATION_FACTOR = 1.6
CALL_SLACK_S = 0.25
# A scheduler counts as silent after this multiple of the expected wait and call
# duration, plus the slack.
SCHEDULER_DURATION_FACTOR = 3.0
SCHEDULER_SLACK_S = 2.5
# Fraction of a request's time after which its stages are checked: those that cannot end
# in time are given up while the caller can still use the answer.
STAGES_CHECK_FRACTION = 0.42
# Time after which an idle endpoint has certainly started a call and fetched its inputs,
# which then need no room any more.
CALL_INPUTS_READ_S = 0.08
# Time after sending a request by which an engine without a queue has fetched its
# inputs.
ENGINE_INPUTS_READ_S = 0.15


def call_limit_s(
    limits: PieceLimits, pieces: int, *, calls_ahead: int, slowness: float
) -> float:
    """Return how long to wait for a call at an endpoint.

    `calls_ahead` is the number of calls before it; `slowness` is the ratio of actual to
    expected call duration there.

    Units: seconds.
    """
    expected_s = limits.duration_ms(pieces) / 1_000.0 * (1 + calls_ahead)
    return expected_s * CALL_DURATION_FACTOR * max(1.0, slowness) + CALL_SLACK_S


def scheduler_limit_at(limits: PieceLimits, wait_s: float, now: float) -> float:
    """Return until when to wait for a scheduler's answer to a piece sent now.

    Units: wait_s in seconds, the expected wait for a call; now and the result are
    moments of the monotonic clock.
    """
    expected_s = wait_s + limits.full_call_s
    return now + expected_s * SCHEDULER_DURATION_FACTOR + SCHEDULER_SLACK_S


def stages_check_at(received_at: float, deadline: float) -> float:
    """Return when to check whether the stages of a request can end in time.

    Units: a moment of the monotonic clock in seconds.
    """
    return received_at + STAGES_CHECK_FRACTION * (deadline - received_at)


def can_stages_end_in_time(needed_s: float, left_s: float) -> bool:
    """Tell whether stages can end in the time left, and so continue."""
    return needed_s <= left_s


def engine_fetches_immediately(record: EndpointRecord, now: float) -> bool:
    """Tell whether an engine fetches the inputs of a request as soon as it is sent.

    It does so while no request waits there and a slot is free, according to its last
    load report and the requests of this process.
    """
    load = record.load_
    if load is None or load.waiting > 0:
        return False
    return record.other_load(now) + record.in_flight_ <= load.slots
