"""Report to the entries the load of an endpoint, and why it refuses an attempt.

Each end and each refusal includes the load. It is also sent separately when it changed
by more than a threshold. The entries choose endpoints by it
(`leadford.pipelines.routing`).
"""

from collections.abc import Callable

from leadford.common import RefusalReason, WorkspaceId
from leadford.protocol import ClassLoad, Load, Refused, Submit
from leadford_server.metrics import ATTEMPTS_TOTAL
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent._models import ModelLoader
from leadford_server.pipelines.agent._state import EndpointState

# Minimum interval between load reports that are sent separately.
MIN_REPORT_INTERVAL_S = 0.2
# Maximum rate of these reports to all entries together, which limits control traffic in
# a large fleet.
MAX_REPORTS_PER_S = 15.0
# A load report is due when the number of attempts changed by more than both thresholds,
# of which the second is the load last reported divided by the divisor, or when the time
# of a token exceeds the one last reported times the factor plus the margin.
CHANGE_THRESHOLD_ATTEMPTS = 2
CHANGE_THRESHOLD_LOAD_DIVISOR = 4
SLOWDOWN_FACTOR = 1.5
SLOWDOWN_MARGIN_MS = 1.0


class EndpointReports:
    """Build and send the reports and refusals of one endpoint to the entries.

    Units: clock and `reported_at_` in seconds, `reported_token_ms_` in milliseconds.
    """

    def __init__(
        self, *, endpoint_id: str, state: EndpointState, clock: Callable[[], float]
    ) -> None:
        self.endpoint_id = endpoint_id
        self.state = state
        self.clock = clock
        self.model_loader_: ModelLoader | None = None
        self.reported_at_ = 0.0
        self.reported_load_ = 0
        self.reported_token_ms_ = 0.0

    def queue_rows(self) -> list[list]:
        """Return a row for each waiting or running attempt, with why it waits."""
        now = self.clock()
        rows: list[list] = []
        for attempt in self.state.attempts_by_key_.values():
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
        slots = self.state.pool_.concurrency
        if self.state.running_ >= slots:
            return f"all {slots} slots run"
        reserved_slots = self.state.headroom_.reserved(priority, self.clock())
        return f"{reserved_slots} slots are kept for more urgent work"

    def load(self) -> Load:
        """Return the load of the endpoint."""
        estimate = self.state.admission_.estimate_
        return Load(
            queued=len(self.state.queue_),
            running=self.state.running_,
            tokens_in_flight=self.state.tokens_in_flight_,
            # With 0.0, before the first observation, entries use the configured time.
            service_ms=round(estimate.overall_.value_, 2)
            if estimate.overall_.count_
            else 0.0,
            token_ms=round(self._token_ms(), 3),
            concurrency=self.state.pool_.concurrency,
            classes=[
                ClassLoad(priority, round(ahead_ms, 1))
                for priority, ahead_ms in self.state.queue_.cost_ms_by_priority_.items()
            ],
            models=self.model_loader_.held() if self.model_loader_ is not None else [],
        )

    def _token_ms(self) -> float:
        """Return the time of a token; attempts that still run may raise it.

        Units: milliseconds.
        """
        estimate = self.state.admission_.estimate_.per_token_
        now = self.clock()
        total_ms = 0.0
        streams = 0
        for attempt in self.state.attempts_by_key_.values():
            if attempt.started_at_ is None or not attempt.submit.expected_tokens:
                continue
            streams += 1
            elapsed_ms = (now - attempt.started_at_) * 1000.0
            total_ms += elapsed_ms / (len(attempt.generated_texts_) + 1)
        live_ms = total_ms / streams if streams else 0.0
        if not estimate.count_:
            return live_ms
        return max(estimate.value_, live_ms)

    def refuse(
        self,
        peer: PeerConnection | None,
        submit: Submit,
        reason: RefusalReason,
        begun: bool = False,
    ) -> None:
        """Refuse an attempt; count the refusal even if the entry is disconnected."""
        ATTEMPTS_TOTAL.labels(stage=submit.stage, end=reason.value).inc()
        if peer is None:
            return
        wait_ms = self.state.admission_.wait_ms(
            submit.priority, WorkspaceId(submit.workspace), self.state.running_
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

    def send_load(self, force: bool = False) -> None:
        """Send the load to all entries if it changed by enough, or if forced."""
        now = self.clock()
        interval_s = max(
            MIN_REPORT_INTERVAL_S, len(self.state.peers_by_id_) / MAX_REPORTS_PER_S
        )
        if not force and now - self.reported_at_ < interval_s:
            return
        load = len(self.state.queue_) + self.state.running_
        token_ms = self._token_ms()
        change_threshold = max(
            CHANGE_THRESHOLD_ATTEMPTS,
            self.reported_load_ // CHANGE_THRESHOLD_LOAD_DIVISOR,
        )
        changed = abs(load - self.reported_load_) > change_threshold
        slower = (
            token_ms > SLOWDOWN_FACTOR * self.reported_token_ms_ + SLOWDOWN_MARGIN_MS
        )
        if not force and not changed and not slower:
            return
        self.reported_at_ = now
        self.reported_load_ = load
        self.reported_token_ms_ = token_ms
        report = self.load()
        for peer in self.state.peers_by_id_.values():
            peer.send(report)
