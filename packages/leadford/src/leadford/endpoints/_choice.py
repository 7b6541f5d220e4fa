"""Choose the endpoint that is expected to answer first at the least cost."""

from collections.abc import Collection
from random import Random

import msgspec

from leadford.common import EndpointId, HallId
from leadford.endpoints._record import EndpointRecord


class ChoicePolicy(msgspec.Struct, frozen=True):
    """Weigh what speaks against an endpoint.

    Units: one unit is one request that runs or waits there, per slot.
    """

    other_hall: float = 0.35
    failure: float = 2.0
    jitter: float = 0.05


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
        preferred_hall: HallId | None = None,
        extra_by_id: dict[EndpointId, float] | None = None,
        now: float,
    ) -> EndpointRecord | None:
        """Return the best endpoint; suspects only when nobody else is left."""
        candidates = [
            record for record in records if record.listed.endpoint_id not in excluded
        ]
        trusted = [record for record in candidates if not record.is_suspect(now)]
        hall = preferred_hall or self.hall
        best = None
        best_score = float("inf")
        for record in trusted or candidates:
            score = self.score(record, hall=hall, now=now)
            if extra_by_id:
                score += extra_by_id.get(record.listed.endpoint_id, 0.0)
            if score < best_score:
                best, best_score = record, score
        return best

    def score(self, record: EndpointRecord, *, hall: HallId, now: float) -> float:
        """Return what speaks against an endpoint."""
        policy = self.policy
        work = record.in_flight_ + record.waiting_elsewhere(now)
        score = work / max(1, record.listed.slots)
        score += policy.failure * record.failure_rate_.value_
        if record.listed.hall != hall:
            score += policy.other_hall
        if record.listed.cold_ms > 0.0:
            score += policy.other_hall
        return score + self.random.uniform(0.0, policy.jitter)
