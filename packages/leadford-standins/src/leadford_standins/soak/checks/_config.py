"""Check that entries apply the configuration correctly, in time and in order.

Compares the verdict on each request with what each version allows. The bound on time
applies only at entries that no fault affected for the contact time.
"""

from leadford_standins.soak._ledger import Outcome, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)
from leadford_standins.soak.parts import DENIED_KEY, DENIED_ROUTE, ConfigSeen

VERDICTS_BY_STATUS = {401: DENIED_KEY, 403: DENIED_KEY, 404: DENIED_ROUTE}
SIGNATURE_HEADER = "X-Server-Stamp"


def observed_verdicts(sent: Sent, evidence: Evidence) -> list[tuple[str, float]]:
    """Return the verdicts seen on a request, each with the time it was seen."""
    runs = evidence.ledger.runs_of(sent.request_id)
    seen = [(run.service, run.at_s) for run in runs]
    is_whole = sent.outcome is Outcome.WHOLE
    if (
        is_whole
        and sent.status in VERDICTS_BY_STATUS
        and SIGNATURE_HEADER not in sent.headers
    ):
        seen.append((VERDICTS_BY_STATUS[sent.status], sent.ended_at))
    return seen


def allowing_versions(
    sent: Sent, verdict: str, versions: list[ConfigSeen]
) -> list[int]:
    """Return the indexes of the versions that give a request this verdict."""
    return [
        index
        for index, version in enumerate(versions)
        if version.verdict(sent.path, sent.key) == verdict
    ]


@promises("nothing is done that no configuration allows")
class AllowedByVersion:
    """Every verdict follows from a version acknowledged before it was seen."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request whose verdict no version gives."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            for verdict, seen_at in observed_verdicts(sent, evidence):
                indexes = allowing_versions(sent, verdict, evidence.versions)
                if any(evidence.versions[at].acked_at <= seen_at for at in indexes):
                    continue
                detail = f"{sent.path} with {sent.key}: {verdict}"
                found.append(broken_promise(self, sent, detail))
        return found


@promises("a configuration is in force in time", timed=True)
class ConfigInTime:
    """In calm, no older version decides once the bound after a new one has passed.

    Counts requests for which no fault affected the entry or the store, from the contact
    time before the request until its verdict was seen.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that an outdated version decided."""
        found: list[Broken] = []
        versions = evidence.versions
        for sent in evidence.ledger.sent_by_id_.values():
            since = sent.sent_at - evidence.bounds.config_s
            oldest = sum(version.acked_at < since for version in versions) - 1
            for verdict, seen_at in observed_verdicts(sent, evidence):
                indexes = allowing_versions(sent, verdict, versions)
                if any(index >= oldest for index in indexes):
                    continue
                if not evidence.in_touch(sent, seen_at):
                    continue
                detail = f"{sent.path}: {verdict} as before version {oldest + 1}"
                found.append(broken_promise(self, sent, detail))
        return found


@promises("a process never goes back to an older configuration")
class NeverReverts:
    """Once a process applies a version, it applies no older one to later requests."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request decided by an older version than one seen before."""
        by_process: dict[tuple[str, int], list[Sent]] = {}
        for sent in evidence.ledger.sent_by_id_.values():
            process = (sent.entry, sent.incarnation)
            by_process.setdefault(process, []).append(sent)
        found: list[Broken] = []
        for requests in by_process.values():
            found += self._find_in_process(requests, evidence)
        return found

    def _find_in_process(
        self, requests: list[Sent], evidence: Evidence
    ) -> list[Broken]:
        effects: list[tuple[float, int]] = []
        for sent in requests:
            for verdict, seen_at in observed_verdicts(sent, evidence):
                indexes = allowing_versions(sent, verdict, evidence.versions)
                if indexes and indexes[0] > 0:
                    effects.append((seen_at, indexes[0]))
        effects.sort()
        found: list[Broken] = []
        for sent in requests:
            until = sent.sent_at - evidence.bounds.revert_s
            min_index = max((index for at, index in effects if at < until), default=0)
            for verdict, _ in observed_verdicts(sent, evidence):
                indexes = allowing_versions(sent, verdict, evidence.versions)
                if indexes and indexes[-1] < min_index:
                    detail = f"{sent.path}: {verdict}, seen before {min_index}"
                    found.append(broken_promise(self, sent, detail))
        return found
