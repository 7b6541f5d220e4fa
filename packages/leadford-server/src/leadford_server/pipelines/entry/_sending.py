"""Choose endpoints for the attempts of a request's stages, and send them.

Asks the routing policy of the pool; records the attempt where others may look for it
before it leaves.
"""

from leadford.pipelines.ejection import EndpointState
from leadford.pipelines.execution import Attempt, StageBudget
from leadford.pipelines.routing import EndpointView, RoutingRequest
from leadford.protocol import Note, Submit
from leadford.quarantine import choose_apart
from leadford_server.pipelines.entry._endpoint_links import EndpointLink
from leadford_server.pipelines.entry._live_attempts import LiveAttempts
from leadford_server.pipelines.entry._tokens import CREDIT_TOKENS, TokenStream

# Delay after which an attempt that probes an endpoint gets a hedge: the fraction of its
# expected time, and the minimum.
PROBE_HEDGE_FRACTION = 0.25
PROBE_HEDGE_MIN_MS = 20.0


class AttemptSender:
    """Send the attempts of one request."""

    def __init__(self, *, live: LiveAttempts, tokens: TokenStream) -> None:
        self.live = live
        self.tokens = tokens

    def candidates(self) -> list[EndpointView]:
        """Return the endpoints that were not tried yet for this stage."""
        stage = self.live.execution.stage
        return self.live.services.directory.candidates(
            stage.pool, self.live.execution.tried_endpoints_, stage.model
        )

    def choose(self) -> EndpointLink | None:
        """Return the endpoint that another attempt would go to."""
        stage = self.live.execution.stage
        services = self.live.services
        pool = services.directory.pool(stage.pool)
        candidates = self.candidates()
        if pool is None or not candidates:
            return None
        now = services.clock()
        request = RoutingRequest(
            stage=stage.name,
            priority=self.live.priority,
            expected_ms=stage.expected_ms,
            expected_tokens=stage.expected_tokens,
            remaining_ms=self.live.execution.budget(now).own_ms,
            prefix=self.live.body.prefix if stage.expected_tokens else "",
            prefill_tokens=self.live.body.prefill_tokens
            if stage.expected_tokens
            else 0,
            hall=services.hall,
            objective=services.config_.objective,
        )
        view = self._choose_apart(candidates)
        if view is None:
            view = pool.policy.choose(request, candidates, now)
        if view is None:
            return None
        wait_ms = view.wait_ms(self.live.priority, view.report_.service_ms, now)
        self.live.trail.add(
            now,
            f"{stage.name}: chose {view.endpoint_id} of {len(candidates)}, wait about "
            f"{wait_ms:.0f} ms, {view.report_.running} running",
        )
        return pool.links_by_id_[view.endpoint_id]

    def _choose_apart(self, candidates: list[EndpointView]) -> EndpointView | None:
        """Return a random endpoint for a suspect request, else None."""
        quarantine = self.live.services.quarantine_
        if not quarantine.is_suspect(self.live.content_digest):
            return None
        views_by_id = {view.endpoint_id: view for view in candidates}
        # The requests of other entries are unknown: a random choice separates them.
        found = choose_apart(dict.fromkeys(views_by_id, 0), self.live.services.random)
        return views_by_id.get(found)

    def hedge_delay_ms(self, link: EndpointLink) -> float | None:
        """Return the delay after which a hedge starts, or None."""
        stage = self.live.execution.stage
        if not stage.repeatable:
            return None
        ejector = self.live.services.directory.pool(stage.pool).ejector
        if ejector.state(link.view.endpoint_id) is EndpointState.PROBING:
            # A request that serves as a probe must not be late for it.
            return max(PROBE_HEDGE_MIN_MS, PROBE_HEDGE_FRACTION * stage.expected_ms)
        if stage.hedge:
            return self.live.services.hedge_policy(stage.name).delay_ms()
        return None

    def send(self, link: EndpointLink) -> bool:
        """Send an attempt; return whether it may have left."""
        execution = self.live.execution
        stage = execution.stage
        now = self.live.services.clock()
        endpoint_id = link.view.endpoint_id
        attempt = execution.begin(endpoint_id, now)
        peer = link.peer
        if peer is None:
            execution.end_attempt(attempt)
            return False
        self.live.links_by_number_[attempt.number] = link
        execution.record_possible_send(attempt)
        streams = bool(stage.expected_tokens) and execution.is_final_stage
        if execution.is_final_stage:
            self.tokens.answer_.locator_ = f"{endpoint_id}/{attempt.number}"
            self.live.services.entries.publish(self._note(attempt, streams))
        sent = peer.send(self._submission(attempt, streams, execution.budget(now)))
        if not sent:
            execution.record_not_started(attempt)
            return False
        link.view.record_sent(stage.expected_tokens)
        link.view.prefixes_.record_cached(self.live.body.prefix, now)
        self.live.services.directory.pool(stage.pool).ejector.record_sent(endpoint_id)
        return True

    def _submission(
        self, attempt: Attempt, streams: bool, budget: StageBudget
    ) -> Submit:
        """Return the message that asks an agent to run an attempt."""
        execution = self.live.execution
        stage = execution.stage
        return Submit(
            request_id=self.live.request_id,
            stage=stage.name,
            attempt=attempt.number,
            pipeline=execution.pipeline_id,
            workspace=execution.workspace,
            priority=self.live.priority,
            remaining_ms=budget.remaining_ms,
            repeatable=stage.repeatable,
            stream=streams,
            credit=CREDIT_TOKENS,
            body=self.live.body.data,
            previous=execution.previous_,
            expected_tokens=stage.expected_tokens,
            prefix=self.live.body.prefix if stage.expected_tokens else "",
            final=execution.is_final_stage,
            tail_ms=budget.tail_ms,
            model=stage.model,
        )

    def _note(self, attempt: Attempt, streams: bool) -> Note:
        execution = self.live.execution
        return Note(
            request_id=self.live.request_id,
            workspace=execution.workspace,
            pipeline=execution.pipeline_id,
            stage=attempt.stage,
            attempt=attempt.number,
            endpoint_id=attempt.endpoint_id,
            final=True,
            stream=streams,
            entry_id=self.live.services.entry_id,
            body_digest=self.live.body.digest,
        )
