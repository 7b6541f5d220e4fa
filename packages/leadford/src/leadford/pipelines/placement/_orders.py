"""Turn plans into orders to one engine, never two that contradict in doubt.

Held by the agent of an engine, which asks for the next order whenever a plan came or
the engine said what it holds. An order carries the version of the plan's stored object
as a fence; an engine that checks it refuses orders of older plans itself.
"""

from enum import Enum

import msgspec

from leadford.pipelines.placement._planner import ModelCopy

# Seconds after which an order without an answer can no longer arrive.
DOUBT_S = 5.0


class OrderKind(Enum):
    """Name what an engine is told."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderStep(msgspec.Struct, frozen=True):
    """Hold one order and the fence it carries."""

    kind: OrderKind
    copy: ModelCopy
    fence: int


class OrderSequence:
    """Give one order at a time, from the newest plan only.

    An engine that does not check fences may still obey an order whose answer was lost.
    A contrary order therefore waits until that one can no longer arrive.
    """

    def __init__(self, *, checks_fences: bool, doubt_s: float = DOUBT_S) -> None:
        self.checks_fences = checks_fences
        self.doubt_s = doubt_s
        self.fence_ = 0
        self.wanted_: frozenset[ModelCopy] = frozenset()
        self.doubtful_until_: dict[str, float] = {}

    def offer(self, fence: int, wanted: frozenset[ModelCopy]) -> bool:
        """Take a plan unless it is older than the one that is obeyed."""
        if fence < self.fence_:
            return False
        self.fence_ = fence
        self.wanted_ = wanted
        return True

    def next_step(self, holds: frozenset[ModelCopy], now: float) -> OrderStep | None:
        """Return the next order for an engine that holds these copies."""
        if not self.fence_:
            return None
        # Loads go first: what replaces a copy must serve before the copy goes.
        steps = [(OrderKind.LOAD, copy) for copy in sorted(self.wanted_ - holds)]
        steps += [(OrderKind.UNLOAD, copy) for copy in sorted(holds - self.wanted_)]
        for kind, copy in steps:
            if now < self.doubtful_until_.get(copy.model, 0.0):
                continue
            return OrderStep(kind, copy, self.fence_)
        return None

    def record_lost(self, step: OrderStep, now: float) -> None:
        """Record that an order was not answered."""
        if not self.checks_fences:
            self.doubtful_until_[step.copy.model] = now + self.doubt_s
