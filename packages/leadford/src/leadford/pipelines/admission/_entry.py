"""Decide at an entry whether a request can finish all its stages in time.

Asked once for each request of the own interface, with a forecast for each stage: the
candidate endpoint that would finish first, by its last report and own sends. A request
is refused at once when the sum lies behind its deadline; reports fade, so refused work
does not refuse itself for ever. `EndpointAdmission` decides again at the queue.
Admission over batched stages on the platform is another rule
(`leadford.forwarding.admission`): it knows backlogs of all entries and callers that
return, and no single endpoints.
"""

import msgspec

from leadford.common import RefusalReason
from leadford.pipelines.config import StageConfig
from leadford.pipelines.routing import EndpointView

# Requests that an entry holds at a time.
LIVE_REQUESTS_MAX = 4096
# Seconds in which a report of an endpoint fades to what is configured.
REPORT_TRUSTED_S = 2.0


class StageNeed(msgspec.Struct, frozen=True):
    """Say what one stage needs of its pool."""

    pool: str
    expected_ms: float
    expected_tokens: int = 0

    @classmethod
    def from_config(cls, stage: StageConfig) -> "StageNeed":
        """Return what a configured stage needs."""
        return cls(stage.pool, stage.expected_ms, stage.expected_tokens)


class PoolForecast(msgspec.Struct, frozen=True):
    """Say how soon a pool could finish an attempt.

    Units: milliseconds.
    """

    wait_ms: float
    service_ms: float

    @property
    def finish_ms(self) -> float:
        """Return the wait and the service together."""
        return self.wait_ms + self.service_ms


class AdmissionVerdict(msgspec.Struct, frozen=True):
    """Say whether a request is admitted, and when to come back if not."""

    reason: RefusalReason | None
    predicted_ms: float = 0.0
    retry_after_ms: float = 0.0


def forecast_pool(
    candidates: list[EndpointView], need: StageNeed, priority: int, now: float
) -> PoolForecast | None:
    """Return the forecast of the candidate that would finish first, if any."""
    best: PoolForecast | None = None
    for view in candidates:
        wait_ms = view.wait_ms(priority, view.report_.service_ms, now)
        forecast = PoolForecast(wait_ms, _service_ms(view, need, now))
        if best is None or forecast.finish_ms < best.finish_ms:
            best = forecast
    return best


def _service_ms(view: EndpointView, need: StageNeed, now: float) -> float:
    report = view.report_
    reported_ms = report.service_ms
    if need.expected_tokens:
        reported_ms = report.token_ms * need.expected_tokens
    if reported_ms <= 0:
        return need.expected_ms
    # Refused work brings no new report, so an old one must not refuse for ever.
    trust = max(0.0, 1.0 - (now - report.at_s) / REPORT_TRUSTED_S)
    return need.expected_ms + (reported_ms - need.expected_ms) * trust


class EntryAdmission:
    """Admit a request when its predicted finish lies before its deadline.

    `confidence` scales the prediction: below 1 it lets doubtful work try.
    """

    def __init__(
        self, *, confidence: float = 0.9, live_max: int = LIVE_REQUESTS_MAX
    ) -> None:
        self.confidence = confidence
        self.live_max = live_max

    def decide(
        self,
        forecasts: list[PoolForecast | None],
        *,
        remaining_ms: float,
        live: int,
    ) -> AdmissionVerdict:
        """Return the verdict on a request, from the forecasts of its stages."""
        if live >= self.live_max:
            return AdmissionVerdict(RefusalReason.QUEUE_FULL, retry_after_ms=1000.0)
        predicted_ms = 0.0
        wait_ms = 0.0
        for forecast in forecasts:
            if forecast is None:
                reason = RefusalReason.NO_ENDPOINT
                return AdmissionVerdict(reason, retry_after_ms=1000.0)
            wait_ms += forecast.wait_ms
            predicted_ms += forecast.finish_ms
        if predicted_ms * self.confidence > remaining_ms:
            excess_ms = predicted_ms * self.confidence - remaining_ms
            retry_after_ms = max(100.0, min(wait_ms, excess_ms))
            return AdmissionVerdict(
                RefusalReason.DEADLINE, predicted_ms, retry_after_ms
            )
        return AdmissionVerdict(None, predicted_ms)
