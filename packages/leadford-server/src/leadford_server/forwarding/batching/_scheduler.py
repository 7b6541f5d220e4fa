"""Schedule the pieces of groups: fill calls from the pieces of all entries.

Owns the queue of each group that this entry schedules, and the account of its calls and
results at each endpoint. `leadford.forwarding.batching` decides which call is sent
next; `_call_runner` runs it, and `_free` frees results. `reply` sends the answers to
the entries that submitted the pieces.
"""

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from leadford.common import EndpointId, EntryId
from leadford.forwarding.batching import (
    CapacityTable,
    FillAction,
    GroupId,
    PieceFailure,
    PieceQueue,
    PieceTask,
    Throughput,
    ThroughputRate,
    next_call,
)
from leadford.forwarding.endpoints import EndpointRecord
from leadford.forwarding.routes import PieceLimits, ResultHandle, Service
from leadford_server.forwarding._state import ForwardState
from leadford_server.forwarding.batching._call_runner import CallRunner
from leadford_server.forwarding.batching._calls import PieceCall
from leadford_server.forwarding.batching._fill_policy import fill_policy
from leadford_server.forwarding.batching._free import ResultReleaser
from leadford_server.forwarding.batching._jobs import InputsRead, PieceResult, Reply
from leadford_server.forwarding.batching._loads import GroupLoads
from leadford_server.metrics import DISPATCH_SECONDS

# Time between checks of a group whose pieces no endpoint takes: no event marks the end
# of a pause or a retention.
RECHECK_INTERVAL_S = 0.04
# Added to the end of a batching window, so that it is over when it is checked.
WINDOW_MARGIN_S = 0.001


class BatchScheduler:
    """Queue pieces by group, call endpoints, and account for the room of results."""

    def __init__(
        self, *, state: ForwardState, reply: Reply, on_inputs_read: InputsRead
    ) -> None:
        self.state = state
        self.reply = reply
        self.on_inputs_read = on_inputs_read
        self.capacities_ = CapacityTable()
        self.releaser = ResultReleaser(
            state=state,
            capacities=self.capacities_,
            spawn=self._spawn,
            on_free=self._wake_group,
        )
        self.queues_by_group_: dict[GroupId, PieceQueue] = {}
        self.loads = GroupLoads(
            state=state,
            capacities=self.capacities_,
            queues_by_group=self.queues_by_group_,
        )
        self.runner = CallRunner(
            state=state,
            capacities=self.capacities_,
            queues_by_group=self.queues_by_group_,
            spawn=self._spawn,
            reply=reply,
            on_inputs_read=on_inputs_read,
            on_computed=self._record_computed,
            on_end=self._dispatch,
        )
        self.throughput_by_group_: dict[GroupId, Throughput] = {}
        self.tasks_: set[asyncio.Task[None]] = set()
        self.dispatch_due_: set[GroupId] = set()
        self.recheck_due_: set[GroupId] = set()

    def submit(self, group: GroupId, task: PieceTask) -> None:
        """Queue a piece."""
        self.queues_by_group_.setdefault(group, PieceQueue()).push(task)
        if group in self.dispatch_due_:
            return
        # Calls are filled after all pieces that arrive together have been queued.
        self.dispatch_due_.add(group)
        self.state.loop.call_soon(self._dispatch, group)

    @property
    def calls_under_way(self) -> int:
        """Return how many calls for pieces are under way."""
        return self.runner.calls_under_way_

    def sample_throughput(self, group: GroupId) -> ThroughputRate | None:
        """Sample the throughput of a group, and return it while the group is behind."""
        service = self.state.service(group.service_id)
        if service is None or service.pieces is None:
            return None
        now = self.state.now()
        throughput = self._throughput(group)
        throughput.sample(
            waiting=len(self.queues_by_group_.get(group, ())),
            full_round_pieces=service.pieces.batch * len(self.loads.records(group)),
            now=now,
        )
        return throughput.rate(now)

    def flow_by_level(self, group: GroupId) -> dict[int, float]:
        """Return the recent throughput of each level.

        Call it after `sample_throughput`, which updates it.

        Units: pieces per second.
        """
        return self._throughput(group).flow_by_level(self.state.now())

    def _throughput(self, group: GroupId) -> Throughput:
        return self.throughput_by_group_.setdefault(group, Throughput())

    def _record_computed(self, group: GroupId, task: PieceTask) -> None:
        self._throughput(group).record_computed(level=task.known_level)

    def cancel(self, origin: EntryId, correlation_ids: set[int]) -> None:
        """Drop waiting pieces of an entry."""

        def is_wanted(task: PieceTask) -> bool:
            return task.origin != origin or task.correlation_id not in correlation_ids

        for queue in self.queues_by_group_.values():
            queue.discard(is_wanted)

    def drop_pieces_of(self, origin: EntryId) -> None:
        """Drop every waiting piece of an entry that is gone."""
        for queue in self.queues_by_group_.values():
            queue.discard(lambda task: task.origin != origin)

    def return_waiting_pieces(
        self, is_scheduled_elsewhere: Callable[[GroupId], bool]
    ) -> None:
        """Return waiting pieces of groups that another entry schedules now.

        Two queues for the same endpoints interfere: pieces that wait in one find the
        endpoints filled by the calls of the other.
        """
        # A returned piece may be queued here again, in another group: use a copy.
        for group, queue in list(self.queues_by_group_.items()):
            if len(queue) > 0 and is_scheduled_elsewhere(group):
                for task in queue.discard(lambda task: False):
                    self.reply(task, PieceResult(None, PieceFailure.MOVED.value, None))

    def release(self, endpoint_id: EndpointId, handles: list[ResultHandle]) -> None:
        """Free results that have no readers left."""
        self.releaser.release(endpoint_id, handles)

    def dispatch_all(self) -> None:
        """Check again for calls to send after endpoints or configuration changed."""
        self.capacities_.retain(self.state.roster_.known_ids())
        for group in list(self.queues_by_group_):
            self._dispatch(group)

    def _dispatch(self, group: GroupId) -> None:
        """Send the calls of a group that can be sent now, and time it."""
        began_at = self.state.now()
        self.dispatch_due_.discard(group)
        self._send_due(group)
        duration_s = self.state.now() - began_at
        DISPATCH_SECONDS.labels(service=group.service_id).observe(duration_s)

    def _send_due(self, group: GroupId) -> None:
        """Send the calls of a group until none can be sent now."""
        queue = self.queues_by_group_[group]
        while len(queue) > 0:
            now = self.state.now()
            service = self.state.service(group.service_id)
            limits = service.pieces if service is not None else None
            self._answer_late(
                queue.take_hopeless(limits, fill_policy(self.state, group), now)
            )
            records = self.loads.records(group)
            if limits is None or not records:
                self._answer_no_endpoint(queue.discard(lambda task: False))
                return
            if not self._send_next(group, service, records, now):
                return

    def _answer_late(self, tasks: Iterable[PieceTask]) -> None:
        for task in tasks:
            self.reply(task, PieceResult(None, PieceFailure.LATE.value, None))

    def _answer_no_endpoint(self, tasks: Iterable[PieceTask]) -> None:
        for task in tasks:
            self.reply(task, PieceResult(None, PieceFailure.NO_ENDPOINT.value, None))

    def _send_next(
        self,
        group: GroupId,
        service: Service,
        records: list[EndpointRecord],
        now: float,
    ) -> bool:
        """Take the step of `next_call`; return whether to ask for another at once."""
        queue = self.queues_by_group_[group]
        self._pause_throttled(records, service.pieces, now)
        step = next_call(
            queue,
            self.capacities_,
            records,
            service.pieces,
            now,
            turn_s=self.state.loop_turns_.standing_s,
        )
        if step.action is FillAction.NOTHING_WAITS:
            return False
        if step.action is FillAction.SEND:
            tasks = list(step.tasks)
            self.runner.start(
                PieceCall(
                    group,
                    service,
                    step.record,
                    tasks,
                    self.state.loop_turns_.mark(now),
                    step.room_bytes,
                    step.left_by_cause,
                )
            )
            return True
        if step.action is FillAction.WAIT_FOR_MORE:
            wait_s = step.wait_s + WINDOW_MARGIN_S
            self.state.loop.call_later(wait_s, self._dispatch, group)
            return False
        self._answer_no_endpoint(step.unserved)
        self._schedule_recheck(group)
        return False

    def _pause_throttled(
        self, records: Iterable[EndpointRecord], limits: PieceLimits, now: float
    ) -> None:
        """Pause endpoints that asked for fewer requests until they take one."""
        for record in records:
            send_delay_s = self.state.send_delay_s(record)
            if send_delay_s > 0.0:
                endpoint_id = record.listed.endpoint_id
                self.capacities_.capacity(endpoint_id, limits).pause(send_delay_s, now)

    def _wake_group(self, group: GroupId) -> None:
        if group in self.queues_by_group_:
            self._dispatch(group)

    def _schedule_recheck(self, group: GroupId) -> None:
        """Check a group later: no event marks the end of a pause or a retention."""
        if group in self.recheck_due_:
            return
        self.recheck_due_.add(group)
        self.state.loop.call_later(RECHECK_INTERVAL_S, self._recheck, group)

    def _recheck(self, group: GroupId) -> None:
        self.recheck_due_.discard(group)
        self._dispatch(group)

    def _spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        running = asyncio.ensure_future(coroutine)
        self.tasks_.add(running)
        running.add_done_callback(self.tasks_.discard)
