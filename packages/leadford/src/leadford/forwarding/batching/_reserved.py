"""Reserve a fraction of the places of calls for less urgent pieces.

Applies to contended services only.

Ordered by level alone, less urgent pieces would starve while more urgent ones fill the
calls. As in deficit round robin, each call that passes over less urgent pieces, while
more pieces wait than fit in one call, adds a few places to a credit. Once the credit
covers the chunk that has waited longest, that chunk goes first. So chunks stay whole,
and on average the reserved fraction of the places is used for them. Chunks that can no
longer be in time are moved only if no other less urgent ones wait; they are moved at
all because they add to the admitted backlog as long as they are queued.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

from leadford.forwarding.routes import PieceLimits

# Minimum fraction of the places of calls for less urgent pieces. Forecasts of admission
# rely on it.
RESERVED_FRACTION = 0.1
# Minimum number of places that a call adds to the credit.
MIN_RESERVED_PLACES = 1


class WaitingPiece(Protocol):
    """Provide the level of a waiting piece, and since when it waits."""

    queued_at: float

    @property
    def known_level(self) -> int:
        """Return the level of the piece."""


class WaitingChunk(Protocol):
    """Provide the level of pieces that wait together, and whether they are late."""

    tasks: tuple[WaitingPiece, ...]

    @property
    def level(self) -> int:
        """Return the level of the pieces."""

    def is_late(self, limits: PieceLimits, now: float) -> bool:
        """Tell whether a call of the pieces sent now would end too late."""


ChunkType = TypeVar("ChunkType", bound=WaitingChunk)


class ReservedPlaces:
    """Hold the credit of one queue, in places; it never exceeds one full call."""

    def __init__(self) -> None:
        self.credit_ = 0
        self.moved_: tuple[WaitingPiece, ...] = ()

    def move_ahead(
        self, ordered: list[ChunkType], limits: PieceLimits, now: float
    ) -> list[ChunkType]:
        """Return the chunks, first the one that the credit covers if there is one.

        `ordered` begins with the most urgent chunks that can be in time.
        """
        self.moved_ = ()
        if self.credit_ == 0 or not ordered or ordered[0].is_late(limits, now):
            return ordered
        passed_over = [chunk for chunk in ordered if chunk.level > ordered[0].level]
        if not passed_over:
            return ordered
        oldest = min(
            passed_over,
            key=lambda chunk: (chunk.is_late(limits, now), chunk.tasks[0].queued_at),
        )
        if self.credit_ < min(len(oldest.tasks), limits.batch):
            return ordered
        self.moved_ = oldest.tasks
        return [oldest, *(chunk for chunk in ordered if chunk is not oldest)]

    def record_call(
        self,
        taken: Sequence[WaitingPiece],
        remaining: Sequence[WaitingPiece],
        limits: PieceLimits,
    ) -> None:
        """Update the credit after a call has been filled."""
        if not taken:
            return
        used = sum(1 for task in taken if task in self.moved_)
        self.moved_ = ()
        earned = 0
        fits_all = len(taken) + len(remaining) <= limits.batch
        if not fits_all and _passes_over(taken, remaining):
            earned = max(MIN_RESERVED_PLACES, round(RESERVED_FRACTION * limits.batch))
        self.credit_ = min(limits.batch, max(0, self.credit_ + earned - used))


def _passes_over(
    taken: Sequence[WaitingPiece], remaining: Sequence[WaitingPiece]
) -> bool:
    """Tell whether pieces are left that are less urgent than the most urgent one."""
    highest = min(task.known_level for task in (*taken, *remaining))
    return any(task.known_level > highest for task in remaining)
