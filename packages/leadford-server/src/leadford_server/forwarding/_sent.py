"""Hold the pieces that schedulers have, and match their answers.

Each piece that is sent has a ticket, by which its answer is known. A piece whose
scheduler is lost, or silent for too long, is given back by `on_lost`; an answer that
comes after that matches nothing.
"""

from collections.abc import Callable

from leadford.common import EntryId
from leadford.forwarding.batching import scheduler_limit_at
from leadford.forwarding.routes import PieceLimits
from leadford_server.forwarding._groups import GroupChooser
from leadford_server.forwarding._jobs import KeeperLinks, SentPiece, StageJob
from leadford_server.forwarding._keeper import KeptAnswer, PieceKeeper
from leadford_server.forwarding._state import ForwardState

# What the log says of a piece that its scheduler did not answer.
REASON_KEEPER_LOST = "keeper lost"
REASON_KEEPER_SILENT = "keeper silent"
# Bits of a ticket that are drawn, and those that count: another process of this entry
# must never draw the same tickets.
TICKET_BITS_DRAWN = 40
TICKET_BITS_COUNTED = 20


class SentPieces:
    """Hand pieces to schedulers, and follow them until they are answered."""

    def __init__(
        self,
        *,
        state: ForwardState,
        entry_id: EntryId,
        keeper: PieceKeeper,
        groups: GroupChooser,
        on_lost: Callable[[SentPiece, KeptAnswer], None],
    ) -> None:
        self.state = state
        self.entry_id = entry_id
        self.keeper = keeper
        self.groups = groups
        self.on_lost = on_lost
        self.links: KeeperLinks | None = None
        self.sent_by_ticket_: dict[int, SentPiece] = {}
        drawn = state.random.getrandbits(TICKET_BITS_DRAWN)
        self.next_ticket_ = drawn << TICKET_BITS_COUNTED

    def new_ticket(self) -> int:
        """Return a ticket that was never used."""
        ticket = self.next_ticket_
        self.next_ticket_ += 1
        return ticket

    def hand_over(self, sent: SentPiece, limits: PieceLimits, now: float) -> None:
        """Give a piece to its keeper; this entry keeps it when no link stands."""
        wait_s = self.groups.wait_s(sent.group, limits, now)
        sent.overdue_at = scheduler_limit_at(limits, wait_s, now)
        self.sent_by_ticket_[sent.task.ticket] = sent
        sent.job.tickets_.add(sent.task.ticket)
        self.groups.loads_.note_sent(sent.group)
        if sent.keeper != self.entry_id:
            if self.links.submit(sent.keeper, sent.group, sent.task):
                return
            sent.keeper = self.entry_id
        self.keeper.submit(sent.group, sent.task)

    def awaited(self, keeper: EntryId, ticket: int) -> SentPiece | None:
        """Return the piece that a scheduler answers, if its answer is awaited."""
        sent = self.sent_by_ticket_.get(ticket)
        if sent is None or sent.keeper != keeper:
            return None
        return sent

    def settle(self, sent: SentPiece) -> None:
        """Record that the answer for a piece has come."""
        del self.sent_by_ticket_[sent.task.ticket]
        sent.job.tickets_.discard(sent.task.ticket)

    def cancel(self, job: StageJob) -> None:
        """Drop the pieces of a job that schedulers have."""
        tickets_by_keeper: dict[EntryId, list[int]] = {}
        for ticket in job.tickets_:
            sent = self.sent_by_ticket_.pop(ticket, None)
            if sent is not None:
                tickets_by_keeper.setdefault(sent.keeper, []).append(ticket)
        job.tickets_.clear()
        for keeper, tickets in tickets_by_keeper.items():
            if keeper == self.entry_id:
                self.keeper.cancel(self.entry_id, set(tickets))
            else:
                self.links.cancel(keeper, tickets)

    def keeper_lost(self, entry_id: EntryId) -> None:
        """Make elsewhere what a lost keeper had."""
        lost = [s for s in self.sent_by_ticket_.values() if s.keeper == entry_id]
        for sent in lost:
            self._give_back(sent, REASON_KEEPER_LOST)

    def check(self) -> None:
        """Make elsewhere what is overdue at its keeper."""
        now = self.state.now()
        overdue = [s for s in self.sent_by_ticket_.values() if s.overdue_at <= now]
        for sent in overdue:
            self._give_back(sent, REASON_KEEPER_SILENT)

    def _give_back(self, sent: SentPiece, reason: str) -> None:
        if self.sent_by_ticket_.pop(sent.task.ticket, None) is None:
            return
        sent.job.tickets_.discard(sent.task.ticket)
        if sent.keeper != self.entry_id:
            self.links.cancel(sent.keeper, [sent.task.ticket])
        else:
            self.keeper.cancel(self.entry_id, {sent.task.ticket})
        self.on_lost(sent, KeptAnswer(None, reason, None))
