"""Check that entries are ready and serve when they should, and not when they stop.

Judges by the answers to readiness checks and by what callers got in calm. Relies on
`_cuts` for the time that a request has.
"""

from leadford_standins.soak._base import MISBEHAVIOUR, STORE
from leadford_standins.soak._ledger import Outcome, ReadyAnswer, Sent
from leadford_standins.soak.checks._base import Broken, Evidence, broken, promises
from leadford_standins.soak.checks._cuts import time_of
from leadford_standins.soak.parts import DENIED_KEY, DENIED_ROUTE, WORK_HEADER

READY = 200
# Seconds that a request may need besides the work at its endpoint.
ROUND_S = 0.4
# Seconds after SIGTERM until an entry must say that it takes no new callers.
STOPS_S = 0.5


@promises("an entry is ready in calm and not once it stops", timed=True)
class ReadyWhenItShould:
    """An entry in touch is ready; one that was asked to stop is not, 0.5 s later.

    Not counted for the stop: an entry that was paused.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every answer of the ready page that is wrong."""
        found: list[Broken] = []
        for answer in evidence.ledger.ready_answers_:
            fault = self._fault(answer, evidence)
            if fault:
                found.append(
                    Broken(self.promise, "", answer.entry, answer.asked_at, fault)
                )
        return found

    def _fault(self, answer: ReadyAnswer, evidence: Evidence) -> str:
        since = answer.asked_at - evidence.bounds.contact_s
        ledger = evidence.ledger
        process = ledger.incarnation(answer.entry, answer.incarnation)
        if process.term_at is not None and answer.answered_at >= process.term_at:
            after_s = answer.asked_at - process.term_at
            if answer.status != READY or after_s < STOPS_S:
                return ""
            scopes = (answer.entry,)
            if not ledger.is_calm(scopes, since, answer.answered_at, planned=False):
                return ""
            return f"ready {after_s:.2f} s after SIGTERM"
        if answer.status == READY:
            return ""
        if not ledger.is_calm((answer.entry, STORE), since, answer.answered_at):
            return ""
        return f"answers {answer.status}"


@promises("calm serves what every configuration allows", timed=True)
class ServedInCalm:
    """At an entry in touch, with sound endpoints, a proper request is served.

    Counts requests that every version allows which may be in force, and whose work fits
    into their time. No endpoint and no other entry was harmed for the contact time,
    since they work for all requests.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every proper request that was not served."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if 200 <= sent.status < 300 and sent.outcome is Outcome.WHOLE:
                continue
            if sent.detail == "gives up":
                continue
            if sent.body in evidence.ledger.ending_bodies_:
                # It is refused once it is known; `_quarantine` judges by its runs.
                continue
            if not _fits(sent) or not _is_allowed(sent, evidence):
                continue
            if not _is_all_calm(sent, evidence):
                continue
            held_s = sent.ended_at - sent.sent_at
            detail = (
                f"{sent.route} {sent.outcome.value} {sent.status} after {held_s:.2f} s"
            )
            found.append(broken(self, sent, detail))
        return found


def _fits(sent: Sent) -> bool:
    """Tell whether the work that a caller asks for can end in the time it gives."""
    work_s = float(sent.asked.get(WORK_HEADER, "0")) / 1_000.0
    return work_s + ROUND_S <= time_of(sent)


def _is_allowed(sent: Sent, evidence: Evidence) -> bool:
    """Tell whether every version allows a request that may be in force meanwhile."""
    since = sent.sent_at - evidence.bounds.config_s
    versions = evidence.versions
    oldest = max(0, sum(version.acked_at < since for version in versions) - 1)
    for version in versions[oldest:]:
        if version.acked_at > sent.ended_at:
            break
        if version.verdict(sent.path, sent.key) in (DENIED_KEY, DENIED_ROUTE):
            return False
    return True


def _is_all_calm(sent: Sent, evidence: Evidence) -> bool:
    ledger = evidence.ledger
    process = ledger.incarnation(sent.entry, sent.incarnation)
    term_at = process.term_at if process is not None else None
    if term_at is not None and sent.ended_at >= term_at:
        return False
    entries = {process.entry for process in ledger.incarnations_}
    scopes = (STORE, MISBEHAVIOUR, *entries, *ledger.endpoints_)
    since = sent.sent_at - evidence.bounds.contact_s
    return ledger.is_calm(scopes, since, sent.ended_at)
