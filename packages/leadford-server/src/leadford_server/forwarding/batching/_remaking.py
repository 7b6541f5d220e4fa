"""Make pieces again that were not made, or end the jobs that need them.

`leadford.forwarding.batching` decides which of the two.
"""

from collections.abc import Callable

from leadford.events import Event
from leadford.forwarding.batching import (
    NO_ENDPOINT_WAIT_S,
    GroupLoad,
    PieceFailure,
    RemakeAction,
    decide_remake,
)
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._groups import GroupChooser
from leadford_server.forwarding.batching._jobs import PieceResult, SentPiece, StageJob
from leadford_server.forwarding.batching._results import ResultTable
from leadford_server.forwarding.batching._sent import SentPieces

# Bounds the reason in the log line of a piece that is made again.
MAX_REASON_CHARACTERS = 120
# Logged for stages that are given up because endpoints ended while running them.
DETAIL_QUARANTINED = "quarantined"


class PieceRemaker:
    """Apply what is decided on pieces that were not made.

    `advance` sends the pieces of a job that are ready.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        groups: GroupChooser,
        results: ResultTable,
        sent: SentPieces,
        advance: Callable[[StageJob], None],
    ) -> None:
        self.state = state
        self.groups = groups
        self.results = results
        self.sent = sent
        self.advance = advance

    def handle(self, sent: SentPiece, answer: PieceResult) -> None:
        """Apply `decide_remake` to a piece that was not made."""
        job = sent.job
        key = sent.task.key
        if job.is_over_ or job.done_.done():
            return
        if answer.failure is PieceFailure.LOST and answer.endpoint_id is not None:
            # Other requests with pieces in the same call get a case as well.
            self.state.quarantine_.record_connection_lost(
                job.digest, answer.endpoint_id, is_under_way=False
            )
        if self.state.quarantine_.verdict(job.digest).refuses:
            job.fail(DETAIL_QUARANTINED)
            return
        decision = decide_remake(answer.failure, job.tries_by_key_.get(key, 0))
        job.tries_by_key_[key] = decision.tries
        if decision.action is RemakeAction.FAIL_LATE:
            job.fail(PieceFailure.LATE.value)
            return
        if decision.drops_inputs:
            before = job.graph.stages[key.stage].after
            self.results.release(job.graph.drop_results(before))
        if decision.action is RemakeAction.FAIL_TRIES:
            job.fail(f"piece failed {decision.tries} times: {answer.reason}")
            return
        self.sent.record_reported_loss(sent, answer)
        if answer.endpoint_id is not None and decision.excludes_endpoint:
            job.excluded_by_key_[key] = frozenset({answer.endpoint_id})
        self.state.log.report(
            Event.PIECE_REMADE,
            request=job.request_id,
            stage=key.stage,
            piece=key.piece,
            endpoint=answer.endpoint_id or "",
            keeper=sent.scheduler_id,
            reason=answer.reason[:MAX_REASON_CHARACTERS],
        )
        job.graph.record_failed(key)
        if decision.action is RemakeAction.REMAKE_LATER:
            # The scheduler's listing differs from this entry's: wait for both to agree.
            load = GroupLoad.unavailable(self.state.now())
            self.groups.loads_.record_load(sent.group, load)
            self.state.loop.call_later(NO_ENDPOINT_WAIT_S, self.advance, job)
            return
        self.advance(job)
