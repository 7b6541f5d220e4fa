"""Decide how long calls, schedulers and stages are waited for.

Called by the scheduler of a group (calls), by the entry that holds a request (answers
of schedulers, the check of its stages) and by its attempts (inputs that an engine
fetches). All of it follows from the expected time of calls; what happens afterwards is
decided in `_remake` and in `leadford.forwarding.answers`.
"""

from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits

# A call is held lost after so many times its expected time, and so many seconds more:
# an aim of 1.1 s leaves no time to wait 1.3 s for a call of 0.37 s.
CALL_TIMES = 1.6
CALL_SLACK_S = 0.25
# A scheduler is held silent after so many times the expected wait and call, and so many
# seconds more.
SCHEDULER_TIMES = 3.0
SCHEDULER_SLACK_S = 2.5
# Part of a request's time after which its stages are looked at: those that cannot end
# in time are given up while the caller can still use the answer.
CHECK_PART = 0.42
# Seconds after which an endpoint that was idle has surely begun a call, which it does
# by fetching the inputs, which then need no room any more.
CALL_INPUTS_READ_S = 0.08
# Seconds after sending to an engine without a queue, by which it has fetched the
# inputs.
ENGINE_INPUTS_READ_S = 0.15


def call_limit_s(
    limits: PieceLimits, pieces: int, *, calls_ahead: int, slowness: float
) -> float:
    """Return how long a call is waited for at an endpoint.

    `calls_ahead` are others before it, `slowness` is how many times longer than
    expected calls take there.

    Units: seconds.
    """
    expected_s = limits.duration_ms(pieces) / 1_000.0 * (1 + calls_ahead)
    return expected_s * CALL_TIMES * max(1.0, slowness) + CALL_SLACK_S


def scheduler_limit_at(limits: PieceLimits, wait_s: float, now: float) -> float:
    """Return until when a scheduler's answer for a piece that is sent now is awaited.

    Units: wait_s in seconds, the expected wait for a call; now and the result are
    moments of the monotonic clock.
    """
    expected_s = wait_s + limits.full_call_s
    return now + expected_s * SCHEDULER_TIMES + SCHEDULER_SLACK_S


def stages_check_at(received_at: float, deadline: float) -> float:
    """Return when the stages of a request are looked at.

    Units: a moment of the monotonic clock in seconds.
    """
    return received_at + CHECK_PART * (deadline - received_at)


def stages_end_in_time(needed_s: float, left_s: float) -> bool:
    """Tell whether stages that need some more time go on."""
    return needed_s <= left_s


def engine_fetches_at_once(record: EndpointRecord, now: float) -> bool:
    """Tell whether an engine fetches the inputs of a request as soon as it is sent.

    It does so while nothing waits there and a slot is free for it, as far as the last
    report and own requests show.
    """
    load = record.load_
    if load is None or load.waiting > 0:
        return False
    return record.waiting_elsewhere(now) + record.in_flight_ <= load.slots
