"""Hold the answer to a request while it grows, for any number of readers.

Owned by the run of the request (`_run`), which appends and ends it; each caller that
waits or streams is a reader (`_http`). A reader that goes leaves the run as it is.
"""

import asyncio
from collections.abc import Callable

import msgspec

from leadford.common import Outcome, RefusalReason


class Problem(msgspec.Struct, frozen=True):
    """Say why a request has no result (RFC 9457).

    Units: retry_after_ms is 0 when coming back would not help.
    """

    status: int
    reason: RefusalReason
    detail: str = ""
    retry_after_ms: float = 0.0


class Answer(msgspec.Struct, frozen=True):
    """Hold the end of a request."""

    outcome: Outcome
    result: bytes = b"null"
    problem: Problem | None = None


_TITLE_BY_REASON = {
    RefusalReason.DEADLINE: "The deadline cannot be met",
    RefusalReason.QUEUE_FULL: "Too much work waits",
    RefusalReason.DRAINING: "The process is stopping",
    RefusalReason.NO_ENDPOINT: "No endpoint can be reached",
    RefusalReason.STORE_UNAVAILABLE: "The key could not be claimed",
    RefusalReason.CLAIMS_FULL: "No room for further claims",
    RefusalReason.ALREADY_CLAIMED: "The key was used and its answer is not held",
    RefusalReason.KEY_EXPIRED: "The key is older than the retention",
    RefusalReason.ENDPOINT_ERROR: "An endpoint failed",
    RefusalReason.ENDPOINT_LOST: "An endpoint was lost",
    RefusalReason.RETRY_BUDGET: "No retry is affordable now",
    RefusalReason.CANCELLED: "The request was cancelled",
    RefusalReason.PAUSED: "The pipeline is paused",
    RefusalReason.NOT_READY: "No configuration is in force yet",
    RefusalReason.NOT_FOUND: "Not found",
    RefusalReason.BAD_REQUEST: "The request is malformed",
    RefusalReason.QUARANTINED: "Endpoints ended each time this request ran",
    RefusalReason.INTERRUPTED: "The entry could not finish the request",
}


def problem_document(problem: Problem, outcome: Outcome, request_id: str) -> bytes:
    """Return a problem as a JSON document."""
    document = {
        "type": f"urn:leadford:problem:{problem.reason.value}",
        "title": _TITLE_BY_REASON[problem.reason],
        "status": problem.status,
        "detail": problem.detail,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    return msgspec.json.encode(document)


class AnswerReader:
    """Wake one reader when the answer grew or its caller is gone."""

    def __init__(self) -> None:
        self.wake_ = asyncio.Event()
        self.gone_ = False

    async def wait(self) -> bool:
        """Wait for the next change; return False when the caller is gone."""
        if not self.gone_:
            await self.wake_.wait()
        self.wake_.clear()
        return not self.gone_

    def leave(self) -> None:
        """Record that the caller is gone."""
        self.gone_ = True
        self.wake_.set()


class AnswerBuffer:
    """Gather tokens and the end; tell the producer how far readers have come."""

    def __init__(self, *, texts: list[str], on_consumed: Callable[[int], None]) -> None:
        self.texts = texts
        self.on_consumed = on_consumed
        self.shown_ = 0
        self.final_: Answer | None = None
        self.locator_ = ""
        self.readers_: set[AnswerReader] = set()
        self.consumed_ = 0

    def wake_readers(self) -> None:
        """Wake the readers: tokens were added."""
        for reader in self.readers_:
            reader.wake_.set()

    def end(self, answer: Answer) -> None:
        """Set the end, once."""
        if self.final_ is not None:
            raise AssertionError("a request was answered twice")
        self.final_ = answer
        self.wake_readers()

    def record_consumed(self, sequence: int) -> None:
        """Record that a reader was sent tokens up to a sequence."""
        if sequence > self.consumed_:
            self.consumed_ = sequence
            self.on_consumed(sequence)
