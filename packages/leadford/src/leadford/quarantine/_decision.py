"""Decide whether a request may run, given the endpoints that crashed while running it.

This guards against the following load pattern: callers send one request repeatedly, to
any entry, and each endpoint that starts to run it crashes together with everything
else that it runs. Limits on attempts and retry budgets count a single request or a
single service, so they stop harmless requests instead of this one.

Both programs ask before they admit a request and before each of its attempts. `_ledger`
decides what counts as a crash under a request and when that is retracted; `_apart`
decides where a suspected request runs.
"""

from enum import Enum

import msgspec

from leadford.quarantine._ledger import MIN_QUARANTINE_ENDS, Suspicion

# Weighted crashes from which a request runs apart from other suspected requests.
MIN_SUSPECT_ENDS = 1.0
# Weighted crashes from which its pieces share calls with no other request.
MIN_REPEATED_ENDS = 2.0
# Seconds after the last crash for which a request is refused. Then one attempt shows
# whether it still crashes its endpoint.
QUARANTINE_S = 600.0
# The same for a request that had been answered completely shortly before, until a run
# after that time crashes its endpoint: it may be harmless after all.
PROVEN_QUARANTINE_S = 10.0
# Seconds for which a complete answer speaks for a request, or for parts of its prompt.
PROVEN_S = 60.0
# Crashes later than this after a request or part was known come from a run that was let
# through to try it again; the others were under way.
FAILED_TRIAL_S = 6.0


class QuarantineAction(Enum):
    """List the ways in which a request may run; the values appear in logs."""

    RUN = "run"
    RUN_APART = "run-apart"
    REFUSE = "refuse"


class QuarantineVerdict(msgspec.Struct, frozen=True):
    """Hold how a request may run, and after what time it may be retried.

    Units: retry_after_s in seconds; 0 unless the action is REFUSE.
    """

    action: QuarantineAction
    retry_after_s: float = 0.0

    @property
    def refuses(self) -> bool:
        """Return whether the request must not be sent to any endpoint."""
        return self.action is QuarantineAction.REFUSE


_RUN = QuarantineVerdict(QuarantineAction.RUN)
_RUN_APART = QuarantineVerdict(QuarantineAction.RUN_APART)


def decide_quarantine(
    suspicion: Suspicion | None,
    now: float,
    *,
    answered_at: float = float("-inf"),
    spread: float = 0.0,
) -> QuarantineVerdict:
    """Return how a request may run; None means that there is no suspicion.

    `answered_at` is when a run of it was last answered completely. `spread` is the
    fraction by which this entry tries such a request later than at the earliest.

    Units: now and answered_at in seconds, on the clock that timestamps the suspicion.
    """
    if suspicion is None or suspicion.ends < MIN_SUSPECT_ENDS:
        return _RUN
    refusal_s = QUARANTINE_S
    if _is_proven(suspicion, answered_at):
        refusal_s = PROVEN_QUARANTINE_S * (1.0 + spread)
    left_s = suspicion.last_at + refusal_s - now
    if suspicion.ends < MIN_QUARANTINE_ENDS or left_s <= 0.0:
        return _RUN_APART
    return QuarantineVerdict(QuarantineAction.REFUSE, left_s)


def _is_proven(suspicion: Suspicion, answered_at: float) -> bool:
    """Return whether a request was answered lately, and has failed no trial since."""
    known_at = suspicion.known_at
    if known_at is None or known_at - answered_at > PROVEN_S:
        return False
    return suspicion.last_at - known_at <= FAILED_TRIAL_S
