"""Turn plans into orders to one engine.

Used by the agent of an engine, which asks for the next order whenever it receives a
plan or the engine reports its models. An order carries the version of the plan's stored
object as a fencing token; an engine that checks it refuses orders of older plans.
While the outcome of an order is unknown, no contradicting order is sent to an engine
that does not check it.
"""

from enum import Enum

import msgspec

from leadford.pipelines.placement._planner import ModelCopy

# Time after which an unanswered order can no longer reach the engine.
ORDER_LIFETIME_S = 5.0


class OrderKind(Enum):
    """Name the action that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderStep(msgspec.Struct, frozen=True):
    """Hold one order and its fencing token."""

    kind: OrderKind
    copy: ModelCopy
    fence: int


class OrderSequence:
    """Return one order at a time, from the newest plan only.

    An engine that does not check fencing tokens may still execute an order whose answer
    was lost. Further orders for the same model therefore wait until the lost one can no
    longer arrive.
    """

    def __init__(
        self, *, checks_fences: bool, order_lifetime_s: float = ORDER_LIFETIME_S
    ) -> None:
        self.checks_fences = checks_fences
        self.order_lifetime_s = order_lifetime_s
        self.fence_ = 0
        self.wanted_copies_: frozenset[ModelCopy] = frozenset()
        self.in_doubt_until_by_model_: dict[str, float] = {}

    def adopt_plan(self, fence: int, wanted: frozenset[ModelCopy]) -> bool:
        """Adopt a plan and return True, unless it is older than the current one."""
        if fence < self.fence_:
            return False
        self.fence_ = fence
        self.wanted_copies_ = wanted
        return True

    def next_order(self, holds: frozenset[ModelCopy], now: float) -> OrderStep | None:
        """Return the next order for an engine that holds the given copies."""
        if not self.fence_:
            return None
        # Loads come first: a replacement must serve before the old copy is unloaded.
        steps = [(OrderKind.LOAD, copy) for copy in sorted(self.wanted_copies_ - holds)]
        steps += [
            (OrderKind.UNLOAD, copy) for copy in sorted(holds - self.wanted_copies_)
        ]
        for kind, copy in steps:
            if now < self.in_doubt_until_by_model_.get(copy.model, 0.0):
                continue
            return OrderStep(kind, copy, self.fence_)
        return None

    def record_lost(self, step: OrderStep, now: float) -> None:
        """Record that no answer to an order arrived."""
        if not self.checks_fences:
            self.in_doubt_until_by_model_[step.copy.model] = now + self.order_lifetime_s
