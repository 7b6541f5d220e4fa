"""Keep requests from endpoints that end whoever runs them.

`_digest` tells whether two requests are the same work, `_ledger` under which work
endpoints ended, `_decision` what follows for its next attempt, and `_apart` where one
under suspicion runs. Shared by both programs.
"""

from leadford.quarantine._apart import choose_apart
from leadford.quarantine._decision import (
    QuarantineAction,
    QuarantineVerdict,
    decide_quarantine,
)
from leadford.quarantine._digest import NO_DIGEST, RequestContent, RequestDigest
from leadford.quarantine._ledger import CaseId, CrashCase, CrashLedger, Suspicion

__all__ = [
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
