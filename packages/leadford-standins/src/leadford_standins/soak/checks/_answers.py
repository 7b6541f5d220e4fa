"""Check that answers are complete, in order, and belong to their requests.

Compares what callers and endpoints saw, without regard to time. Relies on request ids
to match a run at an endpoint with the request of a caller.
"""

from leadford_standins.soak._events import EVENTS_PER_STREAM, events_of, rest_of
from leadford_standins.soak._ledger import Outcome, Ran, Sent
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)

UNREPEATABLE_ROUTES = ("unsafe", "once", "moved", "added", "gone", "never")
STREAM_ROUTES = ("resumed", "once")
NOT_RUN_STATUSES = (408, 421, 429, 503)
SIGNATURE_HEADER = "X-Server-Stamp"
STAMPED_STATUSES = (200, 500)


@promises("runs at most once")
class AtMostOnce:
    """A request that may not be repeated runs once, at one endpoint."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every unrepeatable request that ran more than once."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            runs = evidence.ledger.runs_of(sent.request_id)
            if sent.route in UNREPEATABLE_ROUTES and len(runs) > 1:
                found.append(broken_promise(self, sent, _describe_runs(runs)))
        return found


@promises("refused means not run")
class RefusedNotRun:
    """A request answered with 408, 421, 429 or 503 never runs."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every unrepeatable request that was refused and ran."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if (
                sent.route not in UNREPEATABLE_ROUTES
                or sent.status not in NOT_RUN_STATUSES
            ):
                continue
            runs = evidence.ledger.runs_of(sent.request_id)
            if runs:
                found.append(
                    broken_promise(self, sent, f"{sent.status}; {_describe_runs(runs)}")
                )
        return found


def _describe_runs(runs: list[Ran]) -> str:
    return ", ".join(f"{run.endpoint} at {run.at_s:.3f}" for run in runs)


@promises("an answer is whole, signed and of its request")
class WholeAnswer:
    """A 2xx answer is signed and has the complete body its endpoint sent for it."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every answer that differs from what an endpoint sent."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.outcome is not Outcome.WHOLE:
                continue
            defect = _find_answer_defect(sent, evidence)
            if defect:
                found.append(broken_promise(self, sent, defect))
        return found


def _find_answer_defect(sent: Sent, evidence: Evidence) -> str:
    stamp = sent.headers.get(SIGNATURE_HEADER)
    if stamp is not None and sent.status not in STAMPED_STATUSES:
        return f"signed {sent.status}"
    if not 200 <= sent.status < 300:
        return ""
    if stamp is None:
        return "not signed"
    if sent.headers.get("X-Attempt-Id") != sent.request_id:
        return f"of {sent.headers.get('X-Attempt-Id')}"
    endpoint = stamp.removeprefix("stamp.")
    runs = evidence.ledger.runs_of(sent.request_id)
    if endpoint not in [run.endpoint for run in runs]:
        return f"signed by {endpoint}, which did not run it"
    if sent.route in STREAM_ROUTES:
        return ""
    path = sent.path.partition("?")[0]
    expected = f"{endpoint} {path} ".encode() + sent.body
    return "" if sent.answer == expected else f"body {sent.answer[:80]!r}"


@promises("a stream is in order and whole")
class StreamOrder:
    """No event is missing, doubled or foreign; a complete stream has all events."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every stream with a missing, doubled or foreign event."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.route not in STREAM_ROUTES or sent.status != 200:
                continue
            defect = _find_stream_defect(sent)
            if defect:
                found.append(broken_promise(self, sent, defect))
        return found


def _find_stream_defect(sent: Sent) -> str:
    events = events_of(sent)
    rest = rest_of(sent)
    numbers = [event.number for event in events]
    if any(event.text_number != event.number for event in events):
        return "an event holds the text of another"
    if any(event.request_id != sent.request_id for event in events):
        return "an event of another request"
    first = sent.after_event + 1
    if numbers != list(range(first, first + len(numbers))):
        return f"events {numbers}"
    last = sent.after_event + len(numbers)
    if sent.outcome is Outcome.WHOLE and (rest or last != EVENTS_PER_STREAM):
        return f"ends as complete after {numbers} and {rest[:40]!r}"
    return ""


@promises("requests reach endpoints unaltered")
class Unaltered:
    """A run has the method, path, body, workspace and headers of its request."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every run that differs from its request."""
        found: list[Broken] = []
        for endpoint, run in evidence.ledger.run_records_:
            sent = evidence.ledger.sent_by_id_.get(run.request_id)
            if sent is None:
                found.append(
                    Broken(self.promise, run.request_id, endpoint, run.at_s, "unknown")
                )
                continue
            defect = _find_run_difference(
                sent, run.method, run.target, run.headers, run.body
            )
            if defect:
                found.append(broken_promise(self, sent, f"{defect} at {endpoint}"))
        for endpoint, item in evidence.ledger.items_:
            sent = evidence.ledger.sent_by_id_.get(item["id"])
            key = item.get("privateKey")
            if sent is None or key not in (None, sent.asked["X-Piece-Key"]):
                found.append(Broken(self.promise, item["id"], endpoint, 0.0, str(item)))
        return found


def _find_run_difference(
    sent: Sent, method: str, target: str, headers: dict[str, str], body: bytes
) -> str:
    if (method, target, body) != (sent.method, sent.path, sent.body):
        return f"{method} {target} {body[:40]!r}"
    if "Authorization" in headers:
        return "the key was passed on"
    if headers.get("X-Tenant") != "workspace-1":
        return f"workspace {headers.get('X-Tenant')}"
    for name in ("X-Model", "X-Token-Counts", "X-Prefix-Hash"):
        if headers.get(name) != sent.asked[name]:
            return f"{name} {headers.get(name)}"
    return ""
