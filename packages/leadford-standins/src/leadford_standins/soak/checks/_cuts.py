"""Check that requests are answered, and cut neither in planned stops nor in calm.

A cut request counts unless a fault that affects it, the end of its time limit, or the
end of the grace period explains the cut. In a planned stop, faults of links to the
store and to peers explain none, since callers do not notice them.
"""

from leadford_standins.soak._base import STORE
from leadford_standins.soak._ledger import Incarnation, Ledger, Outcome, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)

# A run may be cut in this last fraction of the grace period if its request was sent no
# later than this time after SIGTERM.
GRACE_END_FRACTION = 1.0 / 6.0
EARLY_REQUEST_S = 3.0
# A request that is cut after this time counts as read, even if it ran nowhere.
READ_DELAY_S = 0.4
# A request cut after this fraction of its time limit counts as out of time.
TIME_USED_FRACTION = 0.95
# Prefixes of the fault kinds that callers and endpoints do not notice.
INTERNAL_LINK_PREFIXES = ("store-link", "peer-link")


def time_limit_s(sent: Sent) -> float:
    """Return the time limit of a request in seconds."""
    deadline_s = float(sent.asked["X-Deadline-Ms"]) / 1_000.0
    return min(sent.timeout_s, deadline_s)


def was_passed_on(sent: Sent, ledger: Ledger) -> bool:
    """Tell whether a cut request had been passed on, or must have been read."""
    if sent.outcome is not Outcome.CUT:
        return False
    elapsed_s = sent.ended_at - sent.sent_at
    if elapsed_s >= TIME_USED_FRACTION * time_limit_s(sent):
        return False
    return bool(ledger.runs_of(sent.request_id)) or elapsed_s > READ_DELAY_S


def is_undisturbed(sent: Sent, evidence: Evidence, *, internal_links: bool) -> bool:
    """Tell whether no unplanned fault affected the entry or endpoints of a request.

    `internal_links` says whether faults of links to the store and to peers count.
    Stages run at any entry and endpoint, so all count for a request without a run.
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
        if not internal_links and fault.kind.value.startswith(INTERNAL_LINK_PREFIXES):
            continue
        if fault.from_s <= sent.ended_at and fault.until_s >= since:
            return False
    return True


@promises("a planned stop cuts nothing that was passed on")
class StopCutsNothing:
    """Within the grace period, what undisturbed endpoints run is answered.

    Not counted: the process was paused or killed, the endpoint ended, its link was
    impaired or it misbehaved, the caller gave up, or the time limit was used up. Faults
    of the store excuse no cut: callers and endpoints do not notice them.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that a planned stop cut."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            process = evidence.ledger.incarnation(sent.entry, sent.incarnation)
            if process is None or process.term_at is None:
                continue
            if not was_passed_on(sent, evidence.ledger):
                continue
            if not self._is_in_grace(sent, process, evidence.bounds.grace_s):
                continue
            if not is_undisturbed(sent, evidence, internal_links=False):
                continue
            found.append(
                broken_promise(self, sent, self._describe(sent, process, evidence))
            )
        return found

    def _is_in_grace(self, sent: Sent, process: Incarnation, grace_s: float) -> bool:
        after_s = sent.ended_at - process.term_at
        if process.was_killed or not 0.0 <= after_s <= grace_s + 1.0:
            return False
        is_early = sent.sent_at - process.term_at <= EARLY_REQUEST_S
        return not (is_early and after_s >= grace_s * (1.0 - GRACE_END_FRACTION))

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

    Counts requests for which no fault affected the entry, the store or the endpoints
    for the contact time. Another check judges planned stops.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that was cut in calm."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if not was_passed_on(sent, evidence.ledger):
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
            if not is_undisturbed(sent, evidence, internal_links=True):
                continue
            elapsed_s = sent.ended_at - sent.sent_at
            detail = f"{sent.route} cut after {elapsed_s:.2f} s, status {sent.status}"
            found.append(broken_promise(self, sent, detail))
        return found


@promises("a request that an endpoint got is answered")
class EndpointsAnswersArrive:
    """A caller that waits gets an answer, if only that the request failed.

    No fault of endpoints, links or the store excuses a connection that is closed with
    no byte of an answer, and neither does a planned stop. Not counted: the process was
    killed, its grace period was over, or it is of the build that this one replaces.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that arrived at an endpoint and got no answer."""
        ledger = evidence.ledger
        arrived_ids = {arrival.request_id for arrival in ledger.arrivals_}
        found: list[Broken] = []
        for sent in ledger.sent_by_id_.values():
            if sent.outcome is not Outcome.CUT or sent.status != 0:
                continue
            if sent.request_id not in arrived_ids:
                continue
            process = ledger.incarnation(sent.entry, sent.incarnation)
            if process is None or process.was_killed or process.is_older:
                continue
            if is_grace_over(sent, process, evidence.bounds.grace_s):
                continue
            elapsed_s = sent.ended_at - sent.sent_at
            detail = f"{sent.route} closed after {elapsed_s:.2f} s with no answer"
            found.append(broken_promise(self, sent, detail))
        return found


def is_grace_over(sent: Sent, process: Incarnation, grace_s: float) -> bool:
    """Tell whether a stop had to end what still ran when a request ended."""
    if process.term_at is None:
        return False
    after_s = sent.ended_at - process.term_at
    is_early = sent.sent_at - process.term_at <= EARLY_REQUEST_S
    is_late = after_s >= grace_s * (1.0 - GRACE_END_FRACTION)
    return after_s >= grace_s or (is_early and is_late)
