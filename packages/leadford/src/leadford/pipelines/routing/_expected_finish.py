"""Choose the endpoint of an attempt by when the attempt would probably finish there.

The routing policy of leadford's own interface; the deployed program chooses in
`leadford.forwarding.endpoints`. An entry asks for every attempt, with the views of the
endpoints that may take it (`_base.EndpointView`). The score adds, in this order:

1. the way there and back, and a draw that breaks near ties;
2. the wait in the queue, if more attempts are there than may run at once;
3. the attempt itself: for a generation, its tokens in the batch that is there, and its
   prompt, less what the endpoint probably holds of it;
4. a penalty for an endpoint that joined a moment ago.

Where the deployment optimises cost, a generation goes to the fullest engine that is
still in time. Which endpoints may be asked at all (ejected, draining, without the
model) is decided before.
"""

from heapq import nlargest, nsmallest
from operator import attrgetter

from leadford.common import Objective
from leadford.pipelines.routing._base import (
    REPORT_HALF_LIFE_S,
    DrawingPolicy,
    EndpointView,
    RoutingRequest,
    routing_policies,
)

# Seconds in which an endpoint that joined is brought to its full share, and the part of
# the share with which it begins.
SLOW_START_S = 5.0
SLOW_START_FLOOR = 0.2
# Milliseconds that a token of the prompt takes, and the part of them that a held prefix
# saves. What the choice by prefix gains is in docs/measurements/prefixes.md.
PREFILL_MS_PER_TOKEN = 0.25
PREFIX_HIT_FRACTION = 0.9
# Milliseconds within which scores count as equal and a draw decides.
TIE_MS = 1.0
# With cost: the part of an engine's slots up to which it is filled, and how many times
# the score must fit into what is left. The cost of a weighted request was 0.826, and
# 1.199 with the objective of attainment (a trace on six engines, one run each).
COST_FILL_MAX = 0.85
COST_SLACK = 1.5
# Milliseconds by which a full engine goes before an empty one: more than any score.
COST_RANK_MS = 1e6
# Part by which each other stream slows a stream.
BATCH_SLOPE = 0.05
# Endpoints that are scored, and as many fullest and holders of the prefix. A choice
# among 40 takes 39 us, 119 us when all are scored (one run each, on a busy machine).
SHORTLIST = 8

_LOAD = attrgetter("load_")


@routing_policies.register("expected_finish")
class ExpectedFinish(DrawingPolicy):
    """Score each candidate by when the attempt would probably finish there.

    Units: a score is milliseconds from now.
    """

    def choose(
        self, request: RoutingRequest, candidates: list[EndpointView], now: float
    ) -> EndpointView | None:
        """Return the candidate with the earliest expected finish."""
        best: EndpointView | None = None
        best_score = float("inf")
        draw = self.random.random
        priority = request.priority
        packs = request.objective is Objective.COST and request.expected_tokens > 0
        # One plain loop over a shortlist: this runs for every attempt.
        for view in self._shortlist(request, candidates):
            report = view.report_
            age_s = now - report.at_s
            trust = REPORT_HALF_LIFE_S / (REPORT_HALF_LIFE_S + age_s)
            if age_s <= 0.0:
                trust = 1.0
            ahead = view.reported_ * trust + view.unreported_
            if ahead < view.outstanding_:
                ahead = view.outstanding_
            concurrency = report.concurrency
            service_ms = report.service_ms or request.expected_ms
            score = draw() * TIE_MS + view.distance_ms * 2.0
            if ahead >= concurrency:
                score += view.wait_ms(priority, service_ms, now)
            if request.expected_tokens:
                service_ms = _generation_ms(request, view, ahead, service_ms, now)
            score += service_ms
            warm_s = now - view.joined_at_s
            if warm_s < SLOW_START_S:
                score /= max(SLOW_START_FLOOR, warm_s / SLOW_START_S)
            fill = (ahead + 1.0) / concurrency
            in_time = score * COST_SLACK < request.remaining_ms
            if packs and fill <= COST_FILL_MAX and in_time:
                # A step of a fuller batch costs little more, shared by more streams:
                # the fullest engine that is still in time goes first.
                score -= COST_RANK_MS * fill
            if score < best_score:
                best_score = score
                best = view
        return best

    def _shortlist(
        self, request: RoutingRequest, candidates: list[EndpointView]
    ) -> list[EndpointView]:
        """Return the least loaded candidates and those that may hold the prefix."""
        if len(candidates) <= SHORTLIST:
            return candidates
        # A random start spreads ties, as sorting keeps their order.
        start = int(self.random.random() * len(candidates))
        rotated = candidates[start:] + candidates[:start]
        chosen = nsmallest(SHORTLIST, rotated, key=_LOAD)
        if request.objective is Objective.COST:
            fitting = [view for view in rotated if view.load_ < COST_FILL_MAX]
            chosen += nlargest(SHORTLIST, fitting, key=_LOAD)
        if request.prefix:
            holders = [
                view
                for view in rotated
                if request.prefix in view.prefixes_.seen_at_by_prefix_
            ]
            chosen += [view for view in holders[:SHORTLIST] if view not in chosen]
        return chosen


def _generation_ms(
    request: RoutingRequest,
    view: EndpointView,
    ahead: float,
    service_ms: float,
    now: float,
) -> float:
    """Return how long a generation would take in the batch that is there."""
    token_ms = view.report_.token_ms
    if token_ms > 0.0:
        service_ms = token_ms * request.expected_tokens
    prefill_ms = request.prefill_tokens * PREFILL_MS_PER_TOKEN
    if request.prefix and view.prefixes_.holds(request.prefix, now):
        prefill_ms *= 1.0 - PREFIX_HIT_FRACTION
    # Each stream in the batch slows the others a little, also below the limit.
    return service_ms * (1.0 + BATCH_SLOPE * ahead) + prefill_ms
