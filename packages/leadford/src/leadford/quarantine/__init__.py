"""Quarantine requests that crash the endpoints that run them.

`_digest` identifies requests with the same content, `_ledger` records which of them
were running when an endpoint crashed, `_decision` decides whether the next attempt may
run, and `_apart` chooses the endpoint for a suspected request. Shared by both programs.

Requests that differ may share a part of their prompt that crashes endpoints:
`_part_cases` records the parts that were being served at each `_crash`, `_part_blame`
decides which of them is at fault, `_part_trials` for how long it is refused, and
`_proven` remembers which parts were answered lately.
"""

from leadford.quarantine._answered import AnsweredWorks
from leadford.quarantine._apart import choose_apart
from leadford.quarantine._crash import UNDER_WAY_S, LostRun, PartId, PromptKeys
from leadford.quarantine._decision import (
    MIN_REPEATED_ENDS,
    QuarantineAction,
    QuarantineVerdict,
    decide_quarantine,
)
from leadford.quarantine._digest import NO_DIGEST, RequestContent, RequestDigest
from leadford.quarantine._ledger import CaseId, CrashCase, CrashLedger, Suspicion
from leadford.quarantine._part_blame import PartBlame, PartBlames, PartSuspicion
from leadford.quarantine._part_cases import PartCases, blamable_parts
from leadford.quarantine._part_trials import (
    TRIAL_SPREAD_FRACTION,
    PartTrials,
    strictest,
)
from leadford.quarantine._proven import ProvenParts

__all__ = [
    "MIN_REPEATED_ENDS",
    "TRIAL_SPREAD_FRACTION",
    "UNDER_WAY_S",
    "NO_DIGEST",
    "AnsweredWorks",
    "CaseId",
    "CrashCase",
    "CrashLedger",
    "LostRun",
    "PartBlame",
    "PartBlames",
    "PartCases",
    "PartId",
    "PartSuspicion",
    "PartTrials",
    "PromptKeys",
    "ProvenParts",
    "QuarantineAction",
    "QuarantineVerdict",
    "RequestContent",
    "RequestDigest",
    "Suspicion",
    "blamable_parts",
    "choose_apart",
    "decide_quarantine",
    "strictest",
]
