"""Check what callers were answered: whole, their own, in order, and true.

Judges by what callers and endpoints saw, without regard to when. Relies on the names of
requests, which tell a run which one it belongs to.
"""

import re

from leadford_standins.soak._ledger import Outcome, Ran, Sent
from leadford_standins.soak.checks._base import Broken, Evidence, broken, promises

UNREPEATABLE = ("unsafe", "once", "moved", "added", "gone", "never")
STREAMS = ("resumed", "once")
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Events of each stream, as the engines of the stand-ins make them.
EVENTS = 5
STAMP = "X-Server-Stamp"
STAMPED_STATUSES = (200, 500)
_EVENT = re.compile(rb"id: (\d+)\ndata: token (\d+) of (\S+)\n\n")


@promises("runs at most once")
class AtMostOnce:
    """A request that may not be repeated runs at one endpoint, once."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that ran twice."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            runs = evidence.ledger.runs_of(sent.request_id)
            if sent.route in UNREPEATABLE and len(runs) > 1:
                found.append(broken(self, sent, _places(runs)))
        return found


@promises("refused means not run")
class NotRun:
    """A request that was told 408, 421, 429 or 503 never runs."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every unrepeatable request that was refused and ran."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.route not in UNREPEATABLE or sent.status not in NOT_RUN_STATUSES:
                continue
            runs = evidence.ledger.runs_of(sent.request_id)
            if runs:
                found.append(broken(self, sent, f"{sent.status}; {_places(runs)}"))
        return found


def _places(runs: list[Ran]) -> str:
    return ", ".join(f"{run.endpoint} at {run.at_s:.3f}" for run in runs)


@promises("an answer is whole, signed and of its request")
class WholeAnswer:
    """A 2xx has a signature and the whole body that its endpoint gave this request."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every answer that is not what an endpoint gave."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.outcome is not Outcome.WHOLE:
                continue
            fault = _answer_fault(sent, evidence)
            if fault:
                found.append(broken(self, sent, fault))
        return found


def _answer_fault(sent: Sent, evidence: Evidence) -> str:
    stamp = sent.headers.get(STAMP)
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
    if sent.route in STREAMS:
        return ""
    path = sent.path.partition("?")[0]
    wanted = f"{endpoint} {path} ".encode() + sent.body
    return "" if sent.answer == wanted else f"body {sent.answer[:80]!r}"


@promises("a stream is in order and whole")
class StreamOrder:
    """No event is missing, doubled or of another request; a whole stream has all."""

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every stream with a gap, a double or a stranger's event."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.route not in STREAMS or sent.status != 200:
                continue
            fault = _stream_fault(sent)
            if fault:
                found.append(broken(self, sent, fault))
        return found


def _stream_fault(sent: Sent) -> str:
    events = _EVENT.findall(sent.answer)
    rest = _EVENT.sub(b"", sent.answer)
    numbers = [int(number) for number, _, _ in events]
    if any(int(said) != int(number) for number, said, _ in events):
        return "an event holds the text of another"
    if any(owner != sent.request_id.encode() for _, _, owner in events):
        return "an event of another request"
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events {numbers}"
    if sent.outcome is Outcome.WHOLE and (rest or len(numbers) != EVENTS):
        return f"ends as complete after {numbers} and {rest[:40]!r}"
    return ""


@promises("requests reach endpoints unaltered")
class Unaltered:
    """What runs was asked for: method, path, body, workspace and headers agree."""

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
            fault = _run_fault(sent, run.method, run.target, run.headers, run.body)
            if fault:
                found.append(broken(self, sent, f"{fault} at {endpoint}"))
        for endpoint, item in evidence.ledger.items_:
            sent = evidence.ledger.sent_by_id_.get(item["id"])
            key = item.get("privateKey")
            if sent is None or key not in (None, f"pk-{item['id']}"):
                found.append(Broken(self.promise, item["id"], endpoint, 0.0, str(item)))
        return found


def _run_fault(
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
