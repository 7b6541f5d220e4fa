"""Check that streams stay at the software version that began them, and that they go on.

Relies on the events, which name the version of the engine that wrote them, and on the
name of the request that began a stream, which callers give when they resume it.
"""

from leadford_standins.soak._base import STORE
from leadford_standins.soak._events import RESUMABLE_ROUTE, events_of
from leadford_standins.soak._ledger import Ledger, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)

# Fewer streams than this show nothing of the share that goes on.
MIN_STREAMS = 12
# Engines of its version that must serve for a stream to count.
MIN_ENGINES = 2
# The share of streams that go on, relative to the share of new ones that begin.
MIN_RELATIVE_SHARE = 0.5


@promises("a stream stays at one software version")
class OneSoftwareVersion:
    """All events of a stream, over every try of its caller, are of one version.

    Answers of the build that this one replaces are not judged: it knows no versions.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every answer with events of another version."""
        ledger = evidence.ledger
        found: list[Broken] = []
        for sent in ledger.sent_by_id_.values():
            if sent.route != RESUMABLE_ROUTE or is_at_older_build(sent, ledger):
                continue
            versions = {event.software for event in events_of(sent)}
            began = software_that_began(sent, ledger)
            if began is not None and versions - {began}:
                detail = f"began at {began}, events of {sorted(versions)}"
                found.append(broken_promise(self, sent, detail))
        return found


def software_that_began(sent: Sent, ledger: Ledger) -> str | None:
    """Return the version that wrote the first event of a stream; None without one."""
    first = ledger.sent_by_id_[sent.resumes] if sent.resumes else sent
    events = events_of(first)
    return events[0].software if events else None


def began_at_older_build(sent: Sent, ledger: Ledger) -> bool:
    """Tell whether a stream began at the replaced build, which tells nobody of it."""
    return bool(sent.resumes) and is_at_older_build(
        ledger.sent_by_id_[sent.resumes], ledger
    )


def is_unnamed(sent: Sent) -> bool:
    """Tell whether a caller resumes a stream without naming it.

    Where entries may have lost a stream of the same content, it is refused.
    """
    return "Last-Event-Id" in sent.asked and "Resumes" not in sent.asked


def is_at_older_build(sent: Sent, ledger: Ledger) -> bool:
    """Tell whether a request went to an entry of the build that this one replaces."""
    process = ledger.incarnation(sent.entry, sent.incarnation)
    return process is not None and process.is_older


@promises("resumed streams go on", timed=True)
class ResumedGoesOn:
    """Of streams resumed at entries in touch, not far fewer go on than new ones begin.

    Counts those of which engines of their version serve, undisturbed. Streams that an
    entry of the replaced build began are known to nobody and not judged.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the share that went on, if it is too low."""
        ledger = evidence.ledger
        streams = [
            sent
            for sent in ledger.sent_by_id_.values()
            if sent.route == RESUMABLE_ROUTE and self._is_judged(sent, evidence)
        ]
        new = [sent for sent in streams if not sent.resumes]
        resumed = [sent for sent in streams if sent.resumes]
        if len(resumed) < MIN_STREAMS or not new:
            return []
        began = share_with_events(new)
        went_on = share_with_events(resumed)
        if went_on >= MIN_RELATIVE_SHARE * began:
            return []
        detail = f"{went_on:.2f} of {len(resumed)} went on, {began:.2f} of new began"
        return [broken_promise(self, resumed[0], detail)]

    def _is_judged(self, sent: Sent, evidence: Evidence) -> bool:
        ledger = evidence.ledger
        if is_at_older_build(sent, ledger) or not evidence.in_touch(
            sent, sent.ended_at
        ):
            return False
        if not sent.resumes:
            return True
        software = software_that_began(sent, ledger)
        if software is None or began_at_older_build(sent, ledger) or is_unnamed(sent):
            return False
        return count_serving(software, sent, evidence) >= MIN_ENGINES


def share_with_events(streams: list[Sent]) -> float:
    """Return the share of streams of which the caller received an event."""
    return sum(bool(events_of(sent)) for sent in streams) / len(streams)


def count_serving(software: str, sent: Sent, evidence: Evidence) -> int:
    """Return how many engines of a version served undisturbed around a request."""
    ledger = evidence.ledger
    since = sent.sent_at - evidence.bounds.contact_s
    left_at = {departure.endpoint: departure.at_s for departure in ledger.departures_}
    count = 0
    for engine in ledger.engines_:
        if engine.software != software or engine.listed_at > since:
            continue
        if left_at.get(engine.endpoint, sent.ended_at + 1.0) <= sent.ended_at:
            continue
        count += ledger.is_calm((engine.endpoint, STORE), since, sent.ended_at)
    return count
