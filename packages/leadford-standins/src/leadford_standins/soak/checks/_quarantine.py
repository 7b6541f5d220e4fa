"""Check that a request that ends its endpoints is soon sent to none.

Judges by the runs of requests with such a body, as endpoints recorded them. The ledger
lists these bodies.
"""

from leadford_standins.soak._ledger import Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)

# Ended endpoints before the bound applies, and runs allowed after the contact time.
MAX_ENDS = 3
MAX_LATER_RUNS = 3


@promises("a request that ends its endpoints is soon sent to none")
class CrashingRequestContained:
    """The contact time after its third end, a request runs at most three times more."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the first run beyond the bound of each such request."""
        found: list[Broken] = []
        for body in evidence.ledger.ending_bodies_:
            later = self._find_later(body, evidence)
            if len(later) > MAX_LATER_RUNS:
                sent = later[MAX_LATER_RUNS]
                detail = f"{sent.route}: {len(later)} runs more after three ends"
                found.append(broken_promise(self, sent, detail))
        return found

    def _find_later(self, body: bytes, evidence: Evidence) -> list[Sent]:
        """Return the requests with the body that ran later than the contact time."""
        ledger = evidence.ledger
        runs = sorted(
            (run.at_s, run.request_id)
            for _, run in ledger.run_records_
            if run.body == body
        )
        if len(runs) <= MAX_ENDS:
            return []
        known_at = runs[MAX_ENDS - 1][0] + evidence.bounds.contact_s
        later = [ledger.sent_by_id_[name] for at_s, name in runs if at_s > known_at]
        return [sent for sent in later if evidence.in_touch(sent, sent.ended_at)]
