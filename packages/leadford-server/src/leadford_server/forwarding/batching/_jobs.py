"""Hold the stages of requests under way, and which scheduler has each piece.

Defines the types that `_stages` and the other modules of this package share, and what
they need from the links to other entries.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

import msgspec

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching import (
    GroupId,
    PieceFailure,
    PieceGraph,
    PieceKey,
    PieceTask,
)
from leadford.forwarding.overload import DelayMark
from leadford.forwarding.routes import ResultHandle, RouteLevels
from leadford.quarantine import NO_DIGEST, RequestDigest


class StageFailure(Exception):
    """Signal that the stages of a request cannot be completed."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class PieceResult(msgspec.Struct, frozen=True):
    """Hold the outcome of a piece, and the endpoint that was called for it.

    Without a result, `reason` is the text of a PieceFailure, possibly followed by what
    is known of the cause.
    """

    handle: ResultHandle | None
    reason: str
    endpoint_id: EndpointId | None

    @property
    def failure(self) -> PieceFailure:
        """Return why there is no result."""
        return PieceFailure.from_text(self.reason)


Reply = Callable[[PieceTask, PieceResult], None]
InputsRead = Callable[[list[PieceTask]], None]


class LiveEntries(Protocol):
    """Provide the other entries that are alive."""

    def halls_by_live_entry(self) -> dict[EntryId, HallId]:
        """Return the hall of each entry known to be alive, without this one."""


class SchedulerLinks(Protocol):
    """Reach the schedulers at other entries, and the entries that submit pieces."""

    def submit(self, entry_id: EntryId, group: GroupId, task: PieceTask) -> bool:
        """Send a piece to a scheduler; return whether it is connected."""

    def cancel(self, entry_id: EntryId, correlation_ids: list[int]) -> None:
        """Tell a scheduler that pieces are no longer needed."""

    def release(
        self, entry_id: EntryId, endpoint_id: EndpointId, handles: list[ResultHandle]
    ) -> bool:
        """Tell a scheduler that results have no readers left."""

    def reply(self, task: PieceTask, answer: PieceResult) -> None:
        """Send the answer for a piece to the entry that submitted it."""

    def send_inputs_read(self, entry_id: EntryId, correlation_ids: list[int]) -> None:
        """Tell an entry that its pieces have fetched their inputs."""


class StageJob:
    """Hold the stages of one request while they run."""

    def __init__(
        self,
        *,
        request_id: RequestId,
        graph: PieceGraph,
        request_key: str,
        levels: RouteLevels,
        delay_s: float,
        deadline: float,
        due_at: float,
        is_late: bool,
        hall: HallId,
        done: asyncio.Future[None],
        digest: RequestDigest = NO_DIGEST,
        is_resumed: bool = False,
    ) -> None:
        self.request_id = request_id
        self.graph = graph
        self.request_key = request_key
        self.levels = levels
        self.delay_s = delay_s
        self.deadline = deadline
        self.due_at = due_at
        self.is_late = is_late
        self.hall = hall
        self.done_ = done
        self.digest = digest
        self.is_resumed = is_resumed
        self.is_over_ = False
        self.tries_by_key_: dict[PieceKey, int] = {}
        self.excluded_by_key_: dict[PieceKey, frozenset[EndpointId]] = {}
        self.correlation_ids_: set[int] = set()
        self.backlog_keys_: set[PieceKey] = set()

    def fail(self, detail: str) -> None:
        """End the job without its results."""
        if not self.done_.done():
            self.done_.set_exception(StageFailure(detail))
            # Mark the exception as retrieved: the request may have ended already.
            self.done_.exception()


class SentPiece(msgspec.Struct, eq=False):
    """Hold a piece that was submitted to a scheduler.

    `submitted` is when, with the delay of this entry until then. Units: overdue_at in
    seconds of the monotonic clock.
    """

    task: PieceTask
    job: StageJob
    group: GroupId
    scheduler_id: EntryId
    submitted: DelayMark
    overdue_at: float = 0.0


class ResultLocation(msgspec.Struct, frozen=True):
    """Describe where a result is stored and which entry accounts for it.

    If the scheduler is lost, the entry of the request reports the room that the result
    takes, until `reported_until`.

    Units: reported_until in seconds of the monotonic clock; 0 if nothing is reported.
    """

    endpoint_id: EndpointId
    hall: HallId
    scheduler_id: EntryId
    result_bytes: int
    reported_until: float = 0.0
