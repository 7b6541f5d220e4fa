"""Decide how a request with a suspected prompt part may run, and when a part is tried.

A part that crashes endpoints is refused for a time after its last crash. Then each
entry lets one request with it run at a time, until its answer clears the part or the
next crash renews the refusal. The entries begin at different times, so that the first
crash, which all of them learn of, is usually the only one.
"""

from random import Random

import msgspec

from leadford.quarantine._crash import PartId, PromptKeys
from leadford.quarantine._decision import (
    PROVEN_QUARANTINE_S,
    QUARANTINE_S,
    QuarantineAction,
    QuarantineVerdict,
)
from leadford.quarantine._digest import RequestDigest
from leadford.quarantine._part_blame import PartBlame, PartSuspicion

# Entries begin to try a part within this fraction of the refusal time after its end.
TRIAL_SPREAD_FRACTION = 0.5
# Seconds after which a trial without an outcome no longer prevents another one.
TRIAL_S = 5.0


class _Trial(msgspec.Struct, frozen=True):
    """Hold the request that may run as a trial, and until when."""

    digest: RequestDigest
    until: float


_RUN = QuarantineVerdict(QuarantineAction.RUN)
_RUN_APART = QuarantineVerdict(QuarantineAction.RUN_APART)


class PartTrials:
    """Decide about requests by their prompts, and hold the trials of one entry."""

    def __init__(self, *, random: Random) -> None:
        self.spread = random.uniform(0.0, TRIAL_SPREAD_FRACTION)
        self.trial_by_part_: dict[PartId, _Trial] = {}

    def decide(
        self, suspicion: PartSuspicion, keys: PromptKeys, now: float
    ) -> QuarantineVerdict:
        """Return how a request may run.

        Units: now in seconds, on the clock that timestamps the crashes.
        """
        if suspicion.known is not None:
            return self._decide_known(suspicion.known, keys, now)
        return _RUN_APART if suspicion.is_suspect else _RUN

    def retain(self, part_ids: set[PartId]) -> None:
        """Forget the trials of parts that are not in `part_ids`."""
        for part_id in self.trial_by_part_.keys() - part_ids:
            del self.trial_by_part_[part_id]

    def _decide_known(
        self, blame: PartBlame, keys: PromptKeys, now: float
    ) -> QuarantineVerdict:
        due_at = blame.last_at + refusal_s(blame) * (1.0 + self.spread)
        if now < due_at:
            return QuarantineVerdict(QuarantineAction.REFUSE, due_at - now)
        trial = self.trial_by_part_.get(blame.part_id)
        if trial is None or now >= trial.until:
            trial = _Trial(keys.digest, now + TRIAL_S)
            self.trial_by_part_[blame.part_id] = trial
        if trial.digest == keys.digest:
            return _RUN_APART
        return QuarantineVerdict(QuarantineAction.REFUSE, trial.until - now)


def refusal_s(blame: PartBlame) -> float:
    """Return for how long a part is refused after its last crash.

    Units: seconds.
    """
    if blame.is_proven and not blame.has_failed_trial:
        return PROVEN_QUARANTINE_S
    return QUARANTINE_S


def strictest(first: QuarantineVerdict, second: QuarantineVerdict) -> QuarantineVerdict:
    """Return the stricter of two verdicts about one request."""
    return max(first, second, key=_strictness)


def _strictness(verdict: QuarantineVerdict) -> tuple[bool, float, bool]:
    is_apart = verdict.action is QuarantineAction.RUN_APART
    return verdict.refuses, verdict.retry_after_s, is_apart
