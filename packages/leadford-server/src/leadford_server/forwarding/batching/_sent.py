"""Hold the pieces that schedulers have, and match their answers.

Each piece that is sent has a correlation id, by which its answer is known. A piece
whose scheduler is lost, or silent for too long, is given back by `on_lost`; an answer
that comes after that matches nothing.
"""

from collections.abc import Callable

from leadford.common import EntryId
from leadford.forwarding.batching import ENDPOINT_LOST, scheduler_limit_at
from leadford.forwarding.endpoints import EndpointFailure
from leadford.forwarding.routes import PieceLimits
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._groups import GroupChooser
from leadford_server.forwarding.batching._jobs import (
    PieceResult,
    SchedulerLinks,
    SentPiece,
    StageJob,
)
from leadford_server.forwarding.batching._scheduler import BatchScheduler

# What the log says of a piece that its scheduler did not answer.
REASON_SCHEDULER_LOST = "keeper lost"
REASON_SCHEDULER_SILENT = "keeper silent"
# Bits of a correlation id that are drawn, and those that count: another process of this
# entry must never draw the same correlation ids.
ID_BITS_DRAWN = 40
ID_BITS_COUNTED = 20


class SentPieces:
    """Hand pieces to schedulers, and follow them until they are answered."""

    def __init__(
        self,
        *,
        state: ForwardState,
        entry_id: EntryId,
        scheduler: BatchScheduler,
        groups: GroupChooser,
        on_lost: Callable[[SentPiece, PieceResult], None],
    ) -> None:
        self.state = state
        self.entry_id = entry_id
        self.scheduler = scheduler
        self.groups = groups
        self.on_lost = on_lost
        self.links: SchedulerLinks | None = None
        self.sent_by_id_: dict[int, SentPiece] = {}
        drawn = state.random.getrandbits(ID_BITS_DRAWN)
        self.next_id_ = drawn << ID_BITS_COUNTED

    def new_correlation_id(self) -> int:
        """Return a correlation id that was never used."""
        correlation_id = self.next_id_
        self.next_id_ += 1
        return correlation_id

    def hand_over(self, sent: SentPiece, limits: PieceLimits, now: float) -> None:
        """Give a piece to its scheduler; this entry keeps it when no link stands."""
        wait_s = self.groups.wait_s(sent.group, limits, now)
        sent.overdue_at = scheduler_limit_at(limits, wait_s, now)
        self.sent_by_id_[sent.task.correlation_id] = sent
        sent.job.correlation_ids_.add(sent.task.correlation_id)
        self.groups.loads_.record_sent(sent.group)
        if sent.scheduler_id != self.entry_id:
            if self.links.submit(sent.scheduler_id, sent.group, sent.task):
                return
            sent.scheduler_id = self.entry_id
        self.scheduler.submit(sent.group, sent.task)

    def awaited(self, scheduler_id: EntryId, correlation_id: int) -> SentPiece | None:
        """Return the piece that a scheduler answers, if its answer is awaited."""
        sent = self.sent_by_id_.get(correlation_id)
        if sent is None or sent.scheduler_id != scheduler_id:
            return None
        return sent

    def settle(self, sent: SentPiece) -> None:
        """Record that the answer for a piece has come."""
        del self.sent_by_id_[sent.task.correlation_id]
        sent.job.correlation_ids_.discard(sent.task.correlation_id)

    def cancel(self, job: StageJob) -> None:
        """Drop the pieces of a job that schedulers have."""
        ids_by_scheduler: dict[EntryId, list[int]] = {}
        for correlation_id in job.correlation_ids_:
            sent = self.sent_by_id_.pop(correlation_id, None)
            if sent is not None:
                ids_by_scheduler.setdefault(sent.scheduler_id, []).append(
                    correlation_id
                )
        job.correlation_ids_.clear()
        for scheduler_id, correlation_ids in ids_by_scheduler.items():
            if scheduler_id == self.entry_id:
                self.scheduler.cancel(self.entry_id, set(correlation_ids))
            else:
                self.links.cancel(scheduler_id, correlation_ids)

    def scheduler_lost(self, entry_id: EntryId) -> None:
        """Make elsewhere what a lost scheduler had."""
        lost = [s for s in self.sent_by_id_.values() if s.scheduler_id == entry_id]
        for sent in lost:
            self._give_back(sent, REASON_SCHEDULER_LOST)

    def check(self) -> None:
        """Make elsewhere what is overdue at its scheduler."""
        now = self.state.now()
        overdue = [s for s in self.sent_by_id_.values() if s.overdue_at <= now]
        for sent in overdue:
            self._give_back(sent, REASON_SCHEDULER_SILENT)

    def _give_back(self, sent: SentPiece, reason: str) -> None:
        if self.sent_by_id_.pop(sent.task.correlation_id, None) is None:
            return
        sent.job.correlation_ids_.discard(sent.task.correlation_id)
        if sent.scheduler_id != self.entry_id:
            self.links.cancel(sent.scheduler_id, [sent.task.correlation_id])
        else:
            self.scheduler.cancel(self.entry_id, {sent.task.correlation_id})
        self.on_lost(sent, PieceResult(None, reason, None))

    def believe_lost(self, sent: SentPiece, answer: PieceResult) -> None:
        """Believe another entry that an endpoint of its group did not answer."""
        is_lost = answer.failure in ENDPOINT_LOST
        if (
            sent.scheduler_id == self.entry_id
            or answer.endpoint_id is None
            or not is_lost
        ):
            return
        record = self.state.roster_.record(answer.endpoint_id)
        now = self.state.now()
        if record is not None and not record.is_suspect(now):
            record.record_failure(now, EndpointFailure.LOST)
