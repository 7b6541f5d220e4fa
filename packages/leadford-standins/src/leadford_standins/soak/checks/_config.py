"""Check that entries follow the configuration: in time, forward only, truly.

Compares what was done with each request with what each version allows. Only entries
that were in touch with the store for the time of the bounds are judged by time.
"""

from leadford_standins.soak._ledger import Outcome, Sent
from leadford_standins.soak.checks._base import Broken, Evidence, broken, promises
from leadford_standins.soak.parts import DENIED_KEY, DENIED_ROUTE, ConfigSeen

DENIALS = {401: DENIED_KEY, 403: DENIED_KEY, 404: DENIED_ROUTE}
STAMP = "X-Server-Stamp"


def verdicts(sent: Sent, evidence: Evidence) -> list[tuple[str, float]]:
    """Return what was done with a request, and when that was seen."""
    runs = evidence.ledger.runs_of(sent.request_id)
    seen = [(run.service, run.at_s) for run in runs]
    is_whole = sent.outcome is Outcome.WHOLE
    if is_whole and sent.status in DENIALS and STAMP not in sent.headers:
        seen.append((DENIALS[sent.status], sent.ended_at))
    return seen


def allowing(sent: Sent, verdict: str, versions: list[ConfigSeen]) -> list[int]:
    """Return the places of the versions that would do this with a request."""
    return [
        place
        for place, version in enumerate(versions)
        if version.verdict(sent.path, sent.key) == verdict
    ]


@promises("nothing is done that no configuration allows")
class SomeVersion:
    """What runs or is denied is so by a version acknowledged before it was seen."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request handled as no version allows."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            for verdict, seen_at in verdicts(sent, evidence):
                places = allowing(sent, verdict, evidence.versions)
                if any(evidence.versions[at].acked_at <= seen_at for at in places):
                    continue
                detail = f"{sent.path} with {sent.key}: {verdict}"
                found.append(broken(self, sent, detail))
        return found


@promises("a configuration is in force in time", timed=True)
class ConfigInTime:
    """In calm, the configuration bound after a version no older one decides.

    Counts entries that no fault touched, nor the store, for the contact time before the
    request until its decision was seen.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that an older version decided."""
        found: list[Broken] = []
        versions = evidence.versions
        for sent in evidence.ledger.sent_by_id_.values():
            since = sent.sent_at - evidence.bounds.config_s
            oldest = sum(version.acked_at < since for version in versions) - 1
            for verdict, seen_at in verdicts(sent, evidence):
                places = allowing(sent, verdict, versions)
                if any(place >= oldest for place in places):
                    continue
                if not evidence.in_touch(sent, seen_at):
                    continue
                detail = f"{sent.path}: {verdict} as before version {oldest + 1}"
                found.append(broken(self, sent, detail))
        return found


@promises("a process never goes back to an older configuration")
class NeverBack:
    """Once a version took effect in a process, no later request is older there."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request handled by an older version than one seen before."""
        by_process: dict[tuple[str, int], list[Sent]] = {}
        for sent in evidence.ledger.sent_by_id_.values():
            process = (sent.entry, sent.incarnation)
            by_process.setdefault(process, []).append(sent)
        found: list[Broken] = []
        for requests in by_process.values():
            found += self._find_in(requests, evidence)
        return found

    def _find_in(self, requests: list[Sent], evidence: Evidence) -> list[Broken]:
        effects: list[tuple[float, int]] = []
        for sent in requests:
            for verdict, seen_at in verdicts(sent, evidence):
                places = allowing(sent, verdict, evidence.versions)
                if places and places[0] > 0:
                    effects.append((seen_at, places[0]))
        effects.sort()
        found: list[Broken] = []
        for sent in requests:
            until = sent.sent_at - evidence.bounds.revert_s
            floor = max((place for at, place in effects if at < until), default=0)
            for verdict, _ in verdicts(sent, evidence):
                places = allowing(sent, verdict, evidence.versions)
                if places and places[-1] < floor:
                    detail = f"{sent.path}: {verdict}, seen before {floor}"
                    found.append(broken(self, sent, detail))
        return found
