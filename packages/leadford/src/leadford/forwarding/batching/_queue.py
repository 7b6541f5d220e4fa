"""Queue the pieces that wait for a batch, and select those of the next call.

Owned by the scheduler of a group. Pieces are ordered by the due time of their requests,
plus a delay for less urgent ones; at contended services by level first. A call takes
whole requests where it can, and leaves pieces for the hall of their inputs while the
queue is short. When a call is sent is decided in `_filling`.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from leadford.common import EndpointId, HallId, RequestId
from leadford.forwarding.batching._policy import FillPolicy
from leadford.forwarding.batching._reserved import ReservedPlaces
from leadford.forwarding.batching._tasks import Chunk, PieceTask
from leadford.forwarding.routes import LEVEL_HIGHEST, PieceLimits

# Slack, in durations of a full call, below which a piece does not wait for others.
WINDOW_MIN_SLACK_CALLS = 4.0
# A piece waits for others for this fraction of its slack beyond that, and at most for
# the second fraction of a call's fixed duration.
WINDOW_SLACK_FRACTION = 0.08
WINDOW_MAX_FRACTION = 0.9
# The queue is short, and pieces are left for the hall of their inputs, up to this
# number of full calls, or up to this fraction of one full call for each endpoint.
SHORT_QUEUE_CALLS = 2
SHORT_QUEUE_FRACTION = 0.5


class LeftCause(Enum):
    """Name why a call left a waiting piece in the queue."""

    FULL = "full"
    ROOM = "room"
    SPLIT = "split"
    OTHER_HALL = "other-hall"
    SUSPECT = "suspect"
    EXCLUDED = "excluded"


class _Waiting(msgspec.Struct, frozen=True):
    """Hold what follows from the waiting pieces at one moment.

    One decision asks for it for each endpoint. `has_levels` is True at a contended
    service.
    """

    limits: PieceLimits
    now: float
    chunks: list[Chunk]
    has_levels: bool
    chunks_by_hall: dict[HallId | None, list[Chunk]] = {}

    def sorted_for(self, hall: HallId | None) -> list[Chunk]:
        """Return the chunks in the order of a hall, without the reserved places."""
        found = self.chunks_by_hall.get(hall)
        if found is None:
            found = sorted(self.chunks, key=lambda chunk: self._sort_key(chunk, hall))
            self.chunks_by_hall[hall] = found
        return found

    def _sort_key(self, chunk: Chunk, hall: HallId | None) -> tuple[bool, int, float]:
        moving_cost_s = chunk.moving_cost_s(hall) if hall is not None else 0.0
        level = chunk.level if self.has_levels else LEVEL_HIGHEST
        is_late = chunk.is_late(self.limits, self.now)
        return is_late, level, chunk.rank_at + moving_cost_s


class PieceQueue:
    """Hold waiting pieces; urgent requests go first, the earliest due before others."""

    def __init__(self) -> None:
        self.tasks_: list[PieceTask] = []
        # None after a change of the pieces.
        self.waiting_: _Waiting | None = None
        self.reserved_ = ReservedPlaces()
        # Number of pieces that the last call left in the queue, by cause.
        self.left_by_cause_: Counter[LeftCause] = Counter()

    def __len__(self) -> int:
        return len(self.tasks_)

    def push(self, task: PieceTask) -> None:
        """Add a piece."""
        self.tasks_.append(task)
        self.waiting_ = None

    def discard(self, is_kept: Callable[[PieceTask], bool]) -> list[PieceTask]:
        """Remove and return the pieces for which the predicate is false."""
        dropped = [task for task in self.tasks_ if not is_kept(task)]
        if dropped:
            self.tasks_ = [task for task in self.tasks_ if is_kept(task)]
            self.waiting_ = None
        return dropped

    def take_hopeless(
        self, limits: PieceLimits | None, policy: FillPolicy, now: float
    ) -> list[PieceTask]:
        """Remove and return the pieces that no call can finish before the deadline.

        Without limits, or unless the policy drops such pieces, only those whose
        deadline has passed.
        """
        call_s = 0.0
        if limits is not None and policy.drops_hopeless_pieces:
            call_s = limits.duration_ms(1) / 1_000.0
        return self.discard(lambda task: task.deadline > now + call_s)

    def allows(self, endpoint_id: EndpointId) -> bool:
        """Tell whether any waiting piece may go to an endpoint."""
        return any(endpoint_id not in task.excluded for task in self.tasks_)

    def waiting_bytes(self) -> int:
        """Return the room that the results of the waiting pieces will take."""
        return sum(task.result_bytes for task in self.tasks_)

    def window_ends_at(self, limits: PieceLimits) -> float:
        """Return the time from which a call should be sent even if it is not full.

        A piece whose request has slack waits briefly for more pieces, because a call
        costs much more than a piece in it.
        """
        if len(self.tasks_) >= limits.batch:
            return 0.0
        min_slack_s = WINDOW_MIN_SLACK_CALLS * limits.full_call_s
        max_wait_s = WINDOW_MAX_FRACTION * limits.call_ms / 1_000.0
        window_ends_at = float("inf")
        for task in self.tasks_:
            slack_s = task.due_at - task.queued_at - min_slack_s
            wait_s = min(max_wait_s, max(0.0, WINDOW_SLACK_FRACTION * slack_s))
            if task.due_at <= task.queued_at:
                # The piece was late when it was queued; it waits for a full call.
                wait_s = max_wait_s
            window_ends_at = min(window_ends_at, task.queued_at + wait_s)
        return window_ends_at

    def least_bytes(self) -> int:
        """Return the room that the smallest result takes; the queue is not empty."""
        return min(task.result_bytes for task in self.tasks_)

    def first_call_bytes(self, limits: PieceLimits, now: float) -> int:
        """Return the room that the results of a full call of the first pieces take."""
        result_bytes, count = 0, 0
        for chunk in self._ordered(None, limits, now):
            for task in chunk.tasks:
                if count == limits.batch:
                    return result_bytes
                result_bytes += task.result_bytes
                count += 1
        return result_bytes

    def fitting_count(self, room_bytes: int, limits: PieceLimits, now: float) -> int:
        """Return how many pieces a call could carry now within the given room."""
        count = 0
        for chunk in self._ordered(None, limits, now):
            for task in chunk.tasks:
                if count == limits.batch:
                    return count
                if task.result_bytes <= room_bytes:
                    room_bytes -= task.result_bytes
                    count += 1
        return count

    def first_chunk(self, limits: PieceLimits, now: float) -> Chunk:
        """Return the chunk that goes first; the queue must not be empty."""
        return self._ordered(None, limits, now)[0]

    def take(
        self,
        *,
        limits: PieceLimits,
        now: float,
        room_bytes: int,
        endpoint_id: EndpointId,
        hall: HallId | None = None,
        endpoints: int = 1,
        may_split: bool = False,
        waits_for_other_hall: Callable[[Chunk], bool] = lambda chunk: False,
    ) -> list[PieceTask]:
        """Remove and return the pieces of the next call to an endpoint.

        The pieces of one stage of a request go together where they fit in a call: the
        results of a part would occupy room until the rest is computed. With `may_split`
        and a queue that is not short, a part fills the last places of a call, and the
        rest goes with the next call. Pieces that do not fit in the room do not block
        smaller ones of other chunks. Pieces that read results of the hall go slightly
        earlier. While the queue is short, pieces that wait for another hall are left
        in it. `endpoints` is the number of endpoints of the group.
        """
        batch = limits.batch
        has_few_tasks = len(self.tasks_) <= SHORT_QUEUE_CALLS * batch
        is_short = self._is_short(limits, endpoints)
        taken: list[PieceTask] = []
        remaining: list[PieceTask] = []
        left: Counter[LeftCause] = Counter()
        for number, chunk in enumerate(self._ordered(hall, limits, now)):
            tasks = chunk.tasks
            allowed = [task for task in tasks if endpoint_id not in task.excluded]
            free_places = batch - len(taken)
            is_split = number > 0 and free_places < len(allowed) <= batch
            if is_split and may_split and not is_short and free_places > 0:
                is_split = False
            may_wait = has_few_tasks or (is_short and _is_large_move(chunk, hall))
            cause: LeftCause | None = None
            if free_places == 0:
                cause = LeftCause.FULL
            elif is_split:
                cause = LeftCause.SPLIT
            elif not chunk.may_share_call(taken):
                cause = LeftCause.SUSPECT
            elif may_wait and waits_for_other_hall(chunk):
                cause = LeftCause.OTHER_HALL
            if cause is not None:
                remaining += tasks
                left[cause] += len(tasks)
                continue
            left[LeftCause.EXCLUDED] += len(tasks) - len(allowed)
            fitting: list[PieceTask] = []
            for task in allowed[:free_places]:
                if task.result_bytes > room_bytes:
                    left[LeftCause.ROOM] += min(len(allowed), free_places) - len(
                        fitting
                    )
                    break
                room_bytes -= task.result_bytes
                fitting.append(task)
            left[LeftCause.FULL] += max(0, len(allowed) - free_places)
            taken += fitting
            remaining += [task for task in tasks if task not in fitting]
        has_levels = self._waiting(limits, now).has_levels
        self.tasks_ = remaining
        self.waiting_ = None
        if has_levels:
            self.reserved_.record_call(taken, remaining, limits)
        self.left_by_cause_ = +left
        return taken

    def chunks(self) -> list[Chunk]:
        """Return the waiting pieces, grouped by request and stage."""
        tasks: dict[tuple[RequestId, int], list[PieceTask]] = {}
        for task in self.tasks_:
            tasks.setdefault((task.request_id, task.key.stage), []).append(task)
        return [Chunk(tuple(group)) for group in tasks.values()]

    def _is_short(self, limits: PieceLimits, endpoints: int) -> bool:
        """Tell whether the queue is short enough for pieces to wait for another hall.

        The bound grows with the number of endpoints, because so does the number of
        pieces that are queued while endpoints are idle.
        """
        calls = max(SHORT_QUEUE_CALLS, SHORT_QUEUE_FRACTION * endpoints)
        return len(self.tasks_) <= calls * limits.batch

    def _ordered(
        self, hall: HallId | None, limits: PieceLimits, now: float
    ) -> list[Chunk]:
        """Return the chunks in the order in which a hall takes them.

        Chunks that can no longer be in time go behind those that can. By due time alone
        they would go first and make the others late too. At a contended service more
        urgent levels go first, except for the reserved places.
        """
        waiting = self._waiting(limits, now)
        ordered = waiting.sorted_for(hall)
        if not waiting.has_levels:
            return ordered
        return self.reserved_.move_ahead(ordered, limits, now)

    def _waiting(self, limits: PieceLimits, now: float) -> _Waiting:
        """Return what follows from the pieces that wait now."""
        known = self.waiting_
        if known is None or known.now != now or known.limits != limits:
            known = _Waiting(
                limits, now, self.chunks(), self._has_levels(self.tasks_), {}
            )
            self.waiting_ = known
        return known

    @staticmethod
    def _has_levels(tasks: Iterable[PieceTask]) -> bool:
        """Tell whether pieces are ordered by level: the service is contended."""
        return any(task.level is not None for task in tasks)


def _is_large_move(chunk: Chunk, hall: HallId | None) -> bool:
    return hall is not None and chunk.is_large_move(hall)
