"""Check bounds on time and on retries, and that processes exit only when stopped.

Most bounds hold only on a machine that keeps up, so untimed runs skip them. Each bound
has some slack for the delays of the soak itself.
"""

import signal
from collections import defaultdict

from leadford_standins.soak._base import STORE
from leadford_standins.soak._ledger import Incarnation, Outcome, Ran, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)

# A bound is broken when it is exceeded by more than this: the users allow half a
# second, and the rest covers delays of the soak's own event loop.
LATE_TOLERANCE_S = 0.8
ARRIVAL_TOLERANCE_S = 0.25
# Time within which an entry must notice that a caller left.
CALLER_LEFT_TOLERANCE_S = 0.8
# The deadline passed to an endpoint may exceed the remaining time by this.
DEADLINE_SLACK_S = 0.6


def _has_answered(process: Incarnation, evidence: Evidence) -> bool:
    return any(
        sent.status != 0
        and (sent.entry, sent.incarnation) == (process.entry, process.number)
        for sent in evidence.ledger.sent_by_id_.values()
    )


@promises("a process ends only when it is told to")
class ExitsOnlyWhenStopped:
    """No process ends by itself, and a planned stop ends with status 0.

    A process that receives SIGTERM before it listens is ended by the signal, which no
    caller notices: it counts only if a caller had an answer from it.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every process that ended otherwise."""
        found: list[Broken] = []
        for process in evidence.ledger.incarnations_:
            if process.ended_at is None or process.was_killed:
                continue
            if process.term_at is not None and process.status == 0:
                continue
            if process.status == -signal.SIGTERM and not _has_answered(
                process, evidence
            ):
                continue
            cause = "after SIGTERM" if process.term_at is not None else "by itself"
            detail = f"start {process.number} ended {cause} with {process.status}"
            found.append(
                Broken(self.promise, "", process.entry, process.ended_at, detail)
            )
        return found


@promises("a request ends by its route's time", timed=True)
class EndsInTime:
    """At entries in touch a request ends within the timeout of its route."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that took longer."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.outcome is Outcome.UNSENT:
                continue
            elapsed_s = sent.ended_at - sent.sent_at
            if elapsed_s <= sent.timeout_s + LATE_TOLERANCE_S:
                continue
            if not evidence.in_touch(sent, sent.ended_at):
                continue
            found.append(
                broken_promise(self, sent, f"{sent.route} held {elapsed_s:.2f} s")
            )
        return found


@promises("nothing new goes to an endpoint that leaves", timed=True)
class NothingNewToLeavingEndpoint:
    """In calm, nothing arrives later than the drain bound after a departure."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that arrived later."""
        left_at = {d.endpoint: d.at_s for d in evidence.ledger.departures_}
        found: list[Broken] = []
        for arrival in evidence.ledger.arrivals_:
            if arrival.endpoint not in left_at or arrival.is_refused:
                continue
            late_s = arrival.at_s - left_at[arrival.endpoint] - evidence.bounds.drain_s
            sent = evidence.ledger.sent_by_id_.get(arrival.request_id)
            if late_s <= ARRIVAL_TOLERANCE_S or sent is None:
                continue
            if not self._was_calm(sent, arrival, evidence):
                continue
            found.append(
                broken_promise(self, sent, f"{arrival.endpoint}, {late_s:.2f} s late")
            )
        return found

    def _was_calm(self, sent: Sent, arrival: Ran, evidence: Evidence) -> bool:
        scopes = (sent.entry, STORE, arrival.endpoint)
        since = sent.sent_at - evidence.bounds.contact_s
        return evidence.ledger.is_calm(scopes, since, arrival.at_s)


@promises("repeats stay within their budget")
class RetryBudget:
    """In each window a service gets no more retries than the ratio and slack allow.

    Each entry keeps its part of the budget in memory, so each restart of a process
    allows the budget once more.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return the first window with too many retries of each service."""
        firsts: dict[str, list[float]] = defaultdict(list)
        repeats: dict[str, list[float]] = defaultdict(list)
        seen: set[str] = set()
        for arrival in sorted(evidence.ledger.arrivals_, key=lambda a: a.at_s):
            is_first = arrival.request_id not in seen
            seen.add(arrival.request_id)
            (firsts if is_first else repeats)[arrival.service].append(arrival.at_s)
        found: list[Broken] = []
        for service, times in repeats.items():
            found += self._find_for_service(service, times, firsts[service], evidence)
        return found

    def _find_for_service(
        self, service: str, times: list[float], firsts: list[float], evidence: Evidence
    ) -> list[Broken]:
        bounds = evidence.bounds
        for begin in times:
            end = begin + bounds.retry_window_s
            retry_count = sum(begin <= at < end for at in times)
            request_count = max(
                sum(begin - shift_s <= at < end - shift_s for at in firsts)
                for shift_s in (0.0, bounds.retry_window_s / 2, bounds.retry_window_s)
            )
            starts = sum(
                begin - bounds.retry_window_s <= process.started_at < end
                and process.number > 1
                for process in evidence.ledger.incarnations_
            )
            allowed = (bounds.retry_ratio * request_count + bounds.retry_slack) * (
                1 + starts
            )
            if retry_count > allowed:
                detail = (
                    f"{retry_count} repeats, {allowed:.0f} allowed, from {begin:.2f}"
                )
                return [Broken(self.promise, "", service, begin, detail)]
        return []


@promises("a request goes to no more endpoints than its route allows")
class AttemptsMax:
    """A request runs at no more endpoints than its route has attempts."""

    MAX_ENDPOINTS_BY_ROUTE = {"safe": 2, "resumed": 2}

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that ran at more endpoints."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            endpoints = {r.endpoint for r in evidence.ledger.runs_of(sent.request_id)}
            if len(endpoints) > self.MAX_ENDPOINTS_BY_ROUTE.get(sent.route, 1):
                found.append(
                    broken_promise(self, sent, f"{sent.route}: {sorted(endpoints)}")
                )
        return found


@promises("what a caller left is not begun", timed=True)
class NotBegunAfterCallerLeft:
    """At entries in touch no request arrives long after its caller left."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that arrived after its caller had left."""
        found: list[Broken] = []
        for arrival in evidence.ledger.arrivals_:
            sent = evidence.ledger.sent_by_id_.get(arrival.request_id)
            if sent is None or sent.outcome is not Outcome.LEFT:
                continue
            late_s = arrival.at_s - sent.ended_at
            if late_s <= CALLER_LEFT_TOLERANCE_S or not evidence.in_touch(
                sent, arrival.at_s
            ):
                continue
            if not evidence.ledger.is_calm(
                (arrival.endpoint,), sent.sent_at, arrival.at_s
            ):
                continue
            found.append(
                broken_promise(self, sent, f"{arrival.endpoint}, {late_s:.2f} s late")
            )
        return found


@promises("an endpoint is given no more time than is left", timed=True)
class DeadlinePassedOn:
    """At entries in touch the deadline passed on is that of the caller."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every run that was given more time than is left."""
        found: list[Broken] = []
        for endpoint, run in evidence.ledger.run_records_:
            sent = evidence.ledger.sent_by_id_.get(run.request_id)
            if sent is None or not evidence.in_touch(sent, run.at_s):
                continue
            if not evidence.ledger.is_calm((endpoint,), sent.sent_at, run.at_s):
                continue
            given_s = float(run.headers.get("X-Deadline-Ms", "inf")) / 1_000.0
            asked_s = float(sent.asked["X-Deadline-Ms"]) / 1_000.0
            excess_s = run.at_s + given_s - sent.sent_at - asked_s
            if excess_s > DEADLINE_SLACK_S:
                found.append(
                    broken_promise(self, sent, f"{excess_s:.2f} s more at {endpoint}")
                )
        return found
