"""Model the pieces that wait in the queue of a group, alone and in chunks."""

from collections.abc import Sequence

import msgspec

from leadford.common import EndpointId, EntryId, HallId, RequestId
from leadford.forwarding.batching._graph import PieceKey
from leadford.forwarding.batching._groups import moving_cost_s
from leadford.forwarding.routes import (
    LEVEL_HIGHEST,
    LEVEL_LESS_URGENT,
    PieceLimits,
    ResultHandle,
    Route,
)

# A piece waits for the hall of its inputs for at most this fraction of its slack.
HALL_WAIT_FRACTION = 0.35
# Durations of a full call that do not count as slack for that wait: one for the call
# itself and two for failures.
HALL_WAIT_RESERVE_CALLS = 3.0
# In a queue of more than SHORT_QUEUE_CALLS, only pieces that would move at least this
# many bytes are left for the hall of their inputs. Others fill calls instead.
LARGE_MOVE_MIN_BYTES = 250_000
# Delays by which a piece counts as due later: one for routes below the highest
# priority, one for each step of priority. They are finite so that less urgent pieces
# cannot wait forever.
LESS_URGENT_DELAY_S = 2.0
PRIORITY_STEP_S = 0.2


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
    # True if only one endpoint crashed while it ran the request of the piece; then the
    # piece may share a call with others for which this is true.
    is_suspect_once: bool = False
    # True if the caller has events of the stream already, so that the piece is of use
    # until the deadline.
    is_resumed: bool = False

    @property
    def late_at(self) -> float:
        """Return the time at which the piece gives way to those that can be in time."""
        return self.deadline if self.is_resumed else self.due_at

    @property
    def known_level(self) -> int:
        """Return the level; if None, infer one of two from the delay of the rank."""
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
        all requests are suspect because of one crash each, they may share a call; after
        another crash they go alone.
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
        call_s = limits.duration_ms(len(self.tasks)) / 1_000.0
        return now + call_s > self.tasks[0].late_at

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
        later_s_by_hall: dict[HallId, float],
        limits: PieceLimits,
        now: float,
    ) -> bool:
        """Tell whether another hall is better and finishes a call soon enough."""
        hall_wait_s = self.hall_wait_s(hall, limits, now)
        return any(
            later_s < hall_wait_s - self.hall_wait_s(other, limits, now)
            for other, later_s in later_s_by_hall.items()
            if other != hall
        )


def request_due_at(
    route: Route,
    *,
    first_try_at: float,
    now: float,
    deadline: float,
    is_resumed: bool,
) -> float:
    """Return when a request should be answered, by which its pieces are ordered.

    The target of a stream is for its first event. One that goes on after that is
    ordered as a request that begins now, or earlier if it has less time.

    Units: moments in seconds of the monotonic clock.
    """
    aim_s = route.aim_ms / 1_000.0
    if is_resumed:
        return min(now + aim_s, deadline)
    return first_try_at + aim_s


def queue_delay_s(route: Route, priority: int) -> float:
    """Return the delay added to the due time of a request to rank its pieces.

    Routes of the highest priority go first. The others are mainly ordered by due time,
    because otherwise a kind of request could starve. `priority` is that of the
    workspace where it has one.

    Units: seconds.
    """
    urgency_delay_s = 0.0 if route.is_urgent else LESS_URGENT_DELAY_S
    return urgency_delay_s + PRIORITY_STEP_S * priority
