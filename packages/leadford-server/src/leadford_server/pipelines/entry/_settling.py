"""Settle the attempts of a request's stages by what agents and connections say.

Matches each delivery to a live attempt, records what it shows of the endpoint, and says
how the attempt ended. Whether another attempt follows is decided in
`leadford.pipelines.retries`.
"""

import msgspec

from leadford.common import RefusalReason
from leadford.pipelines.costs import StageCost
from leadford.pipelines.execution import Attempt
from leadford.pipelines.retries import AttemptFailure, FailureKind
from leadford.protocol import Done, DoneStatus, NotHeld, Refused
from leadford_server.pipelines.entry._deliveries import (
    AnswerDiverged,
    Delivery,
    PeerLost,
    Settled,
    make_failure,
    reason_of,
)
from leadford_server.pipelines.entry._endpoint_links import EndpointLink
from leadford_server.pipelines.entry._live_attempts import LiveAttempts
from leadford_server.pipelines.entry._tokens import TokenStream

# Maximum length of an endpoint's error that is kept with a failure.
ERROR_CHARS_MAX = 80


class AttemptSettler:
    """Settle the attempts of one request."""

    def __init__(self, *, live: LiveAttempts, tokens: TokenStream) -> None:
        self.live = live
        self.tokens = tokens

    def take(self, message: Delivery) -> Settled | None:
        """Return what a delivery means for its attempt; None where it ended none."""
        match message:
            case Done():
                return self._on_done(message)
            case Refused():
                return self._on_refused(message)
            case AnswerDiverged():
                return self._on_diverged(message)
            case PeerLost():
                return self._on_lost(message)
            case NotHeld():
                return self._on_not_held(message)
        return None

    def _on_diverged(self, diverged: AnswerDiverged) -> Settled | None:
        """Fail an attempt whose tokens differ from those already shown."""
        matched = self.live.execution.match(diverged.stage, diverged.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            return None
        self.live.cancel(attempt)
        failure = make_failure(
            FailureKind.FAILED,
            RefusalReason.ENDPOINT_LOST,
            attempt.endpoint_id,
            "another endpoint gave another text",
        )
        return Settled(failure)

    def _on_done(self, done: Done) -> Settled | None:
        accepted = self.live.execution.accept_done(done)
        attempt = accepted.value_or(None)
        if attempt is None:
            self.live.report_stray(accepted.failure(), done.stage, done.attempt)
            return None
        link = self.live.settle_link(attempt)
        if done.status is not DoneStatus.OK:
            return self._settle_error(done, attempt, link)
        self._record_times(done, attempt, link)
        self.live.account(done, StageCost.USEFUL)
        if not self.live.execution.is_final_stage and link.peer is not None:
            link.peer.send(self.live.ack(attempt))
        for slower in list(self.live.execution.live_by_number_.values()):
            self.live.lose_race(slower)
        if self.live.execution.is_final_stage:
            self.live.services.quarantine_.record_answered(self.live.content_digest)
        self.live.execution.advance(done.result)
        return Settled()

    def _settle_error(
        self, done: Done, attempt: Attempt, link: EndpointLink
    ) -> Settled:
        """Settle an attempt that the endpoint ended with an error."""
        directory = self.live.services.directory
        pool_id = self.live.execution.stage.pool
        pool = directory.pool(pool_id)
        if pool is not None:
            pool.ejector.record_failure(
                attempt.endpoint_id,
                done.error[:ERROR_CHARS_MAX],
                self.live.services.clock(),
            )
            directory.report_ejections(pool_id)
        if done.endpoint_ended:
            self.live.record_endpoint_ended(attempt, is_under_way=done.sequence > 0)
        self.live.account(done, StageCost.RETRIED)
        if link.peer is not None:
            link.peer.send(self.live.ack(attempt))
        failure = make_failure(
            FailureKind.FAILED,
            RefusalReason.ENDPOINT_ERROR,
            attempt.endpoint_id,
            done.error,
        )
        return Settled(failure)

    def _record_times(self, done: Done, attempt: Attempt, link: EndpointLink) -> None:
        """Record what a successful attempt shows: slowness, cached prefix, latency."""
        now = self.live.services.clock()
        stage = self.live.execution.stage
        directory = self.live.services.directory
        pool = directory.pool(stage.pool)
        if pool is not None:
            # The service time that an endpoint reports shrinks with its batch, the
            # elapsed time does not. The ratio makes stages of all lengths comparable.
            elapsed_ms = (now - attempt.sent_at) * 1000.0 - done.queue_ms
            slowness = elapsed_ms / stage.expected_ms
            pool.ejector.record_success(attempt.endpoint_id, slowness, now)
            directory.report_ejections(stage.pool)
        if self.live.body.prefix and done.prefill_tokens and not done.cached_tokens:
            link.view.prefixes_.record_cached(self.live.body.prefix, now)
        if stage.hedge:
            begun_at = self.tokens.first_token_at_ or now
            elapsed_ms = (begun_at - attempt.sent_at) * 1000.0
            self.live.services.hedge_policy(done.stage).record(elapsed_ms)

    def _on_refused(self, refused: Refused) -> Settled | None:
        matched = self.live.execution.match(refused.stage, refused.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            self.live.report_stray(matched.failure(), refused.stage, refused.attempt)
            return None
        self.live.settle_link(attempt)
        self.live.record_abandoned(attempt)
        if refused.begun:
            self.live.execution.end_attempt(attempt)
            kind = FailureKind.LOST
        else:
            self.live.execution.record_not_started(attempt)
            kind = FailureKind.REFUSED
        reason = reason_of(refused.reason)
        self.live.trail.add(
            self.live.services.clock(),
            f"{refused.stage}: {attempt.endpoint_id} refused, {reason.value}",
        )
        failure = make_failure(kind, reason, attempt.endpoint_id)
        failure = msgspec.structs.replace(
            failure, retry_after_ms=refused.retry_after_ms
        )
        return Settled(failure)

    def _on_lost(self, lost: PeerLost) -> Settled | None:
        failure: AttemptFailure | None = None
        for attempt in list(self.live.execution.live_by_number_.values()):
            if attempt.endpoint_id != lost.endpoint_id:
                continue
            self.live.settle_link(attempt)
            self.live.execution.end_attempt(attempt)
            self.live.record_abandoned(attempt)
            failure = make_failure(
                FailureKind.LOST, RefusalReason.ENDPOINT_LOST, attempt.endpoint_id
            )
        return Settled(failure) if failure is not None else None

    def _on_not_held(self, message: NotHeld) -> Settled | None:
        matched = self.live.execution.match(message.stage, message.attempt)
        attempt = matched.value_or(None)
        if attempt is None:
            return None
        self.live.execution.end_attempt(attempt)
        failure = make_failure(
            FailureKind.NOT_HELD,
            RefusalReason.ENDPOINT_LOST,
            attempt.endpoint_id,
            "the endpoint does not hold the attempt",
        )
        return Settled(failure)
