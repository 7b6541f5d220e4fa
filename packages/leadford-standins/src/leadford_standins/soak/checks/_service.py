"""Check that entries in calm are ready and serve, and that stopping ones are not ready.

Judges by the answers to readiness checks and by what callers got in calm. Relies on
`_cuts` for the time limit of a request.
"""

from leadford_standins.soak._base import MISBEHAVIOUR, STORE
from leadford_standins.soak._ledger import Ledger, Outcome, ReadyAnswer, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)
from leadford_standins.soak.checks._cuts import time_limit_s
from leadford_standins.soak.checks._quarantine import ends_endpoints
from leadford_standins.soak.checks._software import (
    began_at_older_build,
    is_unnamed,
)
from leadford_standins.soak.parts import DENIED_KEY, DENIED_ROUTE, WORK_HEADER

READY_STATUS = 200
# Time that a request may need besides the work at its endpoint.
OVERHEAD_S = 0.4
# Time after SIGTERM within which an entry must report that it is not ready.
NOT_READY_DELAY_S = 0.5


@promises("an entry is ready in calm and not once it stops", timed=True)
class ReadinessCorrect:
    """An entry in touch is ready; from 0.5 s after SIGTERM it is not.

    Entries that were paused do not count for the stop.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every wrong answer to a readiness check."""
        found: list[Broken] = []
        for answer in evidence.ledger.ready_answers_:
            defect = self._find_defect(answer, evidence)
            if defect:
                found.append(
                    Broken(self.promise, "", answer.entry, answer.asked_at, defect)
                )
        return found

    def _find_defect(self, answer: ReadyAnswer, evidence: Evidence) -> str:
        since = answer.asked_at - evidence.bounds.contact_s
        ledger = evidence.ledger
        process = ledger.incarnation(answer.entry, answer.incarnation)
        if process.term_at is not None and answer.answered_at >= process.term_at:
            after_s = answer.asked_at - process.term_at
            if answer.status != READY_STATUS or after_s < NOT_READY_DELAY_S:
                return ""
            scopes = (answer.entry,)
            if not ledger.is_calm(scopes, since, answer.answered_at, planned=False):
                return ""
            return f"ready {after_s:.2f} s after SIGTERM"
        if answer.status == READY_STATUS:
            return ""
        if not ledger.is_calm((answer.entry, STORE), since, answer.answered_at):
            return ""
        return f"answers {answer.status}"


@promises("calm serves what every configuration allows", timed=True)
class ServedInCalm:
    """At an entry in touch, with undisturbed endpoints, an allowed request is served.

    Counts requests that every version which may be in force allows, and whose work fits
    into their time limit, beside what time any endpoint was silent meanwhile. No fault
    may affect any endpoint or any other entry for the contact time, since they work for
    all requests.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every such request that was not served."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if 200 <= sent.status < 300 and sent.outcome is Outcome.WHOLE:
                continue
            if sent.detail == "gives up":
                continue
            if ends_endpoints(sent, evidence.ledger):
                # Refused once it is known to end endpoints; see `_quarantine`.
                continue
            if began_at_older_build(sent, evidence.ledger) or is_unnamed(sent):
                # Nobody may know which software version began the stream.
                continue
            if not _fits_time_limit(sent, evidence.ledger):
                continue
            if not _is_allowed(sent, evidence):
                continue
            if not _is_all_calm(sent, evidence):
                continue
            elapsed_s = sent.ended_at - sent.sent_at
            detail = (
                f"{sent.route} {sent.outcome.value} {sent.status} "
                f"after {elapsed_s:.2f} s"
            )
            found.append(broken_promise(self, sent, detail))
        return found


def _fits_time_limit(sent: Sent, ledger: Ledger) -> bool:
    """Tell whether the work of a request can finish within its time limit."""
    work_s = float(sent.asked.get(WORK_HEADER, "0")) / 1_000.0
    limit_s = time_limit_s(sent)
    silent_s = _silent_s(ledger, sent.sent_at, sent.sent_at + limit_s)
    return work_s + silent_s + OVERHEAD_S <= limit_s


def _silent_s(ledger: Ledger, from_s: float, until_s: float) -> float:
    """Return for how long within a time any endpoint was silent."""
    silent_s = 0.0
    for silence in sorted(ledger.silences_, key=lambda silence: silence.from_s):
        begins_at = max(from_s, silence.from_s)
        ends_at = min(until_s, silence.until_s)
        if ends_at > begins_at:
            silent_s += ends_at - begins_at
            from_s = ends_at
    return silent_s


def _is_allowed(sent: Sent, evidence: Evidence) -> bool:
    """Tell whether all versions that may be in force meanwhile allow a request."""
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
