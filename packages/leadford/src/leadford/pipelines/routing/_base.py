"""Define what a routing policy sees and the contract it fulfils.

Owned by the directory of an entry, which keeps an `EndpointView` for each endpoint and
records there what the endpoint's agent reports and what the entry itself sends.
Policies read the views and change nothing. Times are passed in.
"""

from random import Random
from typing import Protocol, Self

import msgspec

from leadford.common import EndpointId, HallId, Objective, Registry
from leadford.pipelines.routing._prefixes import PrefixIndex

# Seconds after which half of a load report still counts.
REPORT_HALF_LIFE_S = 1.0
# Priorities of a request are 0, which goes first, to 9.
PRIORITIES = 10


class ClassWait(msgspec.Struct, frozen=True):
    """Say how much expected service waits in one class of priority."""

    priority: int
    ahead_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """Hold what an agent last said of its endpoint.

    Units: service_ms per attempt, token_ms per generated token, at_s of the clock.
    """

    at_s: float = 0.0
    queued: int = 0
    running: int = 0
    tokens_in_flight: int = 0
    service_ms: float = 0.0
    token_ms: float = 0.0
    concurrency: int = 1
    classes: tuple[ClassWait, ...] = ()


class EndpointView:
    """Hold what this process knows of one endpoint.

    `reported_` is what the last report says is there, `unreported_` the attempts of
    this process that the report cannot have seen, `outstanding_` all attempts of this
    process there. `ahead_ms_` is the expected service that waits, for each priority
    together with those before it; `load_` is the attempts there by the slots, the order
    of the shortlist.

    Units: distance_ms one way, joined_at_s of the clock that is passed in.
    """

    def __init__(
        self,
        *,
        endpoint_id: EndpointId,
        hall: HallId,
        concurrency: int = 1,
        distance_ms: float = 0.0,
        joined_at_s: float = float("-inf"),
        models: tuple[str, ...] = (),
    ) -> None:
        self.endpoint_id = endpoint_id
        self.hall = hall
        self.concurrency = concurrency
        self.distance_ms = distance_ms
        self.joined_at_s = joined_at_s
        self.models = models
        self.report_ = LoadReport(concurrency=concurrency)
        self.reported_ = 0
        self.load_ = 0.0
        self.ahead_ms_ = [0.0] * PRIORITIES
        self.unreported_ = 0
        self.outstanding_ = 0
        self.outstanding_tokens_ = 0
        self.prefixes_ = PrefixIndex()
        self.held_models_: tuple[tuple[str, str], ...] = ()

    def serves(self, model: str) -> bool:
        """Tell whether a model is there; an engine that names none serves all."""
        if self.held_models_:
            return any(name == model for name, _ in self.held_models_)
        return not self.models or model in self.models

    def trust(self, now: float) -> float:
        """Return how far the last report still holds: 1 at once, a half after 1 s."""
        age_s = now - self.report_.at_s
        return REPORT_HALF_LIFE_S / (REPORT_HALF_LIFE_S + max(0.0, age_s))

    def ahead(self, now: float) -> float:
        """Return how many attempts are probably there already."""
        reported = self.reported_ * self.trust(now)
        return max(reported + self.unreported_, self.outstanding_)

    def wait_ms(self, priority: int, service_ms: float, now: float) -> float:
        """Return how long an attempt of a priority would probably wait.

        Units: service_ms is what one attempt there takes.
        """
        concurrency = self.report_.concurrency
        ahead = self.ahead(now)
        if ahead < concurrency:
            return 0.0
        # Until the next of the running attempts ends, half a service on average.
        ahead_ms = service_ms / 2.0 + self.ahead_ms_[priority] * self.trust(now)
        beyond = max(0.0, ahead - max(concurrency, self.reported_))
        return (ahead_ms + beyond * service_ms) / concurrency

    def record_sent(self, expected_tokens: int) -> None:
        """Count an attempt that was sent."""
        self.unreported_ += 1
        self.outstanding_ += 1
        self.outstanding_tokens_ += expected_tokens
        self._sum_load()

    def record_ended(self, expected_tokens: int) -> None:
        """Count an attempt that ended."""
        self.unreported_ = max(0, self.unreported_ - 1)
        self.outstanding_ = max(0, self.outstanding_ - 1)
        remaining = self.outstanding_tokens_ - expected_tokens
        self.outstanding_tokens_ = max(0, remaining)
        self._sum_load()

    def record_report(self, report: LoadReport) -> None:
        """Record a newer load report, summed for the decisions that follow."""
        self.report_ = report
        self.reported_ = report.queued + report.running
        self.unreported_ = 0
        sums = [0.0] * PRIORITIES
        for waiting in report.classes:
            for priority in range(waiting.priority, PRIORITIES):
                sums[priority] += waiting.ahead_ms
        self.ahead_ms_ = sums
        self._sum_load()

    def _sum_load(self) -> None:
        """Recompute the measure of load that the shortlist sorts by."""
        ahead = max(self.reported_ + self.unreported_, self.outstanding_)
        self.load_ = ahead / self.report_.concurrency


class RoutingRequest(msgspec.Struct, frozen=True):
    """Describe the attempt to be placed.

    Units: remaining_ms is what is left for this stage and those after it.
    """

    stage: str = ""
    priority: int = 4
    expected_ms: float = 20.0
    expected_tokens: int = 0
    remaining_ms: float = 1000.0
    prefix: str = ""
    prefill_tokens: int = 0
    hall: HallId = HallId("")
    objective: Objective = Objective.ATTAINMENT


class RoutingPolicy(Protocol):
    """Choose one of the endpoints that may take an attempt."""

    @classmethod
    def from_config(cls, *, random: Random) -> "RoutingPolicy":
        """Build a policy that draws from a given generator."""

    def choose(
        self, request: RoutingRequest, candidates: list[EndpointView], now: float
    ) -> EndpointView | None:
        """Return the chosen candidate, or None when there is none."""


class DrawingPolicy:
    """Hold the generator of a policy that draws, for ties or for candidates."""

    def __init__(self, *, random: Random) -> None:
        self.random = random

    @classmethod
    def from_config(cls, *, random: Random) -> Self:
        """Build a policy that draws from a given generator."""
        return cls(random=random)


routing_policies: Registry[RoutingPolicy] = Registry("routing policy")
