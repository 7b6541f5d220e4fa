"""Start the attempts that wait at an endpoint, and end them.

`AgentService` calls the runner when an attempt was queued or a limit changed. The
runner also dispatches when an attempt ends or a reserved slot may be free again.
`leadford.pipelines` decides what may start (queue, admission, headroom). Tokens and
ends are sent to the entries by the `TokenFeeder`.
"""

import asyncio
from collections.abc import Callable

import msgspec

from leadford.common import RefusalReason
from leadford.events import Event
from leadford.protocol import Done, DoneStatus
from leadford_server.logs import EventLog, error_text
from leadford_server.metrics import (
    ATTEMPTS_TOTAL,
    QUEUED_ATTEMPTS,
    RUNNING_ATTEMPTS,
)
from leadford_server.pipelines.agent._feeder import TokenFeeder
from leadford_server.pipelines.agent._reports import EndpointReports
from leadford_server.pipelines.agent._state import AcceptedAttempt, EndpointState
from leadford_server.pipelines.agent.adapters import (
    AdapterOutcome,
    EndpointAdapter,
    TokenSink,
)

# Time that a call may take beyond the deadline of its attempt, so that an answer that
# is only slightly late still arrives.
TIMEOUT_GRACE_S = 0.25
# Minimum timeout of a stage with a side effect.
MIN_EFFECT_TIMEOUT_S = 30.0
# Interval between checks whether a slot is still reserved for more urgent attempts.
HEADROOM_POLL_INTERVAL_S = 0.03


class AttemptRunner:
    """Run the attempts of one endpoint, at most one for each slot at a time."""

    def __init__(
        self,
        *,
        adapter: EndpointAdapter,
        state: EndpointState,
        reports: EndpointReports,
        feeder: TokenFeeder,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self.adapter = adapter
        self.state = state
        self.reports = reports
        self.feeder = feeder
        self.log = log
        self.clock = clock
        self.dispatch_timer_: asyncio.TimerHandle | None = None
        self.is_stopped_ = False

    def dispatch(self) -> None:
        """Start attempts while slots allow it; refuse those that waited too long."""
        while self._may_start():
            now = self.clock()
            item = self.state.queue_.pop(now)
            if item is None:
                break
            attempt = self.state.attempts_by_key_[item.key]
            reason = self.state.admission_.check_start(
                item,
                tail_ms=attempt.submit.tail_ms,
                running=self.state.running_,
                now=now,
            )
            if reason is not None:
                self._drop_queued(attempt, reason)
                continue
            self.state.headroom_.record_started(item.priority)
            self.state.running_ += 1
            self.state.tokens_in_flight_ += attempt.submit.expected_tokens
            if not attempt.submit.repeatable:
                self.state.record_effect(attempt.submit)
            self._start(attempt)
        QUEUED_ATTEMPTS.set(len(self.state.queue_))
        RUNNING_ATTEMPTS.set(self.state.running_)
        self.reports.send_load()

    def stop(self) -> None:
        """Start no further attempts."""
        self.is_stopped_ = True

    def _may_start(self) -> bool:
        """Return whether the next attempt may start; check again soon if it may not.

        Only a slot that is reserved for more urgent attempts is checked again.
        """
        if self.is_stopped_ or len(self.state.queue_) == 0:
            return False
        if self.state.running_ >= self.state.pool_.concurrency:
            return False
        if not self.state.config_.tuning.admission:
            return True
        admitted = self.state.headroom_.admits(
            min(self.state.queue_.count_by_priority_),
            running=self.state.running_,
            concurrency=self.state.pool_.concurrency,
            now=self.clock(),
        )
        if not admitted and self.dispatch_timer_ is None:
            loop = asyncio.get_running_loop()
            self.dispatch_timer_ = loop.call_later(
                HEADROOM_POLL_INTERVAL_S, self._dispatch_again
            )
        return admitted

    def _dispatch_again(self) -> None:
        self.dispatch_timer_ = None
        self.dispatch()

    def _drop_queued(self, attempt: AcceptedAttempt, reason: RefusalReason) -> None:
        key = attempt.item.key
        del self.state.attempts_by_key_[key]
        self.state.headroom_.record_left(attempt.item.priority, self.clock(), ran=False)
        for peer_id in list(attempt.kept.cursors_by_peer_):
            peer = self.state.peers_by_id_.get(peer_id)
            self.reports.refuse(peer, attempt.submit, reason)
        self.state.results_.discard(key)

    def _start(self, attempt: AcceptedAttempt) -> None:
        attempt.started_at_ = self.clock()
        attempt.task_ = asyncio.create_task(self._call(attempt))
        # A task that is cancelled before its first step ends here only.
        attempt.task_.add_done_callback(lambda task: self._end(attempt, task))

    async def _call(self, attempt: AcceptedAttempt) -> AdapterOutcome:
        submit = attempt.submit
        timeout_s = attempt.item.deadline_at - self.clock() + TIMEOUT_GRACE_S
        if not submit.repeatable:
            # The side effect may happen after the deadline; its result is still needed.
            timeout_s = max(timeout_s, MIN_EFFECT_TIMEOUT_S)
        return await self.adapter.run(submit, timeout_s, self._make_sink(attempt))

    def _end(
        self, attempt: AcceptedAttempt, task: asyncio.Task[AdapterOutcome]
    ) -> None:
        """End an attempt, whatever ended its task."""
        submit = attempt.submit
        outcome = self._outcome_of(attempt, task)
        service_ms = (self.clock() - attempt.started_at_) * 1000.0
        queue_ms = (attempt.started_at_ - attempt.item.enqueued_at) * 1000.0
        if outcome.crossed:
            self.log.report(
                Event.ENDPOINT_ANSWER_CROSSED,
                request=submit.request_id,
                error=outcome.error,
            )
        tokens = len(attempt.generated_texts_)
        if outcome.status is DoneStatus.OK:
            self.state.admission_.estimate_.record(submit.stage, service_ms, tokens)
        elif submit.expected_tokens:
            self.state.admission_.estimate_.record_partial(service_ms, tokens)
        self._finish(attempt, outcome, service_ms, queue_ms)

    def _outcome_of(
        self, attempt: AcceptedAttempt, task: asyncio.Task[AdapterOutcome]
    ) -> AdapterOutcome:
        """Return how a call ended; one that broke off has failed, and is logged."""
        if task.cancelled():
            text = "the call was cancelled"
        elif (error := task.exception()) is not None:
            text = error_text(error)
        else:
            return task.result()
        self.log.report(
            Event.REQUEST_UNKNOWN, request=attempt.submit.request_id, error=text
        )
        return AdapterOutcome(DoneStatus.FAILED, error=text)

    def _make_sink(self, attempt: AcceptedAttempt) -> TokenSink:
        def record_tokens(texts: list[str], model_version: str) -> None:
            attempt.generated_texts_.extend(texts)
            if not attempt.submit.stream:
                return
            first = not attempt.kept.texts_
            attempt.kept.append(texts, model_version)
            self.feeder.on_tokens(attempt.kept, first=first)
            self.reports.send_load()

        return record_tokens

    def _finish(
        self,
        attempt: AcceptedAttempt,
        outcome: AdapterOutcome,
        service_ms: float,
        queue_ms: float,
    ) -> None:
        submit = attempt.submit
        kept = attempt.kept
        key = attempt.item.key
        self.state.headroom_.record_left(attempt.item.priority, self.clock(), ran=True)
        self.state.running_ -= 1
        self.state.tokens_in_flight_ -= submit.expected_tokens
        del self.state.attempts_by_key_[key]
        result = outcome.result
        if attempt.generated_texts_ and not submit.stream:
            text = "".join(attempt.generated_texts_)
            result = msgspec.json.encode({"text": text})
        ATTEMPTS_TOTAL.labels(stage=submit.stage, end=outcome.status.name.lower()).inc()
        done = Done(
            request_id=submit.request_id,
            stage=submit.stage,
            attempt=submit.attempt,
            status=outcome.status,
            sequence=len(kept.texts_),
            result=result,
            service_ms=outcome.accelerator_ms or service_ms,
            queue_ms=queue_ms,
            prefill_tokens=outcome.prefill_tokens,
            cached_tokens=outcome.cached_tokens,
            error=outcome.error,
            load=self.reports.load(),
            model_version=outcome.model_version,
            endpoint_ended=outcome.endpoint_ended,
        )
        self.state.results_.end(kept, done, self.clock())
        self.feeder.on_end(kept)
        self.dispatch()

    def cancel(self, key: str) -> None:
        """Cancel an attempt that waits or runs; release one that ended."""
        attempt = self.state.attempts_by_key_.get(key)
        if attempt is None:
            self.state.results_.release(key)
            return
        if self.state.queue_.remove(key) is not None:
            self._drop_queued(attempt, RefusalReason.CANCELLED)
            return
        # A non-repeatable attempt runs to its end, so that its result is known.
        if attempt.cancelled_ or not attempt.submit.repeatable:
            return
        attempt.cancelled_ = True
        asyncio.get_running_loop().create_task(self.adapter.cancel(attempt.submit))
