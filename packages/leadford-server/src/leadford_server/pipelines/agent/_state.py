"""Hold what an endpoint's agent has accepted, and how it is limited.

Owned by `AgentService`; `AttemptRunner` starts and ends attempts in it, and
`EndpointReports` tells the entries what is there. The rules are `leadford.pipelines`:
the order of the queue, admission, and the slots kept for more urgent work.
"""

import asyncio

from leadford.common import WorkspaceId
from leadford.pipelines.admission import EndpointAdmission, Headroom
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.pipelines.queues import QueuedAttempt, WorkspaceTerms, queue_policies
from leadford.pipelines.results import KeptResult, ResultStore
from leadford.protocol import Ack, Attach, Cancel, Credit, Submit
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent._adapters import attempt_key

# Stages with an effect that are remembered as begun.
STAGES_BEGUN_KEPT = 20_000


class AcceptedAttempt:
    """Hold an attempt that waits or runs.

    `started_at_` is None while it waits.
    """

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


class EndpointState:
    """Hold the queue, the running attempts and the kept results of one endpoint.

    `effects_begun_` names the stages with an effect that were started here, the oldest
    first; such a stage is never started twice.
    """

    def __init__(self, *, pool: PoolConfig, config: FleetConfig) -> None:
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
        self.attempts_by_key_: dict[str, AcceptedAttempt] = {}
        self.running_ = 0
        self.tokens_in_flight_ = 0
        self.peers_by_id_: dict[str, PeerConnection] = {}
        self.effects_begun_: dict[str, None] = {}

    def apply_config(self, config: FleetConfig, pool: PoolConfig) -> None:
        """Apply a newer configuration; what is queued stays queued."""
        self.config_ = config
        self.pool_ = pool
        self.admission_.concurrency = pool.concurrency
        self.admission_.queue_limit = pool.queue_limit
        self.admission_.by_deadline = config.tuning.admission
        self.results_.retention_s = config.tuning.result_retention_s

    def _terms(self, workspace: WorkspaceId) -> WorkspaceTerms:
        return self.config_.terms(workspace)

    def has_begun_effect(self, submit: Submit) -> bool:
        """Tell whether a stage with an effect was already started here."""
        return _effect_key(submit) in self.effects_begun_

    def record_effect(self, submit: Submit) -> None:
        """Record that a stage with an effect is started here."""
        self.effects_begun_[_effect_key(submit)] = None
        if len(self.effects_begun_) > STAGES_BEGUN_KEPT:
            del self.effects_begun_[next(iter(self.effects_begun_))]


def key_of(message: Submit | Credit | Ack | Cancel | Attach) -> str:
    """Return the name of the attempt that a message is about."""
    return attempt_key(message.request_id, message.stage, message.attempt)


def _effect_key(submit: Submit) -> str:
    return f"{submit.request_id}/{submit.stage}"
