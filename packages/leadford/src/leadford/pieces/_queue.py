"""Queue the pieces that wait for a batch of one service."""

from collections.abc import Callable

import msgspec

from leadford.common import EndpointId, RequestId
from leadford.pieces._graph import PieceKey, ResultHandle


class PieceTask(msgspec.Struct, frozen=True, eq=False):
    """Ask for one piece.

    Units: deadline is in seconds of the monotonic clock; a piece has a key of its
    request's own or the results that it reads, never both.
    """

    request_id: RequestId
    key: PieceKey
    private_key: str
    inputs: tuple[ResultHandle, ...]
    result_bytes: int
    priority: int
    deadline: float
    queued_at: float
    excluded: frozenset[EndpointId] = frozenset()


class PieceQueue:
    """Hold waiting pieces; the most urgent request goes first, as a whole."""

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

    def ahead(self, priority: int) -> int:
        """Return how many waiting pieces are as urgent or more so."""
        return sum(task.priority <= priority for task in self.tasks_)

    def take(
        self, *, batch: int, room_bytes: int, endpoint_id: EndpointId
    ) -> list[PieceTask]:
        """Remove and return the pieces of the next call to an endpoint."""
        taken: list[PieceTask] = []
        left: list[PieceTask] = []
        ordered = sorted(
            self.tasks_, key=lambda task: (task.priority, task.deadline, task.queued_at)
        )
        for task in ordered:
            fits = task.result_bytes <= room_bytes and len(taken) < batch
            if not fits or endpoint_id in task.excluded:
                left.append(task)
                continue
            room_bytes -= task.result_bytes
            taken.append(task)
        self.tasks_ = left
        return taken
