"""Queue the pieces that wait for a batch, and take those of the next call.

Owned by the scheduler of a group. The order is by when requests are due, later for less
urgent ones; a call takes whole requests where it can, and leaves pieces for the hall of
their inputs while little waits. When a call leaves is decided in `_filling`.
"""

from collections.abc import Callable, Sequence

import msgspec

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching._graph import PieceKey
from leadford.forwarding.batching._groups import moving_s
from leadford.forwarding.routes import PieceLimits, ResultHandle, Route

# Full calls of time to spare below which a piece does not wait for others.
WINDOW_SPARE_CALLS = 4.0
# Part of the time to spare beyond that which a piece waits for others, and the most, as
# a part of a call's fixed time.
WINDOW_PART = 0.08
WINDOW_MOST_PART = 0.9
# Part of the time to spare that a piece waits for the hall of its inputs.
HALL_WAIT_PART = 0.35
# Full calls that are kept of that time: the call itself, and as much again twice for
# what may go wrong.
SPARE_CALLS = 3.0
# While no more waits than so many full calls, and than so large a part of one full call
# to each endpoint, pieces are left for the hall of their inputs.
SHORT_CALLS = 2
SHORT_PART = 0.5
# Bytes from which on moving pieces counts in a queue of more than SHORT_CALLS: those
# that read little fill calls instead.
MUCH_BYTES = 250_000
# Seconds by which a piece counts as due later, for routes below the highest priority
# and for each step of priority. Both are bounds: without them the less urgent could
# wait for ever.
LESS_URGENT_S = 2.0
PRIORITY_STEP_S = 0.2


class PieceTask(msgspec.Struct, frozen=True, eq=False):
    """Ask for one piece on behalf of the entry that holds its request.

    A piece has a key of its request's own or the results that it reads, never both.
    The correlation id tells the answers to one entry apart.

    Units: due_at, queued_at and deadline are seconds of the monotonic clock; due_at
    is when the whole request should have been answered, and rank_at orders pieces:
    it is due_at with a delay for the less urgent. near_bytes_by_hall is what
    need not move between halls if the piece is made in one.
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
    near_bytes_by_hall: dict[HallId, int] = {}
    # An endpoint ended under its request before.
    is_suspect: bool = False

    @property
    def is_urgent(self) -> bool:
        """Tell whether the piece has no delay for the less urgent."""
        return self.rank_at - self.due_at < LESS_URGENT_S / 2.0

    def moved_bytes(self, hall: HallId) -> int:
        """Return how many bytes move between halls if the piece is made in one."""
        most = max(self.near_bytes_by_hall.values(), default=0)
        return most - self.near_bytes_by_hall.get(hall, 0)


class Chunk(msgspec.Struct, frozen=True):
    """Hold waiting pieces of one stage of one request; they read the same inputs."""

    tasks: tuple[PieceTask, ...]

    @property
    def is_suspect(self) -> bool:
        """Tell whether an endpoint ended under the request before."""
        return any(task.is_suspect for task in self.tasks)

    def may_share(self, taken: Sequence[PieceTask]) -> bool:
        """Tell whether the pieces may go in a call that holds others already.

        Those of a request under suspicion go in calls of their own: an endpoint that
        ends then says whose they were, and takes along no piece of another request.
        """
        if not taken or taken[0].request_id == self.tasks[0].request_id:
            return True
        return not (self.is_suspect or any(task.is_suspect for task in taken))

    @property
    def rank_at(self) -> float:
        """Return the order of the chunk."""
        return self.tasks[0].rank_at

    def is_late(self, limits: PieceLimits, now: float) -> bool:
        """Tell whether a call that leaves now can no longer end when it is due."""
        return (
            now + limits.duration_ms(len(self.tasks)) / 1_000.0 > self.tasks[0].due_at
        )

    def moving_s(self, hall: HallId) -> float:
        """Return the wait that moving bytes to a hall is worth."""
        return moving_s(self.tasks[0].moved_bytes(hall) * len(self.tasks))

    def moves_much(self, hall: HallId) -> bool:
        """Tell whether many bytes move if the pieces are made in a hall."""
        return self.tasks[0].moved_bytes(hall) * len(self.tasks) >= MUCH_BYTES

    def hall_wait_s(self, hall: HallId, limits: PieceLimits, now: float) -> float:
        """Return how long to wait for an endpoint elsewhere rather than use a hall.

        A request with little time to spare does not wait for the sake of bytes.
        """
        call_s = limits.full_call_s
        spare_s = max(0.0, self.tasks[0].due_at - now - SPARE_CALLS * call_s)
        return min(self.moving_s(hall), HALL_WAIT_PART * spare_s)

    def waits_for_other_hall(
        self,
        hall: HallId,
        free_in_s_by_hall: dict[HallId, float],
        limits: PieceLimits,
        now: float,
    ) -> bool:
        """Tell whether another hall is better and has an endpoint free in time."""
        hall_wait_s = self.hall_wait_s(hall, limits, now)
        return any(
            free_in_s < hall_wait_s - self.hall_wait_s(other, limits, now)
            for other, free_in_s in free_in_s_by_hall.items()
            if other != hall
        )


def queue_delay_s(route: Route, priority: int) -> float:
    """Return how much later than due the pieces of a request count in the queues.

    Routes of the highest priority go first; among the others it is the time when they
    are due that decides, or a kind of request could be starved. `priority` is that of
    the workspace where it has one.

    Units: seconds.
    """
    head_start_s = 0.0 if route.is_urgent else LESS_URGENT_S
    return head_start_s + PRIORITY_STEP_S * priority


class PieceQueue:
    """Hold waiting pieces; urgent requests go first, among them the first due."""

    def __init__(self) -> None:
        self.tasks_: list[PieceTask] = []

    def __len__(self) -> int:
        return len(self.tasks_)

    def push(self, task: PieceTask) -> None:
        """Add a piece."""
        self.tasks_.append(task)

    def discard(self, wanted: Callable[[PieceTask], bool]) -> list[PieceTask]:
        """Remove and return the pieces for which the predicate is false."""
        dropped = [task for task in self.tasks_ if not wanted(task)]
        if dropped:
            self.tasks_ = [task for task in self.tasks_ if wanted(task)]
        return dropped

    def waiting_bytes(self) -> int:
        """Return the room that the waiting pieces will take."""
        return sum(task.result_bytes for task in self.tasks_)

    def window_ends_at(self, limits: PieceLimits) -> float:
        """Return from when a call that is not full should leave all the same.

        A piece whose request has time to spare waits a little for more pieces: a call
        costs much more than a piece in it.
        """
        if len(self.tasks_) >= limits.batch:
            return 0.0
        spare_least_s = WINDOW_SPARE_CALLS * limits.full_call_s
        most_s = WINDOW_MOST_PART * limits.call_ms / 1_000.0
        window_ends_at = float("inf")
        for task in self.tasks_:
            spare_s = task.due_at - task.queued_at - spare_least_s
            wait_s = min(most_s, max(0.0, WINDOW_PART * spare_s))
            if task.due_at <= task.queued_at:
                # It is late already, so its call may as well be full.
                wait_s = most_s
            window_ends_at = min(window_ends_at, task.queued_at + wait_s)
        return window_ends_at

    def first_bytes(self, limits: PieceLimits, now: float) -> int:
        """Return the room that a full call of the first pieces takes."""
        ordered = [task for c in self._ordered(None, limits, now) for task in c.tasks]
        return sum(task.result_bytes for task in ordered[: limits.batch])

    def fitting(self, room_bytes: int, limits: PieceLimits, now: float) -> int:
        """Return how many pieces a call could carry now with so much room."""
        count = 0
        for chunk in self._ordered(None, limits, now):
            for task in chunk.tasks:
                if count == limits.batch:
                    return count
                if task.result_bytes <= room_bytes:
                    room_bytes -= task.result_bytes
                    count += 1
        return count

    def first(self, limits: PieceLimits, now: float) -> Chunk:
        """Return the pieces that go first; there must be some."""
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

        The pieces of one stage of a request go together, as far as they fit in a
        call: a part of them would take room until the rest is made. With `may_split`
        they fill the last places of a call all the same, while more waits than a few
        calls take: the rest leaves with the next one. Pieces that do not fit hold back
        no smaller ones. Where more waits than a call takes, pieces
        that read results of the hall go a little earlier; where less waits, those
        that stay away are left for an endpoint elsewhere. `endpoints` are those of the
        group.
        """
        batch = limits.batch
        few_wait = len(self.tasks_) <= SHORT_CALLS * batch
        is_short = self._is_short(limits, endpoints)
        taken: list[PieceTask] = []
        left: list[PieceTask] = []
        for number, chunk in enumerate(self._ordered(hall, limits, now)):
            tasks = chunk.tasks
            allowed = [task for task in tasks if endpoint_id not in task.excluded]
            places = batch - len(taken)
            is_split = number > 0 and places < len(allowed) <= batch
            if is_split and may_split and not is_short and places > 0:
                is_split = False
            may_stay = few_wait or (is_short and _moves_much(chunk, hall))
            is_kept_out = is_split or not chunk.may_share(taken)
            if is_kept_out or (may_stay and waits_for_other_hall(chunk)):
                left += tasks
                continue
            fitting: list[PieceTask] = []
            for task in allowed[:places]:
                if task.result_bytes > room_bytes:
                    break
                room_bytes -= task.result_bytes
                fitting.append(task)
            taken += fitting
            left += [task for task in tasks if task not in fitting]
        self.tasks_ = left
        return taken

    def chunks(self) -> list[Chunk]:
        """Return the waiting pieces by stage of their request."""
        tasks: dict[tuple[RequestId, int], list[PieceTask]] = {}
        for task in self.tasks_:
            tasks.setdefault((task.request_id, task.key.stage), []).append(task)
        return [Chunk(tuple(group)) for group in tasks.values()]

    def _is_short(self, limits: PieceLimits, endpoints: int) -> bool:
        """Tell whether so little waits that a piece may stay away from an endpoint.

        Answers a group with many endpoints: what its queue holds beside idle endpoints
        grows with the group.
        """
        calls = max(SHORT_CALLS, SHORT_PART * endpoints)
        return len(self.tasks_) <= calls * limits.batch

    def _ordered(
        self, hall: HallId | None, limits: PieceLimits, now: float
    ) -> list[Chunk]:
        """Return the chunks in the order in which a hall takes them.

        Those that cannot be in time any more go behind those that can: taken by when
        they were due, they would go first and make the others late too.
        """

        def order(chunk: Chunk) -> tuple[bool, float]:
            moving_s = chunk.moving_s(hall) if hall is not None else 0.0
            return chunk.is_late(limits, now), chunk.rank_at + moving_s

        return sorted(self.chunks(), key=order)


def _moves_much(chunk: Chunk, hall: HallId | None) -> bool:
    return hall is not None and chunk.moves_much(hall)
