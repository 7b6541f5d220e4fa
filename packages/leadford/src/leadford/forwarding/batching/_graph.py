"""Follow the pieces of one request from pending to done.

A stage begins when it is due: results take room until the request reads them, so a
short branch waits until the longest branch has as many stages left.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.forwarding.routes import ResultHandle, StageSpec

# Pieces that a request may have.
PIECES_MAX = 10_000


class PieceState(Enum):
    """Say how far a piece is; one at work has fetched its inputs."""

    PENDING = "pending"
    QUEUED = "queued"
    WORKING = "working"
    DONE = "done"


class PieceKey(msgspec.Struct, frozen=True):
    """Name a piece of a request: its stage and its number, both from 0."""

    stage: int
    piece: int


class _Piece:
    """Hold the state of one piece."""

    def __init__(self) -> None:
        self.state_ = PieceState.PENDING
        self.handle_: ResultHandle | None = None


class PieceGraph:
    """Say which pieces can be made now, and hold results while they have readers."""

    def __init__(self, *, stages: Sequence[StageSpec], counts: Sequence[int]) -> None:
        self.stages = tuple(stages)
        self.counts = tuple(counts)
        self.pieces_by_key_ = {
            PieceKey(stage, piece): _Piece()
            for stage, count in enumerate(self.counts)
            for piece in range(count)
        }
        read = {
            before
            for stage in self._used_stages()
            for before in self.stages[stage].after
        }
        self.sinks_ = [stage for stage in self._used_stages() if stage not in read]
        self.chains_ = self._chains()

    @classmethod
    def from_counts(
        cls, stages: Sequence[StageSpec], counts: Sequence[int]
    ) -> Result["PieceGraph", str]:
        """Check the counts that a caller gave against the stages of the route."""
        if len(counts) != len(stages):
            return Failure(f"{len(counts)} counts for {len(stages)} stages")
        if any(count < 0 for count in counts) or sum(counts) > PIECES_MAX:
            return Failure("counts out of range")
        for number, stage in enumerate(stages):
            if any(before >= number or before < 0 for before in stage.after):
                return Failure(f"stage {number} reads a later stage")
        return Success(cls(stages=stages, counts=counts))

    def _used_stages(self) -> list[int]:
        return [stage for stage, count in enumerate(self.counts) if count > 0]

    @property
    def is_done(self) -> bool:
        """Tell whether every result that the request itself reads is there."""
        return all(
            piece.handle_ is not None
            for key, piece in self.pieces_by_key_.items()
            if key.stage in self.sinks_
        )

    def _chains(self) -> dict[int, int]:
        """Return how many stages follow each stage to the end, itself included."""
        chains: dict[int, int] = {}
        for stage in reversed(self._used_stages()):
            readers = [
                chains[later] for later in chains if stage in self.stages[later].after
            ]
            chains[stage] = 1 + max(readers, default=0)
        return chains

    def ready(self) -> list[PieceKey]:
        """Return the pieces that are wanted, can be made now and are due."""
        wanted = self._wanted_stages()
        longest = max((self.chains_[stage] for stage in wanted), default=0)
        keys = []
        for key, piece in self.pieces_by_key_.items():
            if key.stage not in wanted or piece.state_ is not PieceState.PENDING:
                continue
            if self.chains_[key.stage] < longest:
                continue
            if self._stage_is_ready(key.stage):
                keys.append(key)
        return keys

    def longest_chain(self) -> list[int]:
        """Return the stages that are left on the longest way to the end."""
        wanted = self._wanted_stages()
        chain: list[int] = []
        for length in range(max((self.chains_[s] for s in wanted), default=0), 0, -1):
            chain += [s for s in sorted(wanted) if self.chains_[s] == length][:1]
        return chain

    def _wanted_stages(self) -> set[int]:
        """Return the stages with a result missing that somebody still reads."""
        wanted: set[int] = set()
        pending = list(self.sinks_)
        while pending:
            stage = pending.pop()
            if stage in wanted or self._stage_is_complete(stage):
                continue
            wanted.add(stage)
            if self._needs_inputs(stage):
                pending += [b for b in self.stages[stage].after if self.counts[b] > 0]
        return wanted

    def _needs_inputs(self, stage: int) -> bool:
        """Tell whether a piece of the stage is yet to fetch its inputs."""
        return any(
            self.pieces_by_key_[PieceKey(stage, piece)].state_
            in (PieceState.PENDING, PieceState.QUEUED)
            for piece in range(self.counts[stage])
        )

    def _stage_is_complete(self, stage: int) -> bool:
        return all(
            self.pieces_by_key_[PieceKey(stage, piece)].handle_ is not None
            for piece in range(self.counts[stage])
        )

    def _stage_is_ready(self, stage: int) -> bool:
        return all(self._stage_is_complete(b) for b in self.stages[stage].after)

    def inputs(self, stage: int) -> tuple[ResultHandle, ...]:
        """Return the results that a piece of the stage reads, all of them."""
        return tuple(
            self.pieces_by_key_[PieceKey(before, piece)].handle_
            for before in self.stages[stage].after
            for piece in range(self.counts[before])
        )

    def final_inputs(self) -> tuple[ResultHandle, ...]:
        """Return the results that the request itself reads."""
        return tuple(
            piece.handle_
            for key, piece in self.pieces_by_key_.items()
            if key.stage in self.sinks_ and piece.handle_ is not None
        )

    def record_queued(self, key: PieceKey) -> None:
        """Record that a piece waits for a call or is in one."""
        self.pieces_by_key_[key].state_ = PieceState.QUEUED

    def record_working(self, key: PieceKey) -> None:
        """Record that a piece is being made and needs its inputs no more."""
        piece = self.pieces_by_key_[key]
        if piece.state_ is PieceState.QUEUED:
            piece.state_ = PieceState.WORKING

    def record_done(self, key: PieceKey, handle: ResultHandle) -> None:
        """Record the result of a piece."""
        piece = self.pieces_by_key_[key]
        piece.state_ = PieceState.DONE
        piece.handle_ = handle

    def record_failed(self, key: PieceKey) -> None:
        """Record that a piece was not made, so that it is made again."""
        piece = self.pieces_by_key_[key]
        piece.state_ = PieceState.PENDING
        piece.handle_ = None

    def drop_stage(self, stages: Sequence[int]) -> list[ResultHandle]:
        """Forget the results of stages, because one of them is gone."""
        handles = []
        for key, piece in self.pieces_by_key_.items():
            if key.stage in stages and piece.handle_ is not None:
                handles.append(piece.handle_)
                piece.handle_ = None
                piece.state_ = PieceState.PENDING
        return handles

    def take_unread(self) -> list[ResultHandle]:
        """Return results that all readers have fetched, and forget them."""
        needed = set(self.sinks_)
        for stage in self._wanted_stages():
            if self._needs_inputs(stage):
                needed.update(self.stages[stage].after)
        unread = []
        for key, piece in self.pieces_by_key_.items():
            if key.stage in needed or piece.handle_ is None:
                continue
            unread.append(piece.handle_)
            # It is made again only if a stage that reads it has to be.
            piece.handle_ = None
            piece.state_ = PieceState.PENDING
        return unread

    def take_all(self) -> list[ResultHandle]:
        """Return every result still held, and forget them; they can be made again."""
        return self.drop_stage(range(len(self.stages)))
