"""Decide at an endpoint's queue whether an attempt can still finish in time.

Asked by the agent when an attempt arrives and again when it would begin. It decides
from what waits before it, and from how long the endpoint takes by its own measure. An
idle endpoint always tries, since that loses nothing and shows its present speed.
"""

from leadford.common import Ewma, RefusalReason, WorkspaceId
from leadford.pipelines.queues import QueuedAttempt, QueuePolicy

# Weight of the newest attempt in the estimates.
ESTIMATE_WEIGHT = 0.05
# Milliseconds of an attempt, and of a token, before any is known.
DEFAULT_SERVICE_MS = 20.0
DEFAULT_TOKEN_MS = 20.0
# Part of an expected service that must fit before the deadline.
DEADLINE_SLACK = 0.95


class ServiceEstimate:
    """Learn how long an endpoint takes, by stage and per generated token.

    Units: milliseconds.
    """

    def __init__(self) -> None:
        self.by_stage_: dict[str, Ewma] = {}
        self.overall_ = Ewma(initial=DEFAULT_SERVICE_MS, weight=ESTIMATE_WEIGHT)
        self.per_token_ = Ewma(initial=DEFAULT_TOKEN_MS, weight=ESTIMATE_WEIGHT)

    def record(self, stage: str, service_ms: float, tokens: int) -> None:
        """Record one finished attempt."""
        if tokens:
            self.per_token_.update(service_ms / tokens)
        self.overall_.update(service_ms)
        estimate = self.by_stage_.get(stage)
        if estimate is None:
            estimate = Ewma(initial=service_ms, weight=ESTIMATE_WEIGHT)
            self.by_stage_[stage] = estimate
        estimate.update(service_ms)

    def record_partial(self, elapsed_ms: float, tokens: int) -> None:
        """Record an attempt that was cancelled, as far as it came."""
        # That it took at least so long is worth more than no observation.
        at_least_ms = elapsed_ms / (tokens + 1)
        if at_least_ms > self.per_token_.value_:
            self.per_token_.update(at_least_ms)

    def service_ms(self, stage: str, expected_tokens: int) -> float:
        """Return the expected service of an attempt."""
        if expected_tokens:
            return self.per_token_.value_ * expected_tokens
        estimate = self.by_stage_.get(stage)
        return estimate.value_ if estimate is not None else self.overall_.value_


class EndpointAdmission:
    """Refuse what the queue in front of an endpoint cannot serve in time.

    Without `by_deadline` only the queue's limit refuses.
    """

    def __init__(
        self,
        *,
        queue: QueuePolicy,
        concurrency: int,
        queue_limit: int,
        by_deadline: bool = True,
    ) -> None:
        self.queue = queue
        self.concurrency = concurrency
        self.queue_limit = queue_limit
        self.by_deadline = by_deadline
        self.estimate_ = ServiceEstimate()

    def wait_ms(self, priority: int, workspace: WorkspaceId, running: int) -> float:
        """Return the expected wait of a newcomer."""
        if running < self.concurrency and not len(self.queue):
            return 0.0
        # The slots that run now free themselves, on average, half a service from now.
        ahead = (
            self.queue.ahead_ms(priority, workspace)
            + self.estimate_.overall_.value_ / 2
        )
        return ahead / self.concurrency

    def check_arrival(
        self, item: QueuedAttempt, *, tail_ms: float, running: int, now: float
    ) -> RefusalReason | None:
        """Return why an arriving attempt is refused, or None when it is taken."""
        if len(self.queue) >= self.queue_limit:
            return RefusalReason.QUEUE_FULL
        if running == 0 and not len(self.queue):
            # An idle endpoint loses nothing by trying, and learns its present speed.
            return None if item.deadline_at > now else RefusalReason.DEADLINE
        wait_ms = self.wait_ms(item.priority, item.workspace, running)
        if not self._fits(item, wait_ms + tail_ms, now):
            return RefusalReason.DEADLINE
        return None

    def check_start(
        self, item: QueuedAttempt, *, tail_ms: float, running: int, now: float
    ) -> RefusalReason | None:
        """Return why an attempt is not begun after its wait, or None."""
        if running == 0 and item.deadline_at > now:
            return None
        if not self._fits(item, tail_ms, now):
            return RefusalReason.DEADLINE
        return None

    def _fits(self, item: QueuedAttempt, other_ms: float, now: float) -> bool:
        if not self.by_deadline:
            return True
        remaining_ms = (item.deadline_at - now) * 1000.0
        return other_ms + item.cost_ms * DEADLINE_SLACK <= remaining_ms
