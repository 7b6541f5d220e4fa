"""Choose the endpoint with the lowest expected cost for a request.

Called for each attempt of a request to a service that is not a model engine. The cost
depends on work in flight and reported load, the failure rate, latency relative to the
fastest endpoint, and the hall. Where endpoints report a pace, work is weighted by the
pace instead of latency. Suspect endpoints are used only when no other candidate
is left. A small random cost decides among equal candidates.
"""

from collections.abc import Collection, Mapping, Sequence
from random import Random

import msgspec

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints._paces import estimate_paces, without_busy_untried
from leadford.forwarding.endpoints._record import EndpointRecord

# Successful answers that an endpoint needs before its slowness counts.
SLOWNESS_MIN_ANSWERS = 3
# Entries that are assumed to have seen the same report of an endpoint. More hardly ever
# send to one endpoint within the age of a report.
MAX_ASSUMED_SENDERS = 4


class ChoicePolicy(msgspec.Struct, frozen=True):
    """Hold the weights of the cost of an endpoint.

    Units: one unit is the cost of one running or waiting request per slot.
    """

    # Added for an endpoint in another hall, and again for one that is still cold.
    other_hall_cost: float = 0.35
    # Added at a failure rate of 1.
    failure_cost: float = 2.0
    # Added for each multiple of the fastest latency beyond the first, and the maximum
    # number of multiples that count.
    slowness_cost: float = 0.3
    max_slowness: float = 3.0
    # Upper bound of a random addition, so that entries do not all choose the same
    # endpoint.
    max_jitter: float = 0.05


class EndpointChooser:
    """Choose among the usable endpoints of a service by load, failures and hall."""

    def __init__(
        self, *, hall: HallId, random: Random, policy: ChoicePolicy | None = None
    ) -> None:
        self.hall = hall
        self.random = random
        self.policy = policy or ChoicePolicy()
        self.entry_count_ = 1

    def choose(
        self,
        records: Collection[EndpointRecord],
        *,
        excluded: Collection[EndpointId] = (),
        now: float,
    ) -> EndpointRecord | None:
        """Return the endpoint with the lowest cost.

        Suspect endpoints are considered only when no other candidate is left.
        """
        candidates = [
            record for record in records if record.listed.endpoint_id not in excluded
        ]
        trusted = [record for record in candidates if not record.is_suspect(now)]
        paces = estimate_paces(trusted or candidates, now)
        if paces is not None:
            return self._choose_by_pace(trusted or candidates, paces, now)
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

    def _choose_by_pace(
        self,
        candidates: Sequence[EndpointRecord],
        paces: Mapping[EndpointId, float],
        now: float,
    ) -> EndpointRecord:
        """Return the endpoint with the lowest cost where endpoints report a pace."""
        candidates = without_busy_untried(candidates, lambda r: r.in_flight_ > 0, now)
        senders = min(self.entry_count_, MAX_ASSUMED_SENDERS)

        def cost(record: EndpointRecord) -> float:
            # With the request itself, so that an idle slow endpoint costs more.
            work = 1 + record.assumed_work(now, senders)
            work_cost = work * paces[record.listed.endpoint_id]
            return self._cost(record, work_cost, now)

        return min(candidates, key=cost)

    def _slowness_cost(self, record: EndpointRecord, fastest_ms: float) -> float:
        """Return the cost of an endpoint for being slower than the fastest."""
        if record.latency_ms_.count_ < SLOWNESS_MIN_ANSWERS or fastest_ms <= 0.0:
            return 0.0
        excess = record.latency_ms_.value_ / fastest_ms - 1.0
        return self.policy.slowness_cost * min(self.policy.max_slowness, excess)

    def score(self, record: EndpointRecord, *, now: float) -> float:
        """Return the cost of an endpoint, without the cost of its slowness."""
        return self._cost(record, record.in_flight_ + record.other_load(now), now)

    def _cost(self, record: EndpointRecord, work: float, now: float) -> float:
        """Return the cost of an amount of work at an endpoint, and of its state."""
        policy = self.policy
        score = work / max(1, record.listed.slots)
        score += policy.failure_cost * record.failure_rate(now)
        if record.listed.hall != self.hall:
            score += policy.other_hall_cost
        if record.is_cold(now):
            score += policy.other_hall_cost
        return score + self.random.uniform(0.0, policy.max_jitter)
