"""Run the calls of groups, and settle their pieces.

Accounts for the room and the places that a call takes at its endpoint. `_calls` makes
the call; `_scheduler` decides which one is sent.
"""

from collections.abc import Callable, Coroutine, Mapping

from leadford.forwarding.batching import (
    CALL_INPUTS_READ_S,
    NO_ROOM_PAUSE_S,
    QUEUE_FULL_PAUSE_S,
    CapacityTable,
    GroupId,
    PieceFailure,
    PieceQueue,
    PieceTask,
)
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._calls import CallEnd, PieceCall, PieceCalls
from leadford_server.forwarding.batching._fill_policy import fill_policy
from leadford_server.forwarding.batching._jobs import InputsRead, PieceResult, Reply
from leadford_server.metrics import CALL_FILL, PIECE_CALLS_TOTAL, PIECES_TOTAL

# Counted for a piece that was made.
PIECE_DONE = "done"


class CallRunner:
    """Run calls, and answer or queue again each of their pieces.

    `on_computed` is called for each piece that was made, `on_end` with the group of a
    call that ended.
    """

    def __init__(
        self,
        *,
        state: ForwardState,
        capacities: CapacityTable,
        queues_by_group: Mapping[GroupId, PieceQueue],
        spawn: Callable[[Coroutine[None, None, None]], None],
        reply: Reply,
        on_inputs_read: InputsRead,
        on_computed: Callable[[GroupId, PieceTask], None],
        on_end: Callable[[GroupId], None],
    ) -> None:
        self.state = state
        self.capacities = capacities
        self.queues_by_group = queues_by_group
        self.spawn = spawn
        self.reply = reply
        self.on_inputs_read = on_inputs_read
        self.on_computed = on_computed
        self.on_end = on_end
        self.calls = PieceCalls(state=state)
        self.calls_under_way_ = 0

    def start(self, call: PieceCall) -> None:
        """Begin a call, and account for it until it ends."""
        capacity = self.capacities.capacity(call.record.listed.endpoint_id, call.limits)
        is_idle = capacity.calls_ == 0 and call.record.is_reported_idle(call.began_at)
        call.is_ahead = capacity.calls_ >= call.limits.slots
        call.waits = capacity.calls_ > 0 or call.record.other_load(call.began_at) > 0
        capacity.begin(
            len(call.tasks),
            call.result_bytes,
            call.began_at,
            pace=call.record.pace(call.began_at) or 1.0,
        )
        call.record.in_flight_ += 1
        self.calls_under_way_ += 1
        self.spawn(self._run_call(call))
        if is_idle:
            self.state.loop.call_later(
                CALL_INPUTS_READ_S, self._report_inputs_read, call
            )

    def _report_inputs_read(self, call: PieceCall) -> None:
        """Report that the inputs of a call were fetched, unless it is over."""
        readers = [task for task in call.tasks if task.inputs]
        if readers and not call.is_over:
            call.inputs_are_read = True
            self.on_inputs_read(readers)

    def _queue_again(self, call: PieceCall, task: PieceTask, reason: str) -> None:
        """Queue a piece again, or reply that it failed if its inputs were released."""
        if call.inputs_are_read and task.inputs:
            self.reply(task, PieceResult(None, reason, None))
            return
        self.queues_by_group[call.group].push(task)

    async def _run_call(self, call: PieceCall) -> None:
        """Make a call, and settle its pieces."""
        try:
            end = await self.calls.run(call)
        finally:
            call.is_over = True
            self.calls_under_way_ -= 1
            capacity = self.capacities.capacity(
                call.record.listed.endpoint_id, call.limits
            )
            capacity.end(call.result_bytes)
            call.record.in_flight_ -= 1
        CALL_FILL.labels(service=call.service.service_id).observe(
            len(call.tasks) / call.limits.batch
        )
        PIECE_CALLS_TOTAL.labels(end=end.detail.split(":")[0]).inc()
        waiting = len(self.queues_by_group[call.group])
        self.calls.log(call, end, waiting=waiting)
        if end.outcomes is None:
            self._settle_failed(call, end.detail)
        else:
            self._settle(call, end)
        self.on_end(call.group)

    def _settle_failed(self, call: PieceCall, detail: str) -> None:
        """Settle a call that failed as a whole."""
        endpoint_id = call.record.listed.endpoint_id
        if detail == PieceFailure.FULL.value:
            capacity = self.capacities.capacity(endpoint_id, call.limits)
            capacity.pause(QUEUE_FULL_PAUSE_S, self.state.now())
            for task in call.tasks:
                self._queue_again(call, task, detail)
            return
        for task in call.tasks:
            self.reply(task, PieceResult(None, detail, endpoint_id))

    def _settle(self, call: PieceCall, end: CallEnd) -> None:
        """Settle a call by the outcome of each of its pieces."""
        endpoint_id = call.record.listed.endpoint_id
        capacity = self.capacities.capacity(endpoint_id, call.limits)
        now = self.state.now()
        no_room = PieceFailure.ROOM.value
        pairs = list(zip(call.tasks, end.outcomes, strict=True))
        if any(outcome.reason == no_room for outcome in end.outcomes):
            fitted = sum(task.result_bytes for task, item in pairs if item.handle)
            policy = fill_policy(self.state, call.group)
            capacity.record_refused(
                call.room_bytes, fitted, now, sent_at=call.began_at, policy=policy
            )
        for task, outcome in pairs:
            PIECES_TOTAL.labels(end=outcome.reason or PIECE_DONE).inc()
            if outcome.reason == no_room:
                # Results unknown to this process take room at the endpoint.
                capacity.pause(NO_ROOM_PAUSE_S, now)
                self._queue_again(call, task, no_room)
                continue
            if outcome.handle is not None:
                capacity.hold(outcome.handle, task.result_bytes, now)
                self.on_computed(call.group, task)
            self.reply(task, PieceResult(outcome.handle, outcome.reason, endpoint_id))
