"""Say for each caller's request whether it was in time, and why not.

A caller's request is all of its tries: worth counts from the first. Rules only; the
records are read in `_records`.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from leadford_cli.days._records import RequestEnded

# Fraction of the latency target that the engine may take. Beyond it the engine, not the
# stages, made an answer late: an idle engine takes less for any prompt.
ENGINE_AIM_FRACTION = 0.25


class LossCause(Enum):
    """Say why a caller's request was not in time, or that it was.

    REFUSED: never served, refused once. REFUSED_AGAIN: refused when it came back.
    RETURNED_LATE: served after a refusal, too late for the first try. STAGES_LATE,
    ENGINE_LATE: stages or engine took too long. PAUSED: a pause between events.
    STAGES_FAILED, ATTEMPTS_FAILED, OUT_OF_TIME: begun and not served. CALLER_GONE: the
    caller left first. OTHER: anything else.
    """

    IN_TIME = "in time"
    REFUSED = "refused"
    REFUSED_AGAIN = "refused again"
    RETURNED_LATE = "returned, late"
    STAGES_LATE = "stages late"
    ENGINE_LATE = "engine late"
    PAUSED = "paused"
    STAGES_FAILED = "stages failed"
    ATTEMPTS_FAILED = "attempts failed"
    OUT_OF_TIME = "out of time"
    CALLER_GONE = "caller gone"
    OTHER = "other"


_CAUSE_BY_REASON = {
    "stages-failed": LossCause.STAGES_FAILED,
    "attempts-failed": LossCause.ATTEMPTS_FAILED,
    "out-of-time": LossCause.OUT_OF_TIME,
    "caller-gone": LossCause.CALLER_GONE,
}


class CallerRequest(msgspec.Struct, frozen=True):
    """Hold all tries of one caller's request.

    Units: received_at_s is when the first try was received, in seconds.
    """

    tries: tuple[RequestEnded, ...]
    cause: LossCause

    @property
    def received_at_s(self) -> float:
        """Return when the first try was received."""
        return self.tries[0].received_at_s

    @property
    def last(self) -> RequestEnded:
        """Return the last try."""
        return self.tries[-1]


def caller_requests(ends: Iterable[RequestEnded]) -> list[CallerRequest]:
    """Return the requests of callers whose routes have stages, by their first try."""
    tries_by_fingerprint: dict[tuple[str, str], list[RequestEnded]] = {}
    for end in ends:
        if not end.pieces_by_service:
            continue
        key = (end.route, end.fingerprint)
        tries_by_fingerprint.setdefault(key, []).append(end)
    found = []
    for tries in tries_by_fingerprint.values():
        tries.sort(key=lambda end: end.received_at_s)
        found.append(CallerRequest(tuple(tries), loss_cause(tries)))
    found.sort(key=lambda request: request.received_at_s)
    return found


def loss_cause(tries: list[RequestEnded]) -> LossCause:
    """Return why a request with these tries was not in time, or that it was."""
    last = tries[-1]
    if not last.is_answered:
        return _not_served(tries)
    before_ms = (last.received_at_s - tries[0].received_at_s) * 1_000.0
    if before_ms + last.first_ms > last.aim_ms:
        if len(tries) > 1 and last.first_ms <= last.aim_ms:
            return LossCause.RETURNED_LATE
        engine_ms = last.first_ms - max(0, last.stages_ms)
        is_engine = engine_ms > ENGINE_AIM_FRACTION * last.aim_ms > 0.0
        return LossCause.ENGINE_LATE if is_engine else LossCause.STAGES_LATE
    if last.gap_aim_ms > 0.0 and last.pause_ms > last.gap_aim_ms:
        return LossCause.PAUSED
    return LossCause.IN_TIME


def _not_served(tries: list[RequestEnded]) -> LossCause:
    last = tries[-1]
    if last.reason == "not-admitted":
        refused = [end for end in tries if end.reason == "not-admitted"]
        return LossCause.REFUSED_AGAIN if len(refused) > 1 else LossCause.REFUSED
    return _CAUSE_BY_REASON.get(last.reason, LossCause.OTHER)
