"""Make one call for pieces at an endpoint of a batched stage.

Records what the call shows about the endpoint, and returns the outcome of its pieces.
The scheduler of the group decides what follows for each piece.
"""

import msgspec
from returns.result import Failure

from leadford.events import Event
from leadford.forwarding.batching import (
    GivenHandles,
    GroupId,
    LeftCause,
    PieceFailure,
    PieceTask,
    call_limit_s,
)
from leadford.forwarding.endpoints import EndpointFailure, EndpointRecord
from leadford.forwarding.overload import DelayMark
from leadford.forwarding.routes import PieceLimits, Service
from leadford_server.forwarding._contract import AnswerHead, NotRunCause, PieceOutcome
from leadford_server.forwarding._endpoint_timeout import EndpointTimeout
from leadford_server.forwarding._heads import record_head
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.endpoints import (
    PROCESS_EXIT_ENDS,
    BreakKind,
    ConnectionEnd,
    ExchangeBroken,
)

STATUS_OK = 200
# Logged and counted for a call that returned an outcome for each of its pieces.
CALL_DONE = "done"
CALL_INVALID_ANSWER = "spoiled"
# Logged and counted for a call that got the answer to an earlier one.
CALL_REPEATED_ANSWER = "repeated"


class PieceCall(msgspec.Struct, eq=False):
    """Hold one call that is under way.

    `waits` is true if other calls were known to be ahead of it when it began, and
    `is_ahead` if it had to wait for one of this entry, which was sent before. `pace` is
    the assumed ratio of its actual to its expected duration. `left_by_cause` counts the
    pieces that stayed in the queue when it was sent.

    Units: room_bytes is the room that was assumed to be free at the endpoint.
    """

    group: GroupId
    service: Service
    record: EndpointRecord
    tasks: list[PieceTask]
    began: DelayMark
    room_bytes: int = 0
    left_by_cause: dict[LeftCause, int] = {}
    waits: bool = False
    is_ahead: bool = False
    pace: float = 1.0
    is_over: bool = False
    inputs_are_read: bool = False

    @property
    def began_at(self) -> float:
        """Return when the call began, in seconds of the monotonic clock."""
        return self.began.at

    @property
    def limits(self) -> PieceLimits:
        """Return the limits of a call of the service."""
        return self.service.pieces

    @property
    def left_waiting(self) -> int:
        """Return how many pieces stayed in the queue when the call was sent."""
        return sum(self.left_by_cause.values())

    @property
    def result_bytes(self) -> int:
        """Return the room that all results of the call take."""
        return sum(task.result_bytes for task in self.tasks)

    def duration_ratio(self, elapsed_s: float) -> float:
        """Return the ratio of a duration of the call to its expected duration."""
        expected_s = self.limits.duration_ms(len(self.tasks)) / 1_000.0
        return elapsed_s / expected_s


class CallEnd(msgspec.Struct, frozen=True):
    """Describe how a call ended.

    `outcomes` holds those of the pieces in order, or None if the whole call failed;
    then `detail` says why, and begins with the text of a PieceFailure if one applies.
    """

    outcomes: list[PieceOutcome] | None
    detail: str

    @property
    def has_results(self) -> bool:
        """Return whether any piece was made."""
        return any(outcome.handle is not None for outcome in self.outcomes or [])


class PieceCalls:
    """Make calls for pieces."""

    def __init__(self, *, state: ForwardState) -> None:
        self.state = state

    async def run(self, call: PieceCall) -> CallEnd:
        """Make a call and return how it ended, within a bounded time."""
        record = call.record
        call.pace = record.work_ratio(call.began_at)
        limit_s = call_limit_s(
            call.limits,
            len(call.tasks),
            calls_ahead=record.other_load(call.began_at) + call.is_ahead,
            slowness=call.pace,
        )
        try:
            limit_at = self.state.now() + limit_s
            async with EndpointTimeout(limit_at, self.state.loop_turns_, call.began):
                return await self._exchange(call)
        except ExchangeBroken as error:
            record.record_failure(self.state.now(), error.endpoint_failure)
            return CallEnd(None, str(error))
        except TimeoutError:
            now = self.state.now()
            record.record_failure(now, EndpointFailure.SILENT)
            elapsed_s = self.state.loop_turns_.min_elapsed_s(call.began, now)
            ratio = call.duration_ratio(elapsed_s)
            record.record_slowness(ratio, now)
            record.pace_.record_overdue(ratio, now)
            return CallEnd(None, PieceFailure.SILENT.value)
        except Exception as error:
            # Without a CallEnd the pieces would get no answer. They are made elsewhere.
            return CallEnd(None, f"fault: {type(error).__name__}: {error}")

    async def _exchange(self, call: PieceCall) -> CallEnd:
        state = self.state
        record = call.record
        connection = await state.pool_.acquire(record, call.service.connections_max)
        if not state.is_usable(record):
            # The endpoint became unusable while this call waited for a connection.
            state.pool_.release(record, connection)
            return CallEnd(None, PieceFailure.NO_ENDPOINT.value)
        if state.send_delay_s(record) > 0.0:
            state.pool_.release(record, connection)
            return CallEnd(None, PieceFailure.FULL.value)
        state.record_sent(record)
        try:
            outbound = state.codec.piece_call(
                call.tasks, record.listed.endpoint_id, state.now()
            )
            body, head = await connection.fetch(outbound)
            end = self._read_answer(call, head, body, connection.given_handles_)
            if not end.has_results:
                # Nothing tells whose answer it was, so the next one might be foreign.
                connection.close()
            return end
        except ExchangeBroken as error:
            if connection.end is ConnectionEnd.SILENT:
                raise TimeoutError from error
            if connection.end not in PROCESS_EXIT_ENDS:
                # The endpoint goes on, so its requests are not to blame.
                raise ExchangeBroken(BreakKind.INVALID_ANSWER, error.detail) from error
            raise
        finally:
            state.pool_.release(record, connection)

    def _read_answer(
        self, call: PieceCall, head: AnswerHead, body: bytes, given: GivenHandles
    ) -> CallEnd:
        """Return how a call with a complete answer ended, and record the answer."""
        state = self.state
        record = call.record
        now = state.now()
        state.quarantine_.record_alive(record.listed.endpoint_id, call.began_at)
        record_head(state, record, head, sent_at=call.began_at)
        if head.not_run is NotRunCause.REPLACED:
            return CallEnd(None, PieceFailure.REPLACED.value)
        if head.is_not_run:
            return CallEnd(None, PieceFailure.FULL.value)
        if head.status != STATUS_OK:
            record.record_failure(now, EndpointFailure.ERROR_STATUS)
            return CallEnd(None, f"status {head.status}")
        read = state.codec.read_pieces(body)
        if isinstance(read, Failure) or len(read.unwrap()) != len(call.tasks):
            record.record_failure(now, EndpointFailure.INVALID_ANSWER)
            return CallEnd(None, CALL_INVALID_ANSWER)
        outcomes = read.unwrap()
        handles = [o.handle for o in outcomes if o.handle is not None]
        if given.is_repeated(handles):
            record.record_failure(now, EndpointFailure.INVALID_ANSWER)
            return CallEnd(None, CALL_REPEATED_ANSWER)
        self._record_duration(call, now)
        return CallEnd(outcomes, CALL_DONE)

    def _record_duration(self, call: PieceCall, now: float) -> None:
        """Record how long a successful call took, if this entry was not late itself."""
        record = call.record
        elapsed_s = self.state.loop_turns_.measured_s(call.began, now)
        if elapsed_s is None or call.is_ahead:
            record.record_success(None)
            return
        record.record_success(elapsed_s * 1_000.0)
        ratio = call.duration_ratio(elapsed_s)
        record.record_slowness(ratio, now)
        self.state.pace_meter_.record_call(record, ratio, now, waited=call.waits)

    def log(self, call: PieceCall, end: CallEnd, *, waiting: int) -> None:
        """Log how a call ended; `waiting` pieces are left in the queue of its group."""
        queued_at = min(task.queued_at for task in call.tasks)
        without_room = sum(
            outcome.reason == PieceFailure.ROOM.value for outcome in end.outcomes or []
        )
        now = self.state.now()
        self.state.log.report(
            Event.PIECES_CALLED,
            service=call.service.service_id,
            endpoint=call.record.listed.endpoint_id,
            pieces=len(call.tasks),
            batch=call.limits.batch,
            requests=",".join(sorted({task.request_id for task in call.tasks})),
            waited_ms=round((call.began_at - queued_at) * 1_000.0),
            took_ms=round((now - call.began_at) * 1_000.0),
            room_kb=call.room_bytes // 1_000,
            needed_kb=call.result_bytes // 1_000,
            pace=round(call.pace, 2),
            ahead=call.is_ahead,
            without_room=without_room,
            left_waiting=call.left_waiting,
            left=",".join(
                f"{cause.value}:{count}" for cause, count in call.left_by_cause.items()
            ),
            waiting=waiting,
            outcome=end.detail,
        )
