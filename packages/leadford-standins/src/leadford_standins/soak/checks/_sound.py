"""Check that nothing is given up while a sound endpoint works on it.

An endpoint is sound unless it misbehaves, ends, or is cut off; one that is silent for
a while is sound. Relies on `_cuts` for time limits and the grace period.
"""

from leadford_standins.soak._ledger import Ledger, Outcome, Ran, Sent
from leadford_standins.soak.checks._answers import NOT_RUN_STATUSES, STREAM_ROUTES
from leadford_standins.soak.checks._base import (
    Broken,
    Evidence,
    broken_promise,
    promises,
)
from leadford_standins.soak.checks._cuts import (
    TIME_USED_FRACTION,
    is_grace_over,
    time_limit_s,
)

# A fault may affect a run that began this long after the fault ended.
FAULT_MARGIN_S = 0.5
GIVEN_UP_STATUSES = (500, 502, 504)


def is_sound(run: Ran, sent: Sent, ledger: Ledger) -> bool:
    """Tell whether the endpoint of a run neither misbehaved, ended nor was cut off.

    An endpoint that was silent for a while is sound.
    """
    if (sent.request_id, run.endpoint) in ledger.misbehaved_by_run_:
        return False
    return not any(
        fault.scope == run.endpoint
        and fault.from_s <= sent.ended_at
        and fault.until_s >= run.at_s - FAULT_MARGIN_S
        for fault in ledger.disturbances_
    )


def is_at_sound_endpoint(sent: Sent, evidence: Evidence) -> bool:
    """Tell whether a request ended before its time while a sound endpoint ran it.

    Not counted: the process was killed, its grace period was over, or it is of the
    build that this one replaces.
    """
    ledger = evidence.ledger
    runs = ledger.runs_of(sent.request_id)
    if not runs or not is_sound(max(runs, key=lambda run: run.at_s), sent, ledger):
        return False
    elapsed_s = sent.ended_at - sent.sent_at
    if elapsed_s >= TIME_USED_FRACTION * time_limit_s(sent):
        return False
    process = ledger.incarnation(sent.entry, sent.incarnation)
    if process is None or process.was_killed or process.is_older:
        return False
    return not is_grace_over(sent, process, evidence.bounds.grace_s)


@promises("a stream is not closed while a sound engine sends it")
class SoundStreamsGoOn:
    """A stream whose last engine is sound ends complete, unless its time is over.

    No fault of the store, of other endpoints or of links between entries excuses a
    connection that is closed inside an answer, nor does silence of the engine.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every stream that was closed inside its answer."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.outcome is not Outcome.CUT or sent.status != 200:
                continue
            if sent.route not in STREAM_ROUTES:
                continue
            if not is_at_sound_endpoint(sent, evidence):
                continue
            found.append(broken_promise(self, sent, _describe_end(sent, evidence)))
        return found


@promises("a request is not given up while a sound endpoint runs it", timed=True)
class SoundRunsAreAwaited:
    """A request whose last endpoint is sound does not fail before its time is over.

    Another attempt that failed, the retry budget and silence of the endpoint excuse
    nothing.
    """

    def find(self, evidence: Evidence) -> list[Broken]:
        """Return every request that was answered with a failure instead."""
        found: list[Broken] = []
        for sent in evidence.ledger.sent_by_id_.values():
            if sent.outcome is not Outcome.WHOLE:
                continue
            if sent.status not in (*GIVEN_UP_STATUSES, *NOT_RUN_STATUSES):
                continue
            if not is_at_sound_endpoint(sent, evidence):
                continue
            found.append(broken_promise(self, sent, _describe_end(sent, evidence)))
        return found


def _describe_end(sent: Sent, evidence: Evidence) -> str:
    elapsed_s = sent.ended_at - sent.sent_at
    runs = ", ".join(
        f"{run.endpoint} at +{run.at_s - sent.sent_at:.2f}"
        for run in evidence.ledger.runs_of(sent.request_id)
    )
    return (
        f"{sent.route} {sent.outcome.value} {sent.status} after {elapsed_s:.2f} s of "
        f"{time_limit_s(sent):.2f} s, {len(sent.answer)} bytes, runs {runs}"
    )
