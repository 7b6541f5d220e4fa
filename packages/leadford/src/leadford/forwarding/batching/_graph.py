"""Track the pieces of one request from pending to done.

Results occupy room until the request reads them. A short branch of the graph therefore
starts only when the longest branch has no more stages left than it has.
"""

from collections.abc import Sequence
from enum import Enum

import msgspec
from returns.result import Failure, Result, Success

from leadford.forwarding.routes import ResultHandle, StageSpec

# Most pieces of one request.
PIECES_MAX = 10_000


class PieceState(Enum):
    """Name the state of a piece; a working piece has fetched its inputs."""

    PENDING = "pending"
    QUEUED = "queued"
    WORKING = "working"
    DONE = "done"


class PieceKey(msgspec.Struct, frozen=True):
    """Identify a piece of a request by stage and number, both counted from 0."""

    stage: int
    piece: int


class _Piece:
    """Hold the state and the result of one piece."""

    def __init__(self) -> None:
        self.state_ = PieceState.PENDING
        self.handle_: ResultHandle | None = None


class PieceGraph:
    """Select the pieces to compute now, and hold results until they are read."""

    def __init__(self, *, stages: Sequence[StageSpec], counts: Sequence[int]) -> None:
        self.stages = tuple(stages)
        self.counts = tuple(counts)
        self.pieces_by_key_ = {
            PieceKey(stage, piece): _Piece()
            for stage, count in enumerate(self.counts)
            for piece in range(count)
        }
        read_stages = {
            input_stage
            for stage in self._used_stages()
            for input_stage in self.stages[stage].after
        }
        self.sinks_ = [
            stage for stage in self._used_stages() if stage not in read_stages
        ]
        self.chain_lengths_ = self._chain_lengths()

    @classmethod
    def from_counts(
        cls, stages: Sequence[StageSpec], counts: Sequence[int]
    ) -> Result["PieceGraph", str]:
        """Build a graph from a caller's piece counts, checked against the stages."""
        if len(counts) != len(stages):
            return Failure(f"{len(counts)} counts for {len(stages)} stages")
        if any(count < 0 for count in counts) or sum(counts) > PIECES_MAX:
            return Failure("counts out of range")
        for number, stage in enumerate(stages):
            if any(
                input_stage >= number or input_stage < 0 for input_stage in stage.after
            ):
                return Failure(f"stage {number} reads a later stage")
        return Success(cls(stages=stages, counts=counts))

    def _used_stages(self) -> list[int]:
        return [stage for stage, count in enumerate(self.counts) if count > 0]

    @property
    def is_done(self) -> bool:
        """Tell whether every result that the request itself reads is available."""
        return all(
            piece.handle_ is not None
            for key, piece in self.pieces_by_key_.items()
            if key.stage in self.sinks_
        )

    def _chain_lengths(self) -> dict[int, int]:
        """Return the length of the longest path from each stage to the end.

        The length counts stages, and includes the stage itself.
        """
        lengths: dict[int, int] = {}
        for stage in reversed(self._used_stages()):
            readers = [
                lengths[later] for later in lengths if stage in self.stages[later].after
            ]
            lengths[stage] = 1 + max(readers, default=0)
        return lengths

    def ready(self) -> list[PieceKey]:
        """Return the pending pieces that are needed, have all inputs and are due.

        A stage is due when no needed stage has a longer path to the end.
        """
        wanted = self._wanted_stages()
        longest_length = max(
            (self.chain_lengths_[stage] for stage in wanted), default=0
        )
        keys = []
        for key, piece in self.pieces_by_key_.items():
            if key.stage not in wanted or piece.state_ is not PieceState.PENDING:
                continue
            if self.chain_lengths_[key.stage] < longest_length:
                continue
            if self._stage_is_ready(key.stage):
                keys.append(key)
        return keys

    def longest_chain(self) -> list[int]:
        """Return the incomplete stages on the longest path to the end."""
        wanted = self._wanted_stages()
        chain: list[int] = []
        for length in range(
            max((self.chain_lengths_[stage] for stage in wanted), default=0), 0, -1
        ):
            chain += [
                stage
                for stage in sorted(wanted)
                if self.chain_lengths_[stage] == length
            ][:1]
        return chain

    def _wanted_stages(self) -> set[int]:
        """Return the incomplete stages whose results are still to be read."""
        wanted: set[int] = set()
        pending = list(self.sinks_)
        while pending:
            stage = pending.pop()
            if stage in wanted or self._stage_is_complete(stage):
                continue
            wanted.add(stage)
            if self._needs_inputs(stage):
                pending += [
                    input_stage
                    for input_stage in self.stages[stage].after
                    if self.counts[input_stage] > 0
                ]
        return wanted

    def _needs_inputs(self, stage: int) -> bool:
        """Tell whether any piece of the stage has not fetched its inputs yet."""
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
        return all(
            self._stage_is_complete(input_stage)
            for input_stage in self.stages[stage].after
        )

    def inputs(self, stage: int) -> tuple[ResultHandle, ...]:
        """Return all results that a piece of the stage reads."""
        return tuple(
            self.pieces_by_key_[PieceKey(input_stage, piece)].handle_
            for input_stage in self.stages[stage].after
            for piece in range(self.counts[input_stage])
        )

    def final_inputs(self) -> tuple[ResultHandle, ...]:
        """Return the results that the request itself reads."""
        return tuple(
            piece.handle_
            for key, piece in self.pieces_by_key_.items()
            if key.stage in self.sinks_ and piece.handle_ is not None
        )

    def record_queued(self, key: PieceKey) -> None:
        """Record that a piece waits for a call, or is in one but has no inputs yet."""
        self.pieces_by_key_[key].state_ = PieceState.QUEUED

    def record_inputs_read(self, key: PieceKey) -> None:
        """Record that a piece is being computed and no longer needs its inputs."""
        piece = self.pieces_by_key_[key]
        if piece.state_ is PieceState.QUEUED:
            piece.state_ = PieceState.WORKING

    def record_done(self, key: PieceKey, handle: ResultHandle) -> None:
        """Record the result of a piece."""
        piece = self.pieces_by_key_[key]
        piece.state_ = PieceState.DONE
        piece.handle_ = handle

    def record_failed(self, key: PieceKey) -> None:
        """Record that a piece failed, so that it is computed again."""
        piece = self.pieces_by_key_[key]
        piece.state_ = PieceState.PENDING
        piece.handle_ = None

    def drop_results(self, stages: Sequence[int]) -> list[ResultHandle]:
        """Remove and return the results of stages, such as when one is lost."""
        handles = []
        for key, piece in self.pieces_by_key_.items():
            if key.stage in stages and piece.handle_ is not None:
                handles.append(piece.handle_)
                piece.handle_ = None
                piece.state_ = PieceState.PENDING
        return handles

    def take_fetched(self) -> list[ResultHandle]:
        """Remove and return the results that all readers have fetched."""
        needed = set(self.sinks_)
        for stage in self._wanted_stages():
            if self._needs_inputs(stage):
                needed.update(self.stages[stage].after)
        unread = []
        for key, piece in self.pieces_by_key_.items():
            if key.stage in needed or piece.handle_ is None:
                continue
            unread.append(piece.handle_)
            # It is computed again only if a stage that reads it has to be.
            piece.handle_ = None
            piece.state_ = PieceState.PENDING
        return unread

    def take_all(self) -> list[ResultHandle]:
        """Remove and return every result still held; they can be computed again."""
        return self.drop_results(range(len(self.stages)))
