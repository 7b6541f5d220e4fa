"""Decide at an endpoint's queue whether an attempt can still finish in time.

Called by the agent when an attempt arrives and again before it starts. The decision
uses the attempts that wait before it and the service times seen at this endpoint. An
idle endpoint runs any attempt whose deadline is not past: this delays no other attempt
and shows the present speed of the endpoint.
"""

from leadford.common import Ewma, RefusalReason, WorkspaceId
from leadford.pipelines.queues import QueuedAttempt, QueuePolicy

# Weight of the newest attempt in the estimates.
ESTIMATE_WEIGHT = 0.05
# Service time of an attempt, and of a token, before any has finished.
DEFAULT_SERVICE_MS = 20.0
DEFAULT_TOKEN_MS = 20.0
# Fraction of the expected service time that must fit before the deadline.
REQUIRED_SERVICE_FRACTION = 0.95


class ServiceEstimate:
    """Estimate the service time of an endpoint, by stage and per generated token.

    Units: milliseconds.
    """

    def __init__(self) -> None:
        self.estimates_by_stage_: dict[str, Ewma] = {}
        self.overall_ = Ewma(initial=DEFAULT_SERVICE_MS, weight=ESTIMATE_WEIGHT)
        self.per_token_ = Ewma(initial=DEFAULT_TOKEN_MS, weight=ESTIMATE_WEIGHT)

    def record(self, stage: str, service_ms: float, tokens: int) -> None:
        """Record one finished attempt."""
        if tokens:
            self.per_token_.update(service_ms / tokens)
        self.overall_.update(service_ms)
        estimate = self.estimates_by_stage_.get(stage)
        if estimate is None:
            estimate = Ewma(initial=service_ms, weight=ESTIMATE_WEIGHT)
            self.estimates_by_stage_[stage] = estimate
        estimate.update(service_ms)

    def record_partial(self, elapsed_ms: float, tokens: int) -> None:
        """Record the elapsed time of an attempt that was cancelled."""
        # The elapsed time is a lower bound of the service time.
        lower_bound_ms = elapsed_ms / (tokens + 1)
        if lower_bound_ms > self.per_token_.value_:
            self.per_token_.update(lower_bound_ms)

    def service_ms(self, stage: str, expected_tokens: int) -> float:
        """Return the expected service time of an attempt."""
        if expected_tokens:
            return self.per_token_.value_ * expected_tokens
        estimate = self.estimates_by_stage_.get(stage)
        return estimate.value_ if estimate is not None else self.overall_.value_


class EndpointAdmission:
    """Refuse attempts that the queue of an endpoint cannot serve in time.

    Without `by_deadline`, an attempt is refused only when the queue is full, or when it
    arrives at an idle endpoint after its deadline.
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
        """Return the expected wait of an attempt that arrives now."""
        if running < self.concurrency and not len(self.queue):
            return 0.0
        # A running attempt ends, on average, after half a service time.
        backlog_ms = (
            self.queue.ahead_ms(priority, workspace)
            + self.estimate_.overall_.value_ / 2
        )
        return backlog_ms / self.concurrency

    def check_arrival(
        self, item: QueuedAttempt, *, tail_ms: float, running: int, now: float
    ) -> RefusalReason | None:
        """Return why an arriving attempt is refused, or None when it is queued."""
        if len(self.queue) >= self.queue_limit:
            return RefusalReason.QUEUE_FULL
        if running == 0 and not len(self.queue):
            # On an idle endpoint the attempt delays no other and shows its speed.
            return None if item.deadline_at > now else RefusalReason.DEADLINE
        wait_ms = self.wait_ms(item.priority, item.workspace, running)
        if not self._fits(item, wait_ms + tail_ms, now):
            return RefusalReason.DEADLINE
        return None

    def check_start(
        self, item: QueuedAttempt, *, tail_ms: float, running: int, now: float
    ) -> RefusalReason | None:
        """Return why a queued attempt is not started, or None when it is."""
        if running == 0 and item.deadline_at > now:
            return None
        if not self._fits(item, tail_ms, now):
            return RefusalReason.DEADLINE
        return None

    def _fits(self, item: QueuedAttempt, additional_ms: float, now: float) -> bool:
        if not self.by_deadline:
            return True
        remaining_ms = (item.deadline_at - now) * 1000.0
        return additional_ms + item.cost_ms * REQUIRED_SERVICE_FRACTION <= remaining_ms
