"""Record which prompt parts ran when endpoints crashed, and decide which may run.

Owns the cases against prompt parts of one process, its trials of refused parts, its
log lines and metrics. Local observations go to `publish_news`, which sends them to
other processes. News from other processes comes to `apply_news`, which returns the part
that was new, so that it can be passed on. `leadford.quarantine` decides which part is
at fault.
"""

from collections.abc import Callable, Collection, Iterable
from random import Random

from leadford.common import EndpointId
from leadford.events import Event
from leadford.protocol import LostRunReport, PartsAnsweredReport, PromptNews
from leadford.quarantine import (
    UNDER_WAY_S,
    CaseId,
    LostRun,
    PartBlame,
    PartBlames,
    PartCases,
    PartId,
    PartTrials,
    PromptKeys,
    ProvenParts,
    QuarantineVerdict,
    RequestDigest,
)
from leadford_server.logs import EventLog
from leadford_server.metrics import PROMPT_CASES_TOTAL, QUARANTINED_PARTS
from leadford_server.quarantine._requests import CASE_ID_BITS, SEEN_BY_PEER, SEEN_HERE

# Runs that are sent to a new peer, the newest first; an encoded run takes 100 bytes.
MAX_SHARED_RUNS = 600


class PromptQuarantine:
    """Decide whether requests may run, given the crashes under parts of their prompts.

    Units: `now` returns seconds; all times here are on its clock.
    """

    def __init__(
        self, *, now: Callable[[], float], random: Random, log: EventLog
    ) -> None:
        self.now = now
        self.random = random
        self.log = log
        self.publish_news: Callable[[PromptNews], None] = _discard_news
        self.cases_ = PartCases()
        self.blames_ = PartBlames(self.cases_)
        self.trials_ = PartTrials(random=random)
        self.proven_ = ProvenParts()
        self.known_by_part_: dict[PartId, PartBlame] = {}

    def verdict(self, keys: PromptKeys) -> QuarantineVerdict:
        """Return how a request may run."""
        now = self.now()
        suspicion = self.blames_.suspicion(keys, now)
        if suspicion.known is not None:
            self._log_changes()
        return self.trials_.decide(suspicion, keys, now)

    def record_connection_lost(
        self, keys: PromptKeys, endpoint_id: EndpointId, *, answering_s: float
    ) -> None:
        """Record that an endpoint closed a connection while it ran a request.

        Units: answering_s, for how long the answer had been arriving, in seconds.
        """
        if not keys.part_ids:
            return
        case_id = CaseId(self.random.getrandbits(CASE_ID_BITS))
        proven_ids = self.proven_.proven(keys.part_ids, self.now())
        is_under_way = answering_s > UNDER_WAY_S
        run = LostRun(case_id, endpoint_id, keys, proven_ids, is_under_way)
        self._record(run)
        PROMPT_CASES_TOTAL.labels(seen=SEEN_HERE).inc()
        self._log_changes()
        self.publish_news(PromptNews(lost=[_report_from_run(run)]))

    def record_answered(self, keys: PromptKeys, begun_at: float) -> None:
        """Record a complete answer to a request, which began at `begun_at`."""
        self.proven_.record(keys.part_ids, begun_at)
        cleared = self.cases_.clear(keys.part_ids, begun_at)
        if not cleared:
            return
        self._log_changes()
        age_ms = (self.now() - begun_at) * 1_000.0
        report = PartsAnsweredReport(list(cleared), age_ms)
        self.publish_news(PromptNews(answered=[report]))

    def apply_news(self, news: PromptNews) -> PromptNews | None:
        """Record news from another process; return the part that was new, or None."""
        lost = [
            report for report in news.lost if self._record(_run_from_report(report))
        ]
        PROMPT_CASES_TOTAL.labels(seen=SEEN_BY_PEER).inc(len(lost))
        answered = [report for report in news.answered if self._clear(report)]
        if not (lost or answered):
            return None
        self._log_changes()
        return PromptNews(lost, answered)

    def news_for_new_peer(self) -> PromptNews | None:
        """Return the news to send to a new peer, None if there is none."""
        now = self.now()
        lost = []
        for crash, run in self.cases_.runs():
            if len(lost) >= MAX_SHARED_RUNS:
                break
            age_s = max(0.0, now - crash.at)
            report = _report_from_run(run, age_s, cleared_ids=crash.cleared_ids_)
            if report.parts:
                lost.append(report)
        return PromptNews(lost=lost) if lost else None

    def _record(self, run: LostRun) -> bool:
        """Record a run, and clear the parts that were answered since; return if new."""
        now = self.now()
        if not self.cases_.record(run, now):
            return False
        lost_at = now - run.age_s
        for part_id in run.keys.part_ids:
            begun_at = self.proven_.begun_at(part_id)
            if begun_at >= lost_at:
                self.cases_.clear([part_id], begun_at)
        return True

    def _clear(self, report: PartsAnsweredReport) -> bool:
        part_ids = [PartId(part) for part in report.parts]
        begun_at = self.now() - max(0.0, report.age_ms) / 1_000.0
        return bool(self.cases_.clear(part_ids, begun_at))

    def _log_changes(self) -> None:
        """Log which parts became known to crash endpoints, and which may run again."""
        known = {blame.part_id: blame for blame in self.blames_.known(self.now())}
        if known.keys() == self.known_by_part_.keys():
            return
        for part_id in known.keys() - self.known_by_part_.keys():
            self._log_known(known[part_id])
        for part_id in self.known_by_part_.keys() - known.keys():
            self.log.report(Event.PROMPT_PART_CLEARED, part=part_id)
        self.known_by_part_ = known
        self.trials_.retain(set(known))
        QUARANTINED_PARTS.set(len(known))

    def _log_known(self, blame: PartBlame) -> None:
        self.log.report(
            Event.PROMPT_PART_QUARANTINED,
            part=blame.part_id,
            crashes=blame.crashes,
            companions=_text(blame.companion_parts),
            is_proven=blame.is_proven,
            since_first_ms=round((self.now() - blame.first_at) * 1_000.0),
        )


def _discard_news(news: PromptNews) -> None:
    """Do nothing; the default until `publish_news` is set."""


def _text(names: Iterable[str]) -> str:
    return ",".join(sorted(names))


def _report_from_run(
    run: LostRun, age_s: float = 0.0, *, cleared_ids: Collection[PartId] = ()
) -> LostRunReport:
    """Return the report of a run, without the parts that were cleared of its crash."""
    return LostRunReport(
        run.case_id,
        run.keys.digest,
        run.endpoint_id,
        [name for name in run.keys.part_ids if name not in cleared_ids],
        list(run.proven_ids),
        run.is_under_way,
        age_s * 1_000.0,
    )


def _run_from_report(report: LostRunReport) -> LostRun:
    parts = tuple(PartId(part) for part in report.parts)
    return LostRun(
        CaseId(report.case_id),
        EndpointId(report.endpoint_id),
        PromptKeys(RequestDigest(report.digest), parts),
        tuple(PartId(part) for part in report.proven),
        report.is_under_way,
        max(0.0, report.age_ms / 1_000.0),
    )
