"""Queue the pieces that wait for a batch, and select those of the next call.

Owned by the scheduler of a group. Pieces are ordered by the due time of their requests,
plus a delay for less urgent ones; at contended services by level first. A call takes
whole requests where it can, and leaves pieces for the hall of their inputs while the
queue is short. When a call is sent is decided in `_filling`.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from enum import Enum

import msgspec

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching._graph import PieceKey
from leadford.forwarding.batching._groups import moving_cost_s
from leadford.forwarding.batching._policy import FillPolicy
from leadford.forwarding.batching._reserved import ReservedPlaces
from leadford.forwarding.routes import (
    LEVEL_HIGHEST,
    LEVEL_LESS_URGENT,
    PieceLimits,
    ResultHandle,
    Route,
)

# Slack, in durations of a full call, below which a piece does not wait for others.
WINDOW_MIN_SLACK_CALLS = 4.0
# A piece waits for others for this fraction of its slack beyond that, and at most for
# the second fraction of a call's fixed duration.
WINDOW_SLACK_FRACTION = 0.08
WINDOW_MAX_FRACTION = 0.9
# A piece waits for the hall of its inputs for at most this fraction of its slack.
HALL_WAIT_FRACTION = 0.35
# Durations of a full call that do not count as slack for that wait: one for the call
# itself and two for failures.
HALL_WAIT_RESERVE_CALLS = 3.0
# The queue is short, and pieces are left for the hall of their inputs, up to this
# number of full calls, or up to this fraction of one full call for each endpoint.
SHORT_QUEUE_CALLS = 2
SHORT_QUEUE_FRACTION = 0.5
# In a queue of more than SHORT_QUEUE_CALLS, only pieces that would move at least this
# many bytes are left for the hall of their inputs. Others fill calls instead.
LARGE_MOVE_MIN_BYTES = 250_000
# Delays by which a piece counts as due later: one for routes below the highest
# priority, one for each step of priority. They are finite so that less urgent pieces
# cannot wait forever.
LESS_URGENT_DELAY_S = 2.0
PRIORITY_STEP_S = 0.2


class LeftCause(Enum):
    """Name why a call left a waiting piece in the queue."""

    FULL = "full"
    ROOM = "room"
    SPLIT = "split"
    OTHER_HALL = "other-hall"
    SUSPECT = "suspect"
    EXCLUDED = "excluded"


class PieceTask(msgspec.Struct, frozen=True, eq=False):
    """Request one piece on behalf of the entry that holds its request.

    A piece has either a key from its request or the results that it reads, never both.
    The correlation id distinguishes the answers to one entry.

    Units: due_at, rank_at, queued_at and deadline are seconds of the monotonic clock.
    due_at is when the whole request should be answered; rank_at orders pieces and is
    due_at plus a delay for less urgent ones. local_bytes_by_hall holds, for each hall,
    the bytes that need not move between halls if the piece is computed there.
    """

    correlation_id: int
    origin: EntryId
    request_id: RequestId
    key: PieceKey
    request_key: str
    inputs: tuple[ResultHandle, ...]
    result_bytes: int
    deadline: float
    due_at: float
    rank_at: float
    queued_at: float
    excluded: frozenset[EndpointId] = frozenset()
    local_bytes_by_hall: dict[HallId, int] = {}
    # True if an endpoint crashed while it ran the request of the piece.
    is_suspect: bool = False
    # The level at a contended service, None elsewhere and if it is unknown.
    level: int | None = None
    # True if that was one endpoint only; then the piece may share a call with pieces
    # of which the same holds.
    is_suspect_once: bool = False

    @property
    def known_level(self) -> int:
        """Return the level; without one, that of two which the delay implies."""
        if self.level is not None:
            return self.level
        is_urgent = self.rank_at - self.due_at < LESS_URGENT_DELAY_S / 2.0
        return LEVEL_HIGHEST if is_urgent else LEVEL_LESS_URGENT

    def moved_bytes(self, hall: HallId) -> int:
        """Return how many bytes move between halls if the piece is computed in one."""
        max_near_bytes = max(self.local_bytes_by_hall.values(), default=0)
        return max_near_bytes - self.local_bytes_by_hall.get(hall, 0)


class Chunk(msgspec.Struct, frozen=True):
    """Hold waiting pieces of one stage of one request, which read the same inputs."""

    tasks: tuple[PieceTask, ...]

    @property
    def is_suspect(self) -> bool:
        """Tell whether an endpoint crashed while it ran the request."""
        return any(task.is_suspect for task in self.tasks)

    def may_share_call(self, taken: Sequence[PieceTask]) -> bool:
        """Tell whether the pieces may join the pieces already taken for a call.

        Pieces of a suspect request go in calls of their own: if the endpoint crashes
        then, the request at fault is known, and no other request loses pieces. Where
        all requests are suspect because of one crash each, they may share a call:
        after another crash they go alone.
        """
        if not taken or taken[0].request_id == self.tasks[0].request_id:
            return True
        joined = (*taken, *self.tasks)
        if not any(task.is_suspect for task in joined):
            return True
        return all(task.is_suspect_once for task in joined)

    @property
    def level(self) -> int:
        """Return the level by which the chunk is ordered at a contended service."""
        return self.tasks[0].known_level

    @property
    def rank_at(self) -> float:
        """Return the time by which the chunk is ordered in the queue."""
        return self.tasks[0].rank_at

    def is_late(self, limits: PieceLimits, now: float) -> bool:
        """Tell whether a call of the chunk sent now would end too late."""
        return (
            now + limits.duration_ms(len(self.tasks)) / 1_000.0 > self.tasks[0].due_at
        )

    def moving_cost_s(self, hall: HallId) -> float:
        """Return the cost of moving the inputs to a hall, as an equivalent wait."""
        return moving_cost_s(self.tasks[0].moved_bytes(hall) * len(self.tasks))

    def is_large_move(self, hall: HallId) -> bool:
        """Tell whether many bytes move if the pieces are computed in a hall."""
        return self.tasks[0].moved_bytes(hall) * len(self.tasks) >= LARGE_MOVE_MIN_BYTES

    def hall_wait_s(self, hall: HallId, limits: PieceLimits, now: float) -> float:
        """Return how long to wait for an endpoint elsewhere rather than use a hall.

        A request with little slack does not wait in order to avoid moving bytes.
        """
        call_s = limits.full_call_s
        slack_s = max(
            0.0, self.tasks[0].due_at - now - HALL_WAIT_RESERVE_CALLS * call_s
        )
        return min(self.moving_cost_s(hall), HALL_WAIT_FRACTION * slack_s)

    def waits_for_other_hall(
        self,
        hall: HallId,
        free_in_s_by_hall: dict[HallId, float],
        limits: PieceLimits,
        now: float,
    ) -> bool:
        """Tell whether another hall is better and has an endpoint free soon enough."""
        hall_wait_s = self.hall_wait_s(hall, limits, now)
        return any(
            free_in_s < hall_wait_s - self.hall_wait_s(other, limits, now)
            for other, free_in_s in free_in_s_by_hall.items()
            if other != hall
        )


def queue_delay_s(route: Route, priority: int) -> float:
    """Return the delay added to the due time of a request to rank its pieces.

    Routes of the highest priority go first. The others are mainly ordered by due time,
    because otherwise a kind of request could starve. `priority` is that of the
    workspace where it has one.

    Units: seconds.
    """
    urgency_delay_s = 0.0 if route.is_urgent else LESS_URGENT_DELAY_S
    return urgency_delay_s + PRIORITY_STEP_S * priority


class PieceQueue:
    """Hold waiting pieces; urgent requests go first, the earliest due before others."""

    def __init__(self) -> None:
        self.tasks_: list[PieceTask] = []
        self.reserved_ = ReservedPlaces()
        # How many pieces the last call left in the queue, by cause.
        self.left_by_cause_: Counter[LeftCause] = Counter()

    def __len__(self) -> int:
        return len(self.tasks_)

    def push(self, task: PieceTask) -> None:
        """Add a piece."""
        self.tasks_.append(task)

    def discard(self, is_kept: Callable[[PieceTask], bool]) -> list[PieceTask]:
        """Remove and return the pieces for which the predicate is false."""
        dropped = [task for task in self.tasks_ if not is_kept(task)]
        if dropped:
            self.tasks_ = [task for task in self.tasks_ if is_kept(task)]
        return dropped

    def take_hopeless(
        self, limits: PieceLimits | None, policy: FillPolicy, now: float
    ) -> list[PieceTask]:
        """Remove and return the pieces that no call can finish before the deadline.

        Without limits, or where the policy says so, those whose deadline is over.
        """
        call_s = 0.0
        if limits is not None and policy.drops_hopeless_pieces:
            call_s = limits.duration_ms(1) / 1_000.0
        return self.discard(lambda task: task.deadline > now + call_s)

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

    def first_call_bytes(self, limits: PieceLimits, now: float) -> int:
        """Return the room that the results of a full call of the first pieces take."""
        ordered = [
            task for chunk in self._ordered(None, limits, now) for task in chunk.tasks
        ]
        return sum(task.result_bytes for task in ordered[: limits.batch])

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
        self.tasks_ = remaining
        if self._has_levels([*taken, *remaining]):
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

        has_levels = self._has_levels(self.tasks_)

        def sort_key(chunk: Chunk) -> tuple[bool, int, float]:
            moving_cost_s = chunk.moving_cost_s(hall) if hall is not None else 0.0
            level = chunk.level if has_levels else LEVEL_HIGHEST
            return chunk.is_late(limits, now), level, chunk.rank_at + moving_cost_s

        ordered = sorted(self.chunks(), key=sort_key)
        if not has_levels:
            return ordered
        return self.reserved_.move_ahead(ordered, limits, now)

    @staticmethod
    def _has_levels(tasks: Iterable[PieceTask]) -> bool:
        """Tell whether pieces are ordered by level: the service is contended."""
        return any(task.level is not None for task in tasks)


def _is_large_move(chunk: Chunk, hall: HallId | None) -> bool:
    return hall is not None and chunk.is_large_move(hall)
