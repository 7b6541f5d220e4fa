"""Define the input and the interface of a routing policy.

The directory of an entry keeps an `EndpointView` for each endpoint. It records there
the load reports of the endpoint's agent and the attempts that the entry sends. Policies
read the views and do not change them. Callers pass the current time in.
"""

from random import Random
from typing import Protocol, Self

import msgspec

from leadford.common import EndpointId, HallId, Objective, Registry
from leadford.pipelines.routing._prefixes import PrefixIndex

# Age at which a load report counts half.
REPORT_HALF_LIFE_S = 1.0
# The priority of a request is 0 (most urgent) to 9.
PRIORITY_COUNT = 10


class ClassWait(msgspec.Struct, frozen=True):
    """Hold the expected service time that waits in one priority class."""

    priority: int
    ahead_ms: float


class LoadReport(msgspec.Struct, frozen=True):
    """Hold the last load report of an agent on its endpoint.

    Units: service_ms per attempt, token_ms per generated token, at_s in seconds of the
    local clock.
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

    `reported_attempts_` counts the attempts in the last report, `unreported_` the
    attempts sent by this process since that report, and `outstanding_` all attempts of
    this process on the endpoint. `ahead_ms_by_priority_` is the expected service time
    that waits at a priority or at a more urgent one. `load_` is attempts per slot; the
    shortlist is sorted by it.

    Units: distance_ms is one way, joined_at_s uses the clock that is passed in.
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
        self.reported_attempts_ = 0
        self.load_ = 0.0
        self.ahead_ms_by_priority_ = [0.0] * PRIORITY_COUNT
        self.unreported_ = 0
        self.outstanding_ = 0
        self.outstanding_tokens_ = 0
        self.prefixes_ = PrefixIndex()
        self.held_models_: tuple[tuple[str, str], ...] = ()

    def serves(self, model: str) -> bool:
        """Return whether a model is served; an engine that names none serves all."""
        if self.held_models_:
            return any(name == model for name, _ in self.held_models_)
        return not self.models or model in self.models

    def report_weight(self, now: float) -> float:
        """Return the weight of the last report: 1 when new, 0.5 after 1 s."""
        age_s = now - self.report_.at_s
        return REPORT_HALF_LIFE_S / (REPORT_HALF_LIFE_S + max(0.0, age_s))

    def attempts_ahead(self, now: float) -> float:
        """Return the estimated number of attempts on the endpoint."""
        reported = self.reported_attempts_ * self.report_weight(now)
        return max(reported + self.unreported_, self.outstanding_)

    def wait_ms(self, priority: int, service_ms: float, now: float) -> float:
        """Return the expected wait of an attempt of a priority.

        Units: service_ms is the service time of one attempt on this endpoint.
        """
        concurrency = self.report_.concurrency
        attempts_ahead = self.attempts_ahead(now)
        if attempts_ahead < concurrency:
            return 0.0
        # A running attempt ends, on average, after half a service time.
        ahead_ms = service_ms / 2.0 + self.ahead_ms_by_priority_[
            priority
        ] * self.report_weight(now)
        excess_attempts = max(
            0.0, attempts_ahead - max(concurrency, self.reported_attempts_)
        )
        return (ahead_ms + excess_attempts * service_ms) / concurrency

    def record_sent(self, expected_tokens: int) -> None:
        """Count an attempt that was sent."""
        self.unreported_ += 1
        self.outstanding_ += 1
        self.outstanding_tokens_ += expected_tokens
        self._update_load()

    def record_ended(self, expected_tokens: int) -> None:
        """Count an attempt that ended."""
        self.unreported_ = max(0, self.unreported_ - 1)
        self.outstanding_ = max(0, self.outstanding_ - 1)
        remaining = self.outstanding_tokens_ - expected_tokens
        self.outstanding_tokens_ = max(0, remaining)
        self._update_load()

    def record_report(self, report: LoadReport) -> None:
        """Record a newer load report, and sum its waiting service by priority."""
        self.report_ = report
        self.reported_attempts_ = report.queued + report.running
        self.unreported_ = 0
        sums = [0.0] * PRIORITY_COUNT
        for waiting in report.classes:
            for priority in range(waiting.priority, PRIORITY_COUNT):
                sums[priority] += waiting.ahead_ms
        self.ahead_ms_by_priority_ = sums
        self._update_load()

    def _update_load(self) -> None:
        """Recompute the attempts per slot, by which the shortlist is sorted."""
        attempts_ahead = max(
            self.reported_attempts_ + self.unreported_, self.outstanding_
        )
        self.load_ = attempts_ahead / self.report_.concurrency


class RoutingRequest(msgspec.Struct, frozen=True):
    """Describe the attempt to be placed.

    Units: remaining_ms is the time left for this stage and the later ones.
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


class RandomizedPolicy:
    """Hold the random generator of a policy that draws candidates or breaks ties."""

    def __init__(self, *, random: Random) -> None:
        self.random = random

    @classmethod
    def from_config(cls, *, random: Random) -> Self:
        """Build a policy that draws from a given generator."""
        return cls(random=random)


routing_policies: Registry[RoutingPolicy] = Registry("routing policy")
