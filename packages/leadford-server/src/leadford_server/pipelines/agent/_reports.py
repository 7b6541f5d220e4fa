"""Say to the entries how loaded an endpoint is, and why it refuses an attempt.

Load rides on every end and refusal; it is also sent by itself when it changed much. The
entries choose endpoints by it (`leadford.pipelines.routing`).
"""

from collections.abc import Callable

from leadford.common import RefusalReason, WorkspaceId
from leadford.protocol import ClassLoad, Load, Refused, Submit
from leadford_server.metrics import ATTEMPTS_TOTAL
from leadford_server.peers import PeerConnection
from leadford_server.pipelines.agent._models import ModelLoader
from leadford_server.pipelines.agent._state import EndpointState

# Seconds between load reports that ride on no answer.
REPORT_S = 0.2
# Reports a second to all entries together, so that control stays small in a large
# fleet.
REPORTS_PER_S_MAX = 15.0
# What counts as much changed: more attempts than either, as a number and as a part of
# the load last reported, or tokens slower by a factor and a millisecond.
CHANGED_ATTEMPTS = 2
CHANGED_LOAD_DIVISOR = 4
SLOWER_TIMES = 1.5
SLOWER_MS = 1.0


class EndpointReports:
    """Build and send what entries are told of one endpoint.

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
        """Return what waits and runs here, and why what waits does."""
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
        kept = self.state.headroom_.reserved(priority, self.clock())
        return f"{kept} slots are kept for more urgent work"

    def load(self) -> Load:
        """Return the load of the endpoint."""
        estimate = self.state.admission_.estimate_
        return Load(
            queued=len(self.state.queue_),
            running=self.state.running_,
            tokens_in_flight=self.state.tokens_in_flight_,
            # Before the first observation the entries use what is configured.
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
        """Return the time a token takes, seen also from streams that still run."""
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
        """Refuse an attempt, and count that also if the entry is gone."""
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
        """Report a load that changed much without an answer to ride on."""
        now = self.clock()
        interval_s = max(REPORT_S, len(self.state.peers_by_id_) / REPORTS_PER_S_MAX)
        if not force and now - self.reported_at_ < interval_s:
            return
        load = len(self.state.queue_) + self.state.running_
        token_ms = self._token_ms()
        least = max(CHANGED_ATTEMPTS, self.reported_load_ // CHANGED_LOAD_DIVISOR)
        changed = abs(load - self.reported_load_) > least
        slower = token_ms > SLOWER_TIMES * self.reported_token_ms_ + SLOWER_MS
        if not force and not changed and not slower:
            return
        self.reported_at_ = now
        self.reported_load_ = load
        self.reported_token_ms_ = token_ms
        report = self.load()
        for peer in self.state.peers_by_id_.values():
            peer.send(report)
