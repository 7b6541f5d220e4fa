"""Serve the entries at one endpoint: accept attempts, run them and send the results.

`AgentProcess` passes on the messages of entries and each configuration. The service
decides whether an attempt is accepted and dispatches all other messages.
`AttemptRunner` starts and ends accepted attempts, `TokenFeeder` sends tokens and ends,
and `EndpointReports` sends the load and refusals; they share one `EndpointState`.
"""

from collections.abc import Callable

import msgspec

from leadford.common import RefusalReason, WorkspaceId
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.pipelines.queues import QueuedAttempt
from leadford.protocol import (
    Ack,
    Attach,
    Cancel,
    Credit,
    Draining,
    Message,
    Query,
    QueryAnswer,
    Submit,
)
from leadford_server.clock import boot_time
from leadford_server.logs import EventLog
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent._feeder import TokenFeeder
from leadford_server.pipelines.agent._models import ModelLoader
from leadford_server.pipelines.agent._reports import EndpointReports
from leadford_server.pipelines.agent._runner import AttemptRunner
from leadford_server.pipelines.agent._state import (
    AcceptedAttempt,
    EndpointState,
    key_of,
)
from leadford_server.pipelines.agent.adapters import EndpointAdapter


class AgentService:
    """Serve the entries that use one endpoint."""

    def __init__(
        self,
        *,
        endpoint_id: str,
        adapter: EndpointAdapter,
        pool: PoolConfig,
        config: FleetConfig,
        log: EventLog,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self.clock = clock
        self.draining_ = False
        self.state_ = EndpointState(pool=pool, config=config)
        self.reports_ = EndpointReports(
            endpoint_id=endpoint_id, state=self.state_, clock=clock
        )
        self.feeder_ = TokenFeeder(
            results=self.state_.results_, peers_by_id=self.state_.peers_by_id_
        )
        self.runner_ = AttemptRunner(
            adapter=adapter,
            state=self.state_,
            reports=self.reports_,
            feeder=self.feeder_,
            log=log,
            clock=clock,
        )

    def apply_config(self, config: FleetConfig, pool: PoolConfig) -> None:
        """Apply a newer configuration; queued attempts stay queued."""
        self.state_.apply_config(config, pool)
        self.runner_.dispatch()

    def peer_connected(self, peer: PeerConnection) -> None:
        """Register the connection of an entry and send it the load."""
        self.state_.peers_by_id_[peer.info.peer_id] = peer
        peer.send(self.reports_.load())
        if self.draining_:
            peer.send(Draining("agent"))

    def peer_lost(self, peer: PeerConnection) -> None:
        """Stop sending to an entry; its attempts go on, and another may take over."""
        peer_id = peer.info.peer_id
        if self.state_.peers_by_id_.get(peer_id) is peer:
            del self.state_.peers_by_id_[peer_id]
            self.state_.results_.detach_peer(peer_id)

    def peer_message(self, peer: PeerConnection, message: Message) -> None:
        """Handle a message of an entry."""
        match message:
            case Submit():
                self._submit(peer, message)
            case Credit():
                self.feeder_.credit(peer, message)
            case Ack():
                self.state_.results_.release(key_of(message))
            case Cancel():
                self.runner_.cancel(key_of(message))
            case Attach():
                self.feeder_.attach(peer, message)
            case Query():
                rows = msgspec.json.encode(self.reports_.queue_rows())
                peer.send(QueryAnswer(message.query_id, rows))
            case _:
                pass

    def drain(self) -> None:
        """Accept no new attempts and announce that to every entry."""
        if self.draining_:
            return
        self.draining_ = True
        for peer in self.state_.peers_by_id_.values():
            peer.send(Draining("agent"))

    def restore(self) -> None:
        """Accept new attempts again."""
        self.draining_ = False
        self.reports_.send_load(force=True)

    def stop(self) -> None:
        """Start no attempt that still waits."""
        self.runner_.stop()

    def attach_models(self, loader: ModelLoader) -> None:
        """Include the models of an engine in load reports from now on."""
        self.reports_.model_loader_ = loader

    def report_models(self) -> None:
        """Report at once to the entries which models the engine holds."""
        self.reports_.send_load(force=True)

    @property
    def is_idle(self) -> bool:
        """Return whether no attempt waits or runs and all results are sent."""
        return not self.state_.attempts_by_key_ and self.feeder_.is_idle

    def _submit(self, peer: PeerConnection, submit: Submit) -> None:
        """Queue an attempt or refuse it; ignore one that was accepted before."""
        now = self.clock()
        key = key_of(submit)
        if self.state_.results_.get(key) is not None:
            return
        if self.draining_:
            self.reports_.refuse(peer, submit, RefusalReason.DRAINING)
            return
        if not submit.repeatable and self.state_.has_begun_effect(submit):
            reason = RefusalReason.ALREADY_CLAIMED
            self.reports_.refuse(peer, submit, reason, begun=True)
            return
        item = self._queued_attempt(submit, now)
        reason = self.state_.admission_.check_arrival(
            item, tail_ms=submit.tail_ms, running=self.state_.running_, now=now
        )
        if reason is not None:
            self.reports_.refuse(peer, submit, reason)
            return
        kept = self.state_.results_.open(key, submit.workspace, now)
        kept.attach(peer.info.peer_id, 0, submit.credit)
        self.state_.attempts_by_key_[key] = AcceptedAttempt(
            submit=submit, item=item, kept=kept
        )
        self.state_.headroom_.record_arrived(item.priority, now)
        self.state_.queue_.push(item)
        self.runner_.dispatch()

    def _queued_attempt(self, submit: Submit, now: float) -> QueuedAttempt:
        """Return the record of an attempt for the queue and the admission."""
        estimate = self.state_.admission_.estimate_
        return QueuedAttempt(
            key=key_of(submit),
            workspace=WorkspaceId(submit.workspace),
            priority=submit.priority,
            deadline_at=now + submit.remaining_ms / 1000.0,
            cost_ms=estimate.service_ms(submit.stage, submit.expected_tokens),
            enqueued_at=now,
        )
