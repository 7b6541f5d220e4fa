"""Choose the endpoint of an attempt by when the attempt would probably finish there.

This is the routing policy of leadford's own interface; the deployed program chooses in
`leadford.forwarding.endpoints`. An entry calls it for every attempt, with the views of
the endpoints that may run it (`_base.EndpointView`). The score is built in this order:

1. the round trip to the endpoint, and a random term that breaks near ties;
2. the wait in the queue, if all slots of the endpoint are in use;
3. the service time: for a generation, its tokens in the present batch, and its prompt
   without the part that the endpoint has probably cached;
4. a penalty for an endpoint that joined recently.

Where the deployment optimises cost, a generation goes to the fullest engine that is
still in time. Endpoints that may not run the attempt (ejected, draining, without the
model) are excluded earlier.
"""

from heapq import nlargest, nsmallest
from operator import attrgetter

from leadford.common import Objective
from leadford.pipelines.routing._base import (
    EndpointView,
    RandomizedPolicy,
    RoutingRequest,
    routing_policies,
)

# Time in which an endpoint that joined reaches its full share, and the fraction of the
# share with which it starts.
SLOW_START_S = 5.0
SLOW_START_MIN_FRACTION = 0.2
# Prefill time of a prompt token, and the fraction of it that a cached prefix saves.
PREFILL_MS_PER_TOKEN = 0.25
PREFIX_HIT_FRACTION = 0.9
# Range of the random term that decides between nearly equal scores.
TIE_MS = 1.0
# With the cost objective: the fraction of its slots up to which an engine is filled,
# and how many times the score must fit into the remaining time.
MAX_COST_FILL_FRACTION = 0.85
COST_SLACK_FACTOR = 1.5
# Bonus of a full engine over an empty one; larger than any score.
COST_RANK_MS = 1e6
# Fraction by which each other stream of the batch slows a stream.
SLOWDOWN_FRACTION_PER_STREAM = 0.05
# Number of least loaded endpoints that are scored, and the maximum number of fullest
# ones and of holders of the prefix that are added. To score all of a large pool would
# take too long for every attempt.
SHORTLIST_SIZE = 8

_LOAD = attrgetter("load_")


@routing_policies.register("expected_finish")
class ExpectedFinish(RandomizedPolicy):
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
        fills_batches = (
            request.objective is Objective.COST and request.expected_tokens > 0
        )
        # A shortlist bounds the time, as this runs for every attempt.
        for view in self._shortlist(request, candidates):
            report = view.report_
            attempts_ahead = view.attempts_ahead(now)
            concurrency = report.concurrency
            service_ms = report.service_ms or request.expected_ms
            score = draw() * TIE_MS + view.distance_ms * 2.0
            if attempts_ahead >= concurrency:
                score += view.wait_ms(priority, service_ms, now)
            if request.expected_tokens:
                service_ms = _generation_ms(
                    request, view, attempts_ahead, service_ms, now
                )
            score += service_ms
            since_joined_s = now - view.joined_at_s
            if since_joined_s < SLOW_START_S:
                score /= max(SLOW_START_MIN_FRACTION, since_joined_s / SLOW_START_S)
            fill = (attempts_ahead + 1.0) / concurrency
            in_time = score * COST_SLACK_FACTOR < request.remaining_ms
            if fills_batches and fill <= MAX_COST_FILL_FRACTION and in_time:
                # A step of a fuller batch costs little more and serves more streams,
                # so the fullest engine that is still in time is preferred.
                score -= COST_RANK_MS * fill
            if score < best_score:
                best_score = score
                best = view
        return best

    def _shortlist(
        self, request: RoutingRequest, candidates: list[EndpointView]
    ) -> list[EndpointView]:
        """Return the least loaded candidates and those that may hold the prefix."""
        if len(candidates) <= SHORTLIST_SIZE:
            return candidates
        # The sort is stable, so a random start spreads ties over all endpoints.
        start = int(self.random.random() * len(candidates))
        rotated = candidates[start:] + candidates[:start]
        chosen = nsmallest(SHORTLIST_SIZE, rotated, key=_LOAD)
        if request.objective is Objective.COST:
            fitting = [view for view in rotated if view.load_ < MAX_COST_FILL_FRACTION]
            chosen += nlargest(SHORTLIST_SIZE, fitting, key=_LOAD)
        if request.prefix:
            holders = [
                view
                for view in rotated
                if request.prefix in view.prefixes_.seen_at_by_prefix_
            ]
            chosen += [view for view in holders[:SHORTLIST_SIZE] if view not in chosen]
        return chosen


def _generation_ms(
    request: RoutingRequest,
    view: EndpointView,
    attempts_ahead: float,
    service_ms: float,
    now: float,
) -> float:
    """Return the service time of a generation in the present batch."""
    token_ms = view.report_.token_ms
    if token_ms > 0.0:
        service_ms = token_ms * request.expected_tokens
    prefill_ms = request.prefill_tokens * PREFILL_MS_PER_TOKEN
    if request.prefix and view.prefixes_.holds(request.prefix, now):
        prefill_ms *= 1.0 - PREFIX_HIT_FRACTION
    # Each stream slows the others a little, even while slots are free.
    return (
        service_ms * (1.0 + SLOWDOWN_FRACTION_PER_STREAM * attempts_ahead) + prefill_ms
    )
