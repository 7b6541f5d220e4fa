"""Check that what ends its endpoints is soon sent to none, and that the rest is served.

Judges by the runs of requests with such a body or such a part of their prompt, as
endpoints recorded them, and by what callers of other streams got meanwhile. The ledger
lists the bodies and the parts.
"""

from operator import attrgetter

from leadford_standins.soak._ledger import Ledger, Outcome, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Check,
    Evidence,
    broken_promise,
    promises,
)
from leadford_standins.soak.checks._software import is_at_older_build
from leadford_standins.wire import Run

# Ended endpoints before the bound applies, and runs allowed after the contact time.
MAX_ENDS = 3
MAX_LATER_RUNS = 3
# The same for a part of a prompt.
MAX_PART_ENDS = 5
# Harmless streams are judged if there are as many in both times, and must be served at
# least this part as often beside a part that ends engines as without.
MIN_STREAMS = 20
MIN_SERVED_RATIO = 0.5
STREAM_ROUTES = ("resumed", "once")
PROMPT_HEADER = "X-Prefix-Hash"
IN_ORDER = attrgetter("at_s", "request_id")


def ends_endpoints(sent: Sent, ledger: Ledger) -> bool:
    """Tell whether a request ends each endpoint that runs it."""
    return sent.body in ledger.ending_bodies_ or bool(ending_part(sent, ledger))


def ending_part(sent: Sent, ledger: Ledger) -> str:
    """Return the part of a request's prompt that ends engines; empty if none does."""
    if not ledger.ending_parts_:
        return ""
    parts = sent.asked.get(PROMPT_HEADER, "").split(",")
    names = {part.partition(":")[0] for part in parts[:-1]}
    return next(iter(names & ledger.ending_parts_), "")


def body_runs(body: bytes, ledger: Ledger) -> list[Run]:
    """Return the runs of requests with a body, in order of time."""
    runs = [run for _, run in ledger.run_records_ if run.body == body]
    return sorted(runs, key=IN_ORDER)


def part_runs(part: str, ledger: Ledger) -> list[Run]:
    """Return the runs of a part that entries of this build sent, in order of time."""
    runs: list[Run] = []
    for _, run in ledger.run_records_:
        sent = ledger.sent_by_id_.get(run.request_id)
        if sent is None or ending_part(sent, ledger) != part:
            continue
        if not is_at_older_build(sent, ledger):
            runs.append(run)
    return sorted(runs, key=IN_ORDER)


def find_later_run(
    check: Check, runs: list[Run], max_ends: int, evidence: Evidence
) -> list[Broken]:
    """Return the first run beyond those allowed after the last end that counts.

    Judges the runs later than the contact time after that end, at entries in touch.
    """
    if len(runs) <= max_ends:
        return []
    known_at = runs[max_ends - 1].at_s + evidence.bounds.contact_s
    later: list[Sent] = []
    for run in runs:
        if run.at_s <= known_at:
            continue
        sent = evidence.ledger.sent_by_id_[run.request_id]
        if evidence.in_touch(sent, sent.ended_at):
            later.append(sent)
    if len(later) <= MAX_LATER_RUNS:
        return []
    sent = later[MAX_LATER_RUNS]
    detail = f"{sent.route}: {len(later)} runs more after {max_ends} ends"
    return [broken_promise(check, sent, detail)]


@promises("a request that ends its endpoints is soon sent to none")
class CrashingRequestContained:
    """The contact time after its third end, a request runs at most three times more."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the first run beyond the bound of each such request."""
        found: list[Broken] = []
        for body in evidence.ledger.ending_bodies_:
            runs = body_runs(body, evidence.ledger)
            found += find_later_run(self, runs, MAX_ENDS, evidence)
        return found


@promises("a prompt part that ends its engines is soon sent to none")
class CrashingPartContained:
    """The contact time after its fifth end, a part runs at most three times more."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the first run beyond the bound of each such part."""
        found: list[Broken] = []
        for part in evidence.ledger.ending_parts_:
            runs = part_runs(part, evidence.ledger)
            found += find_later_run(self, runs, MAX_PART_ENDS, evidence)
        return found


@promises("harmless streams are served beside a part that ends engines", timed=True)
class HarmlessPromptsServed:
    """Streams without such a part are served half as often as without one at least.

    Judges the time from twice the contact time after the last crash that may count, for
    as long as requests with the part come, at entries in touch.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the first harmless stream that was lost, if too many were."""
        found: list[Broken] = []
        for part in evidence.ledger.ending_parts_:
            beside, apart = self._streams(part, evidence)
            if len(beside) < MIN_STREAMS or len(apart) < MIN_STREAMS:
                continue
            served, usual = served_fraction(beside), served_fraction(apart)
            if served >= MIN_SERVED_RATIO * usual:
                continue
            lost = next(sent for sent in beside if not is_served(sent))
            detail = f"{served:.2f} of {len(beside)} served, {usual:.2f} otherwise"
            found.append(broken_promise(self, lost, detail))
        return found

    def _streams(self, part: str, evidence: Evidence) -> tuple[list[Sent], list[Sent]]:
        """Return the harmless streams beside a part, and those before it came."""
        runs = part_runs(part, evidence.ledger)[:MAX_PART_ENDS]
        if not runs:
            return [], []
        ledger = evidence.ledger
        sent_at = [
            sent.sent_at
            for sent in ledger.sent_by_id_.values()
            if ending_part(sent, ledger) == part
        ]
        since = runs[-1].at_s + 2.0 * evidence.bounds.contact_s
        beside, apart = [], []
        for sent in ledger.sent_by_id_.values():
            if not self._counts(sent, evidence):
                continue
            if since <= sent.sent_at <= max(sent_at):
                beside.append(sent)
            elif sent.ended_at < min(sent_at):
                apart.append(sent)
        return beside, apart

    def _counts(self, sent: Sent, evidence: Evidence) -> bool:
        ledger = evidence.ledger
        if sent.route not in STREAM_ROUTES or sent.outcome is Outcome.UNSENT:
            return False
        if sent.detail == "gives up" or sent.resumes or ends_endpoints(sent, ledger):
            return False
        if is_at_older_build(sent, ledger):
            return False
        return evidence.in_touch(sent, sent.ended_at)


def is_served(sent: Sent) -> bool:
    """Tell whether a stream was served whole."""
    return sent.outcome is Outcome.WHOLE and 200 <= sent.status < 300


def served_fraction(streams: list[Sent]) -> float:
    """Return the fraction of some streams that were served."""
    return sum(map(is_served, streams)) / len(streams)
