"""Record under which requests endpoints ended, and say whether one may run.

Owns the ledger of one process, its log lines and metrics. What is recorded here goes to
`on_news`, so that other processes learn it; what they tell comes to `learn`, which
returns what was news, so that it can be passed on. Which cases count and what follows
is decided in `leadford.quarantine`.
"""

from collections.abc import Callable
from random import Random

from leadford.common import EndpointId
from leadford.events import Event
from leadford.protocol import CrashNews, CrashReport
from leadford.quarantine import (
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
# What the metric says of who saw a case.
SEEN_HERE = "here"
SEEN_BY_PEER = "peer"


class RequestQuarantine:
    """Say whether requests may run, by the endpoints that ended under them.

    Units: `now` returns seconds of the clock that all moments here are of.
    """

    def __init__(
        self, *, now: Callable[[], float], random: Random, log: EventLog
    ) -> None:
        self.now = now
        self.random = random
        self.log = log
        self.on_news: Callable[[CrashNews], None] = _tell_nobody
        self.ledger_ = CrashLedger()
        self.quarantined_: set[RequestDigest] = set()

    def verdict(self, digest: RequestDigest) -> QuarantineVerdict:
        """Return how a request may run."""
        return decide_quarantine(self.ledger_.suspicion(digest), self.now())

    def is_suspect(self, digest: RequestDigest) -> bool:
        """Tell whether a request runs apart from others under suspicion."""
        return self.verdict(digest).action is QuarantineAction.RUN_APART

    def record_lost(
        self, digest: RequestDigest, endpoint_id: EndpointId, *, is_under_way: bool
    ) -> None:
        """Record that an endpoint closed a connection under a request."""
        if self.ledger_.holds(digest, endpoint_id, is_under_way=is_under_way):
            return
        case_id = CaseId(self.random.getrandbits(CASE_ID_BITS))
        case = CrashCase(case_id, digest, endpoint_id, is_under_way)
        self.ledger_.record(case, self.now())
        CRASH_CASES_TOTAL.labels(seen=SEEN_HERE).inc()
        self._follow_up()
        self.on_news(CrashNews(cases=[_report(case)]))

    def record_alive(self, endpoint_id: EndpointId, sent_at: float) -> None:
        """Record that an endpoint answered what was sent at a moment."""
        if self.ledger_.record_alive(endpoint_id, sent_at):
            self._follow_up()
            self.on_news(CrashNews(alive=[endpoint_id]))

    def record_answered(self, digest: RequestDigest) -> None:
        """Record that a request was answered whole."""
        if self.ledger_.clear(digest):
            self._follow_up()
            self.on_news(CrashNews(answered=[digest]))

    def learn(self, news: CrashNews) -> CrashNews | None:
        """Record what another process tells; return what of it was news."""
        now = self.now()
        cases = [
            report for report in news.cases if self.ledger_.record(_case(report), now)
        ]
        CRASH_CASES_TOTAL.labels(seen=SEEN_BY_PEER).inc(len(cases))
        alive = [
            endpoint_id
            for endpoint_id in news.alive
            if self.ledger_.take_back_endpoint(EndpointId(endpoint_id))
        ]
        answered = [
            digest
            for digest in news.answered
            if self.ledger_.clear(RequestDigest(digest))
        ]
        if not (cases or alive or answered):
            return None
        self._follow_up()
        return CrashNews(cases, alive, answered)

    def known(self) -> CrashNews | None:
        """Return what a new peer should know, None if there is nothing."""
        cases = [_report(case) for case in self.ledger_.told(self.now())]
        return CrashNews(cases=cases) if cases else None

    def _follow_up(self) -> None:
        """Log which requests are run no more, and which may run again."""
        found = self.ledger_.quarantined_
        if found == self.quarantined_:
            return
        for digest in found - self.quarantined_:
            suspicion = self.ledger_.suspicion(digest)
            self.log.report(
                Event.REQUEST_QUARANTINED,
                digest=digest,
                ends=suspicion.ends,
                endpoints=",".join(suspicion.endpoint_ids),
            )
        for digest in self.quarantined_ - found:
            self.log.report(Event.QUARANTINE_ENDED, digest=digest)
        self.quarantined_ = set(found)
        QUARANTINED_WORKS.set(len(found))


def _tell_nobody(news: CrashNews) -> None:
    """Stand for peers until there are links."""


def _report(case: CrashCase) -> CrashReport:
    return CrashReport(
        case.case_id,
        case.digest,
        case.endpoint_id,
        case.is_under_way,
        case.age_s * 1_000.0,
    )


def _case(report: CrashReport) -> CrashCase:
    return CrashCase(
        CaseId(report.case_id),
        RequestDigest(report.digest),
        EndpointId(report.endpoint_id),
        report.is_under_way,
        max(0.0, report.age_ms / 1_000.0),
    )
