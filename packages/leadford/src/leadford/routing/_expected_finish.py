"""Choose by expected finish: queue, batch, prefix, distance and age of the report."""

from random import Random

from leadford.common import Objective
from leadford.routing._base import EndpointView, RoutingRequest, routing_policies

SLOW_START_S = 5.0
SLOW_START_FLOOR = 0.2
PREFILL_MS_PER_TOKEN = 0.25
PREFIX_HIT_FRACTION = 0.9
TIE_MS = 1.0
COST_BATCH_CREDIT = 0.3


@routing_policies.register("expected_finish")
class ExpectedFinish:
    """Score each candidate by when the attempt would probably finish there.

    Units: a score is milliseconds from now.
    """

    def __init__(self, *, random: Random) -> None:
        self.random = random

    @classmethod
    def from_config(cls, *, random: Random) -> "ExpectedFinish":
        """Build a policy that breaks near ties by a given generator."""
        return cls(random=random)

    def choose(
        self, request: RoutingRequest, candidates: list[EndpointView], now: float
    ) -> EndpointView | None:
        """Return the candidate with the earliest expected finish."""
        best: EndpointView | None = None
        best_score = float("inf")
        jitter = self.random.random
        for view in candidates:
            score = self.score(request, view, now) + jitter() * TIE_MS
            if score < best_score:
                best_score = score
                best = view
        return best

    def score(self, request: RoutingRequest, view: EndpointView, now: float) -> float:
        """Return the expected finish of an attempt at a candidate."""
        report = view.report_
        ahead = view.ahead(now)
        service_ms = report.service_ms or request.expected_ms
        wait_ms = view.wait_ms(request.priority, service_ms, now)
        if request.expected_tokens:
            service_ms = self._generation_ms(request, view, ahead, service_ms, now)
        concurrency = report.concurrency
        finish_ms = view.distance_ms * 2.0 + wait_ms + service_ms
        warm_s = now - view.joined_at_s
        if warm_s < SLOW_START_S:
            finish_ms /= max(SLOW_START_FLOOR, warm_s / SLOW_START_S)
        if request.objective is Objective.COST and ahead < concurrency:
            # A fuller batch costs less per request while it still fits.
            finish_ms -= COST_BATCH_CREDIT * service_ms * ahead / concurrency
        return finish_ms

    def _generation_ms(
        self,
        request: RoutingRequest,
        view: EndpointView,
        ahead: float,
        service_ms: float,
        now: float,
    ) -> float:
        token_ms = view.report_.token_ms
        if token_ms > 0:
            service_ms = token_ms * request.expected_tokens
        prefill_ms = request.prefill_tokens * PREFILL_MS_PER_TOKEN
        if request.prefix and view.prefixes_.holds(request.prefix, now):
            prefill_ms *= 1.0 - PREFIX_HIT_FRACTION
        # Each stream in the batch slows the others a little, also below the limit.
        batch = 1.0 + 0.05 * ahead
        return service_ms * batch + prefill_ms
