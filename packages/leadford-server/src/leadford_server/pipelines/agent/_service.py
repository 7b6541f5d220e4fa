"""Serve entries: queue, run, feed and keep attempts."""

import asyncio
import time
from collections.abc import Callable

import msgspec

from leadford.common import RefusalReason, WorkspaceId
from leadford.events import Event
from leadford.pipelines.admission import EndpointAdmission, Headroom
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.pipelines.queues import (
    QueuedAttempt,
    WorkspaceTerms,
    queue_policies,
)
from leadford.pipelines.results import KeptResult, ResultStore
from leadford.protocol import (
    Ack,
    Attach,
    Cancel,
    ClassLoad,
    Credit,
    Done,
    DoneStatus,
    Draining,
    Load,
    Message,
    Query,
    QueryAnswer,
    Refused,
    Submit,
)
from leadford_server.logs import EventLog
from leadford_server.metrics import (
    ATTEMPTS_TOTAL,
    QUEUED_ATTEMPTS,
    RUNNING_ATTEMPTS,
)
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent._adapters import (
    AdapterOutcome,
    EndpointAdapter,
    TokenSink,
    attempt_key,
)
from leadford_server.pipelines.agent._feeder import TokenFeeder
from leadford_server.pipelines.agent._models import ModelKeeper

TIMEOUT_GRACE_S = 0.25
EFFECT_TIMEOUT_S = 30.0
REPORT_S = 0.2
REPORTS_PER_S_MAX = 15.0
HEADROOM_POLL_S = 0.03
STAGES_BEGUN_KEPT = 20_000


class RunningAttempt:
    """Hold an attempt that waits or runs."""

    def __init__(
        self, *, submit: Submit, item: QueuedAttempt, kept: KeptResult
    ) -> None:
        self.submit = submit
        self.item = item
        self.kept = kept
        self.task_: asyncio.Task[None] | None = None
        self.started_at_: float | None = None
        self.cancelled_ = False
        self.generated_texts_: list[str] = []


class AgentService:
    """Hold the queue, the running attempts and the kept results of one endpoint."""

    def __init__(
        self,
        *,
        endpoint_id: str,
        adapter: EndpointAdapter,
        pool: PoolConfig,
        config: FleetConfig,
        log: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.endpoint_id = endpoint_id
        self.adapter = adapter
        self.log = log
        self.clock = clock
        self.config_ = config
        self.pool_ = pool
        self.queue_ = queue_policies.get(config.tuning.queue).from_config(
            terms=self._terms
        )
        self.admission_ = EndpointAdmission(
            queue=self.queue_,
            concurrency=pool.concurrency,
            queue_limit=pool.queue_limit,
            by_deadline=config.tuning.admission,
        )
        self.headroom_ = Headroom()
        self.results_ = ResultStore(retention_s=config.tuning.result_retention_s)
        self.attempts_by_key_: dict[str, RunningAttempt] = {}
        self.running_ = 0
        self.tokens_in_flight_ = 0
        self.draining_ = False
        self.keeper_: ModelKeeper | None = None
        self.peers_by_id_: dict[str, PeerConnection] = {}
        self.feeder_ = TokenFeeder(results=self.results_, peers_by_id=self.peers_by_id_)
        self.pump_timer_: asyncio.TimerHandle | None = None
        self.effects_begun_: dict[str, None] = {}
        self.reported_at_ = 0.0
        self.reported_load_ = 0
        self.reported_token_ms_ = 0.0

    def apply_config(self, config: FleetConfig, pool: PoolConfig) -> None:
        """Apply a newer configuration; what is queued stays queued."""
        self.config_ = config
        self.pool_ = pool
        self.admission_.concurrency = pool.concurrency
        self.admission_.queue_limit = pool.queue_limit
        self.admission_.by_deadline = config.tuning.admission
        self.results_.retention_s = config.tuning.result_retention_s
        self._pump()

    def _terms(self, workspace: WorkspaceId) -> WorkspaceTerms:
        return self.config_.terms(workspace)

    def peer_connected(self, peer: PeerConnection) -> None:
        """Register a connection of an entry."""
        self.peers_by_id_[peer.info.peer_id] = peer
        peer.send(self.load())
        if self.draining_:
            peer.send(Draining("agent"))

    def peer_lost(self, peer: PeerConnection) -> None:
        """Stop feeding an entry; what it started runs on for a take-over."""
        if self.peers_by_id_.get(peer.info.peer_id) is peer:
            del self.peers_by_id_[peer.info.peer_id]
            self.results_.detach_peer(peer.info.peer_id)

    def peer_message(self, peer: PeerConnection, message: Message) -> None:
        """Handle a message of an entry."""
        match message:
            case Submit():
                self._submit(peer, message)
            case Credit():
                self.feeder_.credit(peer, message)
            case Ack():
                self.results_.release(_key_of(message))
            case Cancel():
                self._cancel(_key_of(message))
            case Attach():
                self.feeder_.attach(peer, message)
            case Query():
                rows = msgspec.json.encode(self.queue_rows())
                peer.send(QueryAnswer(message.query_id, rows))
            case _:
                pass

    def queue_rows(self) -> list[list]:
        """Return what waits and runs here, and why what waits does."""
        now = self.clock()
        rows: list[list] = []
        for attempt in self.attempts_by_key_.values():
            submit = attempt.submit
            running = attempt.started_at_ is not None
            rows.append(
                [
                    self.endpoint_id,
                    submit.request_id,
                    submit.stage,
                    submit.workspace,
                    submit.priority,
                    "running" if running else "waiting",
                    round((now - attempt.item.enqueued_at) * 1000.0),
                    round((attempt.item.deadline_at - now) * 1000.0),
                    "" if running else self._why_waiting(submit.priority),
                ]
            )
        return rows

    def _why_waiting(self, priority: int) -> str:
        slots = self.pool_.concurrency
        if self.running_ >= slots:
            return f"all {slots} slots run"
        kept = self.headroom_.reserved(priority, self.clock())
        return f"{kept} slots are kept for more urgent work"

    def load(self) -> Load:
        """Return the load of the endpoint."""
        estimate = self.admission_.estimate_
        return Load(
            queued=len(self.queue_),
            running=self.running_,
            tokens_in_flight=self.tokens_in_flight_,
            # Before the first observation the entries use what is configured.
            service_ms=round(estimate.overall_.value_, 2)
            if estimate.overall_.count_
            else 0.0,
            token_ms=round(self._token_ms(), 3),
            concurrency=self.pool_.concurrency,
            classes=[
                ClassLoad(priority, round(ahead_ms, 1))
                for priority, ahead_ms in self.queue_.cost_ms_by_priority_.items()
            ],
            models=self.keeper_.held() if self.keeper_ is not None else [],
        )

    def _token_ms(self) -> float:
        """Return the time a token takes, seen also from streams that still run."""
        estimate = self.admission_.estimate_.per_token_
        now = self.clock()
        total_ms = 0.0
        streams = 0
        for attempt in self.attempts_by_key_.values():
            if attempt.started_at_ is None or not attempt.submit.expected_tokens:
                continue
            streams += 1
            elapsed_ms = (now - attempt.started_at_) * 1000.0
            total_ms += elapsed_ms / (len(attempt.generated_texts_) + 1)
        live_ms = total_ms / streams if streams else 0.0
        if not estimate.count_:
            return live_ms
        return max(estimate.value_, live_ms)

    def drain(self) -> None:
        """Take no new work and say so to every entry."""
        if self.draining_:
            return
        self.draining_ = True
        for peer in self.peers_by_id_.values():
            peer.send(Draining("agent"))

    def report_models(self) -> None:
        """Tell the entries at once what the engine holds now."""
        self._report_load(force=True)

    def restore(self) -> None:
        """Take new work again."""
        self.draining_ = False
        self._report_load(force=True)

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits, runs or is still being fed."""
        return not self.attempts_by_key_ and self.feeder_.is_idle

    def _submit(self, peer: PeerConnection, submit: Submit) -> None:
        now = self.clock()
        key = _key_of(submit)
        if self.results_.get(key) is not None:
            return
        if self.draining_:
            self._refuse(peer, submit, RefusalReason.DRAINING)
            return
        if not submit.repeatable:
            effect_key = f"{submit.request_id}/{submit.stage}"
            if effect_key in self.effects_begun_:
                self._refuse(peer, submit, RefusalReason.ALREADY_CLAIMED, begun=True)
                return
        item = QueuedAttempt(
            key=key,
            workspace=WorkspaceId(submit.workspace),
            priority=submit.priority,
            deadline_at=now + submit.remaining_ms / 1000.0,
            cost_ms=self.admission_.estimate_.service_ms(
                submit.stage, submit.expected_tokens
            ),
            enqueued_at=now,
        )
        reason = self.admission_.check_arrival(
            item, tail_ms=submit.tail_ms, running=self.running_, now=now
        )
        if reason is not None:
            self._refuse(peer, submit, reason)
            return
        kept = self.results_.open(key, submit.workspace, now)
        kept.attach(peer.info.peer_id, 0, submit.credit)
        self.attempts_by_key_[key] = RunningAttempt(submit=submit, item=item, kept=kept)
        self.headroom_.record_arrived(item.priority, now)
        self.queue_.push(item)
        self._pump()

    def _refuse(
        self,
        peer: PeerConnection | None,
        submit: Submit,
        reason: RefusalReason,
        begun: bool = False,
    ) -> None:
        ATTEMPTS_TOTAL.labels(stage=submit.stage, end=reason.value).inc()
        if peer is None:
            return
        wait_ms = self.admission_.wait_ms(
            submit.priority, WorkspaceId(submit.workspace), self.running_
        )
        peer.send(
            Refused(
                submit.request_id,
                submit.stage,
                submit.attempt,
                reason.value,
                begun,
                wait_ms,
                self.load(),
            )
        )

    def _pump(self) -> None:
        """Start what may start; refuse what waited too long."""
        while self._may_start():
            now = self.clock()
            item = self.queue_.pop(now)
            if item is None:
                break
            attempt = self.attempts_by_key_[item.key]
            reason = self.admission_.check_start(
                item,
                tail_ms=attempt.submit.tail_ms,
                running=self.running_,
                now=now,
            )
            if reason is not None:
                self._drop_queued(attempt, reason)
                continue
            self.headroom_.record_started(item.priority)
            self.running_ += 1
            self.tokens_in_flight_ += attempt.submit.expected_tokens
            if not attempt.submit.repeatable:
                self._record_effect(attempt.submit)
            attempt.task_ = asyncio.create_task(self._run(attempt))
        QUEUED_ATTEMPTS.set(len(self.queue_))
        RUNNING_ATTEMPTS.set(self.running_)
        self._report_load()

    def _may_start(self) -> bool:
        """Tell whether the next attempt may take a slot; look again soon if not."""
        if not len(self.queue_) or self.running_ >= self.pool_.concurrency:
            return False
        if not self.config_.tuning.admission:
            return True
        admitted = self.headroom_.admits(
            min(self.queue_.count_by_priority_),
            running=self.running_,
            concurrency=self.pool_.concurrency,
            now=self.clock(),
        )
        if not admitted and self.pump_timer_ is None:
            loop = asyncio.get_running_loop()
            self.pump_timer_ = loop.call_later(HEADROOM_POLL_S, self._pump_again)
        return admitted

    def _pump_again(self) -> None:
        self.pump_timer_ = None
        self._pump()

    def _record_effect(self, submit: Submit) -> None:
        self.effects_begun_[f"{submit.request_id}/{submit.stage}"] = None
        if len(self.effects_begun_) > STAGES_BEGUN_KEPT:
            del self.effects_begun_[next(iter(self.effects_begun_))]

    def _drop_queued(self, attempt: RunningAttempt, reason: RefusalReason) -> None:
        key = attempt.item.key
        del self.attempts_by_key_[key]
        self.headroom_.record_left(attempt.item.priority, self.clock(), ran=False)
        for peer_id in list(attempt.kept.cursors_by_peer_):
            self._refuse(self.peers_by_id_.get(peer_id), attempt.submit, reason)
        self.results_.discard(key)

    async def _run(self, attempt: RunningAttempt) -> None:
        submit = attempt.submit
        started_at = self.clock()
        attempt.started_at_ = started_at
        timeout_s = attempt.item.deadline_at - started_at + TIMEOUT_GRACE_S
        if not submit.repeatable:
            # The effect may come late; its result is worth waiting for.
            timeout_s = max(timeout_s, EFFECT_TIMEOUT_S)
        sink = self._sink(attempt)
        outcome = await self.adapter.run(submit, timeout_s, sink)
        ended_at = self.clock()
        service_ms = (ended_at - started_at) * 1000.0
        queue_ms = (started_at - attempt.item.enqueued_at) * 1000.0
        if outcome.crossed:
            self.log.report(
                Event.ENDPOINT_ANSWER_CROSSED,
                request=submit.request_id,
                error=outcome.error,
            )
        tokens = len(attempt.generated_texts_)
        if outcome.status is DoneStatus.OK:
            self.admission_.estimate_.note(submit.stage, service_ms, tokens)
        elif submit.expected_tokens:
            self.admission_.estimate_.record_partial(service_ms, tokens)
        self._finish(attempt, outcome, service_ms, queue_ms)

    def _sink(self, attempt: RunningAttempt) -> TokenSink:
        def take(texts: list[str], model_version: str) -> None:
            attempt.generated_texts_.extend(texts)
            if not attempt.submit.stream:
                return
            first = not attempt.kept.texts_
            attempt.kept.append(texts, model_version)
            self.feeder_.on_tokens(attempt.kept, first=first)
            self._report_load()

        return take

    def _finish(
        self,
        attempt: RunningAttempt,
        outcome: AdapterOutcome,
        service_ms: float,
        queue_ms: float,
    ) -> None:
        submit = attempt.submit
        kept = attempt.kept
        key = attempt.item.key
        self.headroom_.record_left(attempt.item.priority, self.clock(), ran=True)
        self.running_ -= 1
        self.tokens_in_flight_ -= submit.expected_tokens
        del self.attempts_by_key_[key]
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
            load=self.load(),
            model_version=outcome.model_version,
        )
        self.results_.end(kept, done, self.clock())
        self.feeder_.on_end(kept)
        self._pump()

    def _cancel(self, key: str) -> None:
        attempt = self.attempts_by_key_.get(key)
        if attempt is None:
            self.results_.release(key)
            return
        if self.queue_.remove(key) is not None:
            self._drop_queued(attempt, RefusalReason.CANCELLED)
            return
        # What may not be repeated runs to its end, so that its result is known.
        if attempt.cancelled_ or not attempt.submit.repeatable:
            return
        attempt.cancelled_ = True
        asyncio.get_running_loop().create_task(self.adapter.cancel(attempt.submit))

    def _report_load(self, force: bool = False) -> None:
        """Report a load that changed much without an answer to ride on."""
        now = self.clock()
        # Many entries share one bound, so that control stays small in a large fleet.
        interval_s = max(REPORT_S, len(self.peers_by_id_) / REPORTS_PER_S_MAX)
        if not force and now - self.reported_at_ < interval_s:
            return
        load = len(self.queue_) + self.running_
        token_ms = self._token_ms()
        changed = abs(load - self.reported_load_) > max(2, self.reported_load_ // 4)
        slower = token_ms > 1.5 * self.reported_token_ms_ + 1.0
        if not force and not changed and not slower:
            return
        self.reported_at_ = now
        self.reported_load_ = load
        self.reported_token_ms_ = token_ms
        report = self.load()
        for peer in self.peers_by_id_.values():
            peer.send(report)


def _key_of(message: Submit | Credit | Ack | Cancel | Attach) -> str:
    return attempt_key(message.request_id, message.stage, message.attempt)
