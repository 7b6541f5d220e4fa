"""Decide whether a request may run, by the endpoints that ended under it.

The load pattern: callers send one request again and again, at any entry, and each
endpoint that begins to run it ends, together with all that runs beside it. Bounds on
attempts and retry budgets count one request or one service, so they stop innocents and
not this one.

Asked before a request is admitted and before each of its attempts, by both programs.
What counts as an end under a request, and what takes it back, is left to `_ledger`;
where a request under suspicion runs, to `_apart`.
"""

from enum import Enum

import msgspec

from leadford.quarantine._ledger import ENDS_MOST, Suspicion

# Ends from which a request runs apart from others under suspicion.
ENDS_SUSPECT = 1.0
# Seconds after the last end for which a request is not run. Then one attempt shows
# whether it still ends its endpoint.
QUARANTINE_S = 600.0


class QuarantineAction(Enum):
    """Say how a request may run; the values stand in logs."""

    RUN = "run"
    RUN_APART = "run-apart"
    REFUSE = "refuse"


class QuarantineVerdict(msgspec.Struct, frozen=True):
    """Say how a request may run, and in which time it may be tried again.

    Units: retry_after_s in seconds; 0 unless the action is REFUSE.
    """

    action: QuarantineAction
    retry_after_s: float = 0.0

    @property
    def refuses(self) -> bool:
        """Tell whether the request goes to no endpoint."""
        return self.action is QuarantineAction.REFUSE


_RUN = QuarantineVerdict(QuarantineAction.RUN)
_RUN_APART = QuarantineVerdict(QuarantineAction.RUN_APART)


def decide_quarantine(suspicion: Suspicion | None, now: float) -> QuarantineVerdict:
    """Return how a request may run; None stands for no suspicion.

    Units: now in seconds of the clock that the suspicion was recorded by.
    """
    if suspicion is None or suspicion.ends < ENDS_SUSPECT:
        return _RUN
    left_s = suspicion.last_at + QUARANTINE_S - now
    if suspicion.ends < ENDS_MOST or left_s <= 0.0:
        return _RUN_APART
    return QuarantineVerdict(QuarantineAction.REFUSE, left_s)
