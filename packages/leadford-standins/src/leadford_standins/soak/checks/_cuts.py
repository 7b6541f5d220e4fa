"""Check that neither planned work nor calm cuts a request.

A request that was cut counts unless a fault near it, the end of its time, or the end of
the grace period explains that. Faults of links that callers do not notice explain none.
"""

from leadford_standins.soak._base import STORE
from leadford_standins.soak._ledger import Incarnation, Ledger, Outcome, Sent
from leadford_standins.soak.checks._base import Broken, Evidence, broken, promises

# Part of the grace period, its last, in which a run may be cut that was asked for
# early, and how early that is in seconds.
GRACE_PART = 1.0 / 6.0
ASKED_EARLY_S = 3.0
# Seconds after which a request that was cut counts as read, though it ran nowhere.
READ_S = 0.4
# Part of its time after which a request that is cut counts as out of time.
USED_UP = 0.95
# Faults of these links are nothing that callers or endpoints notice.
INNER_LINKS = ("store-link", "peer-link")


def time_of(sent: Sent) -> float:
    """Return the seconds that a request has."""
    deadline_s = float(sent.asked["X-Deadline-Ms"]) / 1_000.0
    return min(sent.timeout_s, deadline_s)


def was_taken(sent: Sent, ledger: Ledger) -> bool:
    """Tell whether a request that was cut had been passed on, or surely read."""
    if sent.outcome is not Outcome.CUT:
        return False
    held_s = sent.ended_at - sent.sent_at
    if held_s >= USED_UP * time_of(sent):
        return False
    return bool(ledger.runs_of(sent.request_id)) or held_s > READ_S


def is_sound(sent: Sent, evidence: Evidence, *, inner_links: bool) -> bool:
    """Tell whether nothing unplanned touched the entry or who worked for the request.

    `inner_links` says whether links to the store and to peers count. Work on stages is
    spread over all entries and all endpoints of stages, so all of them count.
    """
    ledger = evidence.ledger
    runs = ledger.runs_of(sent.request_id)
    if any(
        (sent.request_id, run.endpoint) in ledger.misbehaved_by_run_ for run in runs
    ):
        return False
    scopes = {sent.entry, *[run.endpoint for run in runs]}
    if not runs:
        scopes |= {process.entry for process in ledger.incarnations_}
        scopes |= ledger.endpoints_
    since = sent.sent_at - evidence.bounds.contact_s
    for fault in ledger.disturbances_:
        if fault.scope not in scopes or fault.kind is None:
            continue
        if fault.is_planned and fault.scope == sent.entry:
            continue
        if not inner_links and fault.kind.value.startswith(INNER_LINKS):
            continue
        if fault.from_s <= sent.ended_at and fault.until_s >= since:
            return False
    return True


@promises("a planned stop cuts nothing that was passed on")
class StopCutsNothing:
    """After SIGTERM and within the grace period what a sound endpoint runs is answered.

    Not counted: the process was paused or killed, the endpoint ended, its link was
    harmed or it misbehaved, the caller gave up, or the time of the request was used up.
    Trouble of the store is no excuse: callers and endpoints do not notice it.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that a planned stop cut."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            process = evidence.ledger.incarnation(sent.entry, sent.incarnation)
            if process is None or process.term_at is None:
                continue
            if not was_taken(sent, evidence.ledger):
                continue
            if not self._is_in_grace(sent, process, evidence.bounds.grace_s):
                continue
            if not is_sound(sent, evidence, inner_links=False):
                continue
            found.append(broken(self, sent, self._describe(sent, process, evidence)))
        return found

    def _is_in_grace(self, sent: Sent, process: Incarnation, grace_s: float) -> bool:
        after_s = sent.ended_at - process.term_at
        if process.was_killed or not 0.0 <= after_s <= grace_s + 1.0:
            return False
        is_early = sent.sent_at - process.term_at <= ASKED_EARLY_S
        return not (is_early and after_s >= grace_s * (1.0 - GRACE_PART))

    def _describe(self, sent: Sent, process: Incarnation, evidence: Evidence) -> str:
        since = sent.sent_at - evidence.bounds.contact_s
        calm = evidence.ledger.is_calm(
            (sent.entry, STORE), since, sent.ended_at, planned=False, lag=False
        )
        runs = evidence.ledger.runs_of(sent.request_id)
        return (
            f"{sent.route} sent {sent.sent_at - process.term_at:.2f} s and cut "
            f"{sent.ended_at - process.term_at:.2f} s after SIGTERM, "
            f"{'calm' if calm else 'trouble at the entry or the store'}, "
            f"runs {len(runs)}, status {sent.status}"
        )


@promises("calm cuts nothing")
class CalmCutsNothing:
    """At an entry in touch no request is cut, whatever the operator changes.

    Counts entries that no fault touched, nor the store, for the contact time, and
    endpoints alike; a planned stop is judged by a check of its own.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that was cut in calm."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if not was_taken(sent, evidence.ledger):
                continue
            process = evidence.ledger.incarnation(sent.entry, sent.incarnation)
            term_at = process.term_at if process is not None else None
            if term_at is not None and sent.ended_at >= term_at:
                continue
            since = sent.sent_at - evidence.bounds.contact_s
            if not evidence.ledger.is_calm(
                (sent.entry, STORE), since, sent.ended_at, lag=False
            ):
                continue
            if not is_sound(sent, evidence, inner_links=True):
                continue
            held_s = sent.ended_at - sent.sent_at
            detail = f"{sent.route} cut after {held_s:.2f} s, status {sent.status}"
            found.append(broken(self, sent, detail))
        return found
