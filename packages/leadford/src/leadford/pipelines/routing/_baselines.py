"""Provide the baseline policies that `expected_finish` is compared with.

The configuration may name one (`routing` of the tuning or of a pool); comparisons are
in docs/measurements. Baselines only count attempts, and do not discount old reports.
"""

from random import Random

from leadford.pipelines.routing._base import (
    EndpointView,
    RandomizedPolicy,
    RoutingRequest,
    routing_policies,
)


def _load(view: EndpointView) -> int:
    report = view.report_
    return max(report.queued + report.running + view.unreported_, view.outstanding_)


@routing_policies.register("round_robin")
class RoundRobin:
    """Choose the candidates in turn."""

    def __init__(self) -> None:
        self.turn_ = 0

    @classmethod
    def from_config(cls, *, random: Random) -> "RoundRobin":
        """Build a policy that starts at a random turn."""
        policy = cls()
        policy.turn_ = random.randrange(1 << 16)
        return policy

    def choose(
        self, request: RoutingRequest, candidates: list[EndpointView], now: float
    ) -> EndpointView | None:
        """Return the candidate whose turn it is."""
        if not candidates:
            return None
        self.turn_ += 1
        return candidates[self.turn_ % len(candidates)]


@routing_policies.register("least_loaded")
class LeastLoaded(RandomizedPolicy):
    """Choose the candidate with the fewest queued and running attempts."""

    def choose(
        self, request: RoutingRequest, candidates: list[EndpointView], now: float
    ) -> EndpointView | None:
        """Return one of the least loaded candidates, drawn at random."""
        if not candidates:
            return None
        lowest = min(_load(view) for view in candidates)
        ties = [view for view in candidates if _load(view) == lowest]
        return self.random.choice(ties)


@routing_policies.register("power_of_two")
class PowerOfTwo(RandomizedPolicy):
    """Choose the less loaded of two candidates drawn at random."""

    def choose(
        self, request: RoutingRequest, candidates: list[EndpointView], now: float
    ) -> EndpointView | None:
        """Return the less loaded of two random candidates."""
        if not candidates:
            return None
        first = self.random.choice(candidates)
        second = self.random.choice(candidates)
        return first if _load(first) <= _load(second) else second
