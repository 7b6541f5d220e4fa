"""Hold the attempts that the agent of an endpoint has accepted, and its limits.

Owned by `AgentService`. `AttemptRunner` starts and ends the attempts, and
`EndpointReports` reports them to the entries. The order of the queue, admission and the
slots reserved for more urgent attempts are decided in `leadford.pipelines`.
"""

import asyncio

from leadford.common import WorkspaceId
from leadford.pipelines.admission import EndpointAdmission, Headroom
from leadford.pipelines.config import FleetConfig, PoolConfig
from leadford.pipelines.queues import QueuedAttempt, WorkspaceTerms, queue_policies
from leadford.pipelines.results import AttemptResult, ResultStore
from leadford.protocol import Ack, Attach, Cancel, Credit, Submit
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent.adapters import attempt_key

# Maximum number of started stages with a side effect that are remembered.
MAX_BEGUN_EFFECTS = 20_000


class AcceptedAttempt:
    """Hold an attempt that waits or runs.

    `started_at_` is None while the attempt waits.
    """

    def __init__(
        self, *, submit: Submit, item: QueuedAttempt, kept: AttemptResult
    ) -> None:
        self.submit = submit
        self.item = item
        self.kept = kept
        self.task_: asyncio.Task[None] | None = None
        self.started_at_: float | None = None
        self.cancelled_ = False
        self.generated_texts_: list[str] = []


class EndpointState:
    """Hold the queue, the running attempts and the stored results of one endpoint.

    `effects_begun_` lists the stages with a side effect that were started here, oldest
    first. A stage in this list is not started again.
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
        """Apply a newer configuration; queued attempts stay queued."""
        self.config_ = config
        self.pool_ = pool
        self.admission_.concurrency = pool.concurrency
        self.admission_.queue_limit = pool.queue_limit
        self.admission_.by_deadline = config.tuning.admission
        self.results_.retention_s = config.tuning.result_retention_s

    def _terms(self, workspace: WorkspaceId) -> WorkspaceTerms:
        return self.config_.terms(workspace)

    def has_begun_effect(self, submit: Submit) -> bool:
        """Return whether a stage with a side effect was already started here."""
        return _effect_key(submit) in self.effects_begun_

    def record_effect(self, submit: Submit) -> None:
        """Record that a stage with a side effect is started here."""
        self.effects_begun_[_effect_key(submit)] = None
        if len(self.effects_begun_) > MAX_BEGUN_EFFECTS:
            del self.effects_begun_[next(iter(self.effects_begun_))]


def key_of(message: Submit | Credit | Ack | Cancel | Attach) -> str:
    """Return the key of the attempt that a message refers to."""
    return attempt_key(message.request_id, message.stage, message.attempt)


def _effect_key(submit: Submit) -> str:
    return f"{submit.request_id}/{submit.stage}"
