"""Track the pieces that schedulers have, and match their answers.

Each piece that is sent has a correlation id, which identifies its answer. A piece whose
scheduler is lost, or does not answer in time, is passed to `on_lost`; an answer that
arrives after that matches nothing.
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

# Logged for a piece that its scheduler did not answer.
REASON_SCHEDULER_LOST = "keeper lost"
REASON_SCHEDULER_SILENT = "keeper silent"
# The high bits of correlation ids are random and the low bits count: another process of
# this entry must never use the same correlation ids.
ID_RANDOM_BITS = 40
ID_COUNTER_BITS = 20


class SentPieces:
    """Submit pieces to schedulers, and track them until they are answered."""

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
        drawn = state.random.getrandbits(ID_RANDOM_BITS)
        self.next_id_ = drawn << ID_COUNTER_BITS

    def new_correlation_id(self) -> int:
        """Return a correlation id that was never used."""
        correlation_id = self.next_id_
        self.next_id_ += 1
        return correlation_id

    def submit_to_scheduler(
        self, sent: SentPiece, limits: PieceLimits, now: float
    ) -> None:
        """Submit a piece to its scheduler, or here if that is not connected."""
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
        """Record that the answer for a piece has arrived."""
        del self.sent_by_id_[sent.task.correlation_id]
        sent.job.correlation_ids_.discard(sent.task.correlation_id)

    def cancel(self, job: StageJob) -> None:
        """Cancel the pieces of a job that schedulers have."""
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

    def on_scheduler_lost(self, entry_id: EntryId) -> None:
        """Pass the pieces of a lost scheduler to `on_lost`, to be made elsewhere."""
        lost = [s for s in self.sent_by_id_.values() if s.scheduler_id == entry_id]
        for sent in lost:
            self._report_lost(sent, REASON_SCHEDULER_LOST)

    def check(self) -> None:
        """Pass overdue pieces to `on_lost`, to be made elsewhere."""
        now = self.state.now()
        turns = self.state.loop_turns_
        # What this entry itself was late is no silence of a scheduler.
        overdue = [
            sent
            for sent in self.sent_by_id_.values()
            if sent.overdue_at + turns.delay_since_s(sent.submitted, now) <= now
        ]
        for sent in overdue:
            self._report_lost(sent, REASON_SCHEDULER_SILENT)

    def _report_lost(self, sent: SentPiece, reason: str) -> None:
        if self.sent_by_id_.pop(sent.task.correlation_id, None) is None:
            return
        sent.job.correlation_ids_.discard(sent.task.correlation_id)
        if sent.scheduler_id != self.entry_id:
            self.links.cancel(sent.scheduler_id, [sent.task.correlation_id])
        else:
            self.scheduler.cancel(self.entry_id, {sent.task.correlation_id})
        self.on_lost(sent, PieceResult(None, reason, None))

    def record_reported_loss(self, sent: SentPiece, answer: PieceResult) -> None:
        """Record an endpoint as lost if the scheduler at another entry reports it."""
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
