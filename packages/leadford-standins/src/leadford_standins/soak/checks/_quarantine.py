"""Check that a request that ends its endpoints is soon sent to none.

Judges by where requests with such a body ran, as endpoints saw it. Relies on the ledger
for which bodies these are.
"""

from leadford_standins.soak._ledger import Sent
from leadford_standins.soak.checks._base import Broken, Evidence, broken, promises

# Endpoints that may end before it counts, and arrivals after the time to know it.
ENDS_ALLOWED = 3
LATER_ALLOWED = 3


@promises("a request that ends its endpoints is soon sent to none")
class SentToNone:
    """After the third end, and the time to be in touch, at most three more runs."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the run that is one too many of each such request."""
        found: list[Broken] = []
        for body in evidence.ledger.ending_bodies_:
            later = self._later(body, evidence)
            if len(later) > LATER_ALLOWED:
                sent = later[LATER_ALLOWED]
                detail = f"{sent.route}: {len(later)} runs more after three ends"
                found.append(broken(self, sent, detail))
        return found

    def _later(self, body: bytes, evidence: Evidence) -> list[Sent]:
        """Return the requests with a body that ran long after the third end."""
        ledger = evidence.ledger
        runs = sorted(
            (run.at_s, run.request_id)
            for _, run in ledger.run_records_
            if run.body == body
        )
        if len(runs) <= ENDS_ALLOWED:
            return []
        known_at = runs[ENDS_ALLOWED - 1][0] + evidence.bounds.contact_s
        later = [ledger.sent_by_id_[name] for at_s, name in runs if at_s > known_at]
        return [sent for sent in later if evidence.in_touch(sent, sent.ended_at)]
