"""Choose the endpoint that is expected to answer first at the least cost.

Called for each attempt of a request to a service that is no model engine. It decides
from work in flight and reported, failures, slowness beside others, and halls; suspects
are asked only when nobody else is left. Among equals chance decides.
"""

from collections.abc import Collection
from random import Random

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints._record import EndpointRecord

# Answers that an endpoint must have given before its slowness counts.
SLOWNESS_MIN_ANSWERS = 3


class ChoicePolicy(msgspec.Struct, frozen=True):
    """Weigh the costs of an endpoint.

    Units: one unit is one request that runs or waits there, per slot.
    """

    # An endpoint in another hall, and one that is still cold.
    other_hall_cost: float = 0.35
    # An endpoint whose recent requests all failed.
    failure_cost: float = 2.0
    # One that takes twice as long as the fastest, and the most times that count.
    slowness_cost: float = 0.3
    max_slowness: float = 3.0
    # The most that chance adds, so that entries do not all choose the same.
    max_jitter: float = 0.05


class EndpointChooser:
    """Score the usable endpoints of a service by load, failures and hall."""

    def __init__(
        self, *, hall: HallId, random: Random, policy: ChoicePolicy | None = None
    ) -> None:
        self.hall = hall
        self.random = random
        self.policy = policy or ChoicePolicy()

    def choose(
        self,
        records: Collection[EndpointRecord],
        *,
        excluded: Collection[EndpointId] = (),
        now: float,
    ) -> EndpointRecord | None:
        """Return the best endpoint; suspects only when nobody else is left."""
        candidates = [
            record for record in records if record.listed.endpoint_id not in excluded
        ]
        trusted = [record for record in candidates if not record.is_suspect(now)]
        best = None
        best_score = float("inf")
        fastest_ms = min(
            (r.latency_ms_.value_ for r in trusted if r.latency_ms_.count_ > 0),
            default=0.0,
        )
        for record in trusted or candidates:
            score = self.score(record, now=now)
            score += self._slowness_cost(record, fastest_ms)
            if score < best_score:
                best, best_score = record, score
        return best

    def _slowness_cost(self, record: EndpointRecord, fastest_ms: float) -> float:
        """Return the cost of an endpoint that answers slower than others."""
        if record.latency_ms_.count_ < SLOWNESS_MIN_ANSWERS or fastest_ms <= 0.0:
            return 0.0
        excess = record.latency_ms_.value_ / fastest_ms - 1.0
        return self.policy.slowness_cost * min(self.policy.max_slowness, excess)

    def score(self, record: EndpointRecord, *, now: float) -> float:
        """Return the cost of an endpoint, without its slowness."""
        policy = self.policy
        work = record.in_flight_ + record.waiting_elsewhere(now)
        score = work / max(1, record.listed.slots)
        score += policy.failure_cost * record.failure_rate_.value_
        if record.listed.hall != self.hall:
            score += policy.other_hall_cost
        if record.is_cold(now):
            score += policy.other_hall_cost
        return score + self.random.uniform(0.0, policy.max_jitter)
