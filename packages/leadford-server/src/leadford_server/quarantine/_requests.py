"""Record which requests ran when endpoints crashed, and decide whether one may run.

Owns the ledger of one process, its log lines and metrics. Local observations go to
`publish_news`, which sends them to other processes. News from other processes comes to
`apply_news`, which returns the part that was new, so that it can be passed on.
`leadford.quarantine` decides which cases count and what follows from them.
"""

from collections.abc import Callable
from random import Random

from leadford.common import EndpointId
from leadford.events import Event
from leadford.protocol import CrashNews, CrashReport
from leadford.quarantine import (
    MIN_REPEATED_ENDS,
    TRIAL_SPREAD_FRACTION,
    AnsweredWorks,
    CaseId,
    CrashCase,
    CrashLedger,
    QuarantineAction,
    QuarantineVerdict,
    RequestDigest,
    decide_quarantine,
)
from leadford_server.logs import EventLog
from leadford_server.metrics import CRASH_CASES_TOTAL, QUARANTINED_WORKS

CASE_ID_BITS = 63
# Values of the metric label that says who observed a case.
SEEN_HERE = "here"
SEEN_BY_PEER = "peer"


class RequestQuarantine:
    """Decide whether requests may run, given the endpoints that crashed under them.

    Units: `now` returns seconds; all times here are on its clock.
    """

    def __init__(
        self, *, now: Callable[[], float], random: Random, log: EventLog
    ) -> None:
        self.now = now
        self.random = random
        self.log = log
        self.publish_news: Callable[[CrashNews], None] = _discard_news
        self.ledger_ = CrashLedger()
        self.answered_ = AnsweredWorks()
        self.spread_ = random.uniform(0.0, TRIAL_SPREAD_FRACTION)
        self.quarantined_: set[RequestDigest] = set()

    def verdict(self, digest: RequestDigest) -> QuarantineVerdict:
        """Return how a request may run."""
        return decide_quarantine(
            self.ledger_.suspicion(digest),
            self.now(),
            answered_at=self.answered_.answered_at(digest),
            spread=self.spread_,
        )

    def is_suspect(self, digest: RequestDigest) -> bool:
        """Return whether a request runs apart from other suspected requests."""
        return self.verdict(digest).action is QuarantineAction.RUN_APART

    def is_suspect_once(self, digest: RequestDigest) -> bool:
        """Return whether a request is suspect because of a single crash."""
        suspicion = self.ledger_.suspicion(digest)
        return self.is_suspect(digest) and suspicion.ends < MIN_REPEATED_ENDS

    def record_connection_lost(
        self, digest: RequestDigest, endpoint_id: EndpointId, *, is_under_way: bool
    ) -> None:
        """Record that an endpoint closed a connection while it ran a request."""
        if self.ledger_.has_case(digest, endpoint_id, is_under_way=is_under_way):
            return
        case_id = CaseId(self.random.getrandbits(CASE_ID_BITS))
        case = CrashCase(case_id, digest, endpoint_id, is_under_way)
        self.ledger_.record(case, self.now())
        CRASH_CASES_TOTAL.labels(seen=SEEN_HERE).inc()
        self._log_changes()
        self.publish_news(CrashNews(cases=[_report_from_case(case)]))

    def record_alive(self, endpoint_id: EndpointId, sent_at: float) -> None:
        """Record that an endpoint answered a request that was sent at `sent_at`."""
        if self.ledger_.record_alive(endpoint_id, sent_at):
            self._log_changes()
            self.publish_news(CrashNews(alive=[endpoint_id]))

    def record_answered(self, digest: RequestDigest) -> None:
        """Record that a request was answered completely."""
        self.answered_.record(digest, self.now())
        if self.ledger_.clear(digest):
            self._log_changes()
            self.publish_news(CrashNews(answered=[digest]))

    def apply_news(self, news: CrashNews) -> CrashNews | None:
        """Record news from another process; return the part that was new, or None."""
        now = self.now()
        cases = [
            report
            for report in news.cases
            if self.ledger_.record(_case_from_report(report), now)
        ]
        CRASH_CASES_TOTAL.labels(seen=SEEN_BY_PEER).inc(len(cases))
        alive = [
            endpoint_id
            for endpoint_id in news.alive
            if self.ledger_.retract_endpoint(EndpointId(endpoint_id))
        ]
        answered = [
            digest
            for digest in news.answered
            if self.ledger_.clear(RequestDigest(digest))
        ]
        if not (cases or alive or answered):
            return None
        self._log_changes()
        return CrashNews(cases, alive, answered)

    def news_for_new_peer(self) -> CrashNews | None:
        """Return the news to send to a new peer, None if there is none."""
        cases = [
            _report_from_case(case)
            for case in self.ledger_.cases_for_new_peer(self.now())
        ]
        return CrashNews(cases=cases) if cases else None

    def _log_changes(self) -> None:
        """Log which requests became quarantined and which may run again."""
        current = self.ledger_.quarantined_
        if current == self.quarantined_:
            return
        for digest in current - self.quarantined_:
            suspicion = self.ledger_.suspicion(digest)
            self.log.report(
                Event.REQUEST_QUARANTINED,
                digest=digest,
                ends=suspicion.ends,
                endpoints=",".join(suspicion.endpoint_ids),
            )
        for digest in self.quarantined_ - current:
            self.log.report(Event.QUARANTINE_ENDED, digest=digest)
        self.quarantined_ = set(current)
        QUARANTINED_WORKS.set(len(current))


def _discard_news(news: CrashNews) -> None:
    """Do nothing; the default until `publish_news` is set."""


def _report_from_case(case: CrashCase) -> CrashReport:
    return CrashReport(
        case.case_id,
        case.digest,
        case.endpoint_id,
        case.is_under_way,
        case.age_s * 1_000.0,
    )


def _case_from_report(report: CrashReport) -> CrashCase:
    return CrashCase(
        CaseId(report.case_id),
        RequestDigest(report.digest),
        EndpointId(report.endpoint_id),
        report.is_under_way,
        max(0.0, report.age_ms / 1_000.0),
    )
