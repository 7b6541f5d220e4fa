"""Queue the pieces that wait for a batch."""

from collections.abc import Callable

import msgspec

from leadford.common import EndpointId, EntryId, RequestId
from leadford.forwarding import ResultHandle
from leadford.pieces._graph import PieceKey


class PieceTask(msgspec.Struct, frozen=True, eq=False):
    """Ask for one piece on behalf of the entry that holds its request.

    A piece has a key of its request's own or the results that it reads, never both.
    The ticket tells the answers to one entry apart.

    Units: admitted_at, queued_at and deadline are seconds of the monotonic clock.
    """

    ticket: int
    home: EntryId
    request_id: RequestId
    key: PieceKey
    private_key: str
    inputs: tuple[ResultHandle, ...]
    result_bytes: int
    priority: int
    deadline: float
    admitted_at: float
    queued_at: float
    excluded: frozenset[EndpointId] = frozenset()


class PieceQueue:
    """Hold waiting pieces; the most urgent and then the oldest request goes first."""

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

    def take(
        self, *, batch: int, room_bytes: int, endpoint_id: EndpointId
    ) -> list[PieceTask]:
        """Remove and return the pieces of the next call to an endpoint.

        A piece that does not fit holds back no smaller one: room that is short for
        the one may be plenty for the other.
        """
        taken: list[PieceTask] = []
        left: list[PieceTask] = []
        ordered = sorted(
            self.tasks_, key=lambda task: (task.priority, task.admitted_at)
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
