"""Quarantine requests that crash the endpoints that run them.

`_digest` identifies requests with the same content, `_ledger` records which of them
were running when an endpoint crashed, `_decision` decides whether the next attempt may
run, and `_apart` chooses the endpoint for a suspected request. Shared by both programs.
"""

from leadford.quarantine._apart import choose_apart
from leadford.quarantine._decision import (
    MIN_REPEATED_ENDS,
    QuarantineAction,
    QuarantineVerdict,
    decide_quarantine,
)
from leadford.quarantine._digest import NO_DIGEST, RequestContent, RequestDigest
from leadford.quarantine._ledger import CaseId, CrashCase, CrashLedger, Suspicion

__all__ = [
    "MIN_REPEATED_ENDS",
    "NO_DIGEST",
    "CaseId",
    "CrashCase",
    "CrashLedger",
    "QuarantineAction",
    "QuarantineVerdict",
    "RequestContent",
    "RequestDigest",
    "Suspicion",
    "choose_apart",
    "decide_quarantine",
]
