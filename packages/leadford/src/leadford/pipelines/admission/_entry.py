"""Decide at an entry whether a request can finish all its stages in time.

Called once for each request of leadford's own interface, with a forecast for each
stage. The forecast is that of the candidate endpoint that would finish first, by its
last load report and the attempts that this entry sent. A request is refused at once
when the sum exceeds its remaining time. Reports fade with age: refused requests bring
no new report, so an old one must not refuse for ever. `EndpointAdmission` decides again
at the queue.

Admission over batched stages on the platform follows another rule
(`leadford.forwarding.admission`): it knows the backlogs of all entries and the callers
that return, but not individual endpoints.
"""

import msgspec

from leadford.common import RefusalReason
from leadford.pipelines.config import StageConfig
from leadford.pipelines.routing import EndpointView

# Maximum number of live requests of an entry.
LIVE_REQUESTS_MAX = 4096
# Retry delay of a request that is refused without a forecast.
DEFAULT_RETRY_AFTER_MS = 1_000.0
# Age at which a load report no longer counts and the configured value applies.
REPORT_FADE_S = 2.0


class StageNeed(msgspec.Struct, frozen=True):
    """Describe what one stage needs from its pool."""

    pool: str
    expected_ms: float
    expected_tokens: int = 0

    @classmethod
    def from_config(cls, stage: StageConfig) -> "StageNeed":
        """Return the needs of a configured stage."""
        return cls(stage.pool, stage.expected_ms, stage.expected_tokens)


class PoolForecast(msgspec.Struct, frozen=True):
    """Forecast how soon a pool could finish an attempt.

    Units: milliseconds.
    """

    wait_ms: float
    service_ms: float

    @property
    def finish_ms(self) -> float:
        """Return the sum of wait and service time."""
        return self.wait_ms + self.service_ms


class AdmissionVerdict(msgspec.Struct, frozen=True):
    """Hold whether a request is admitted, and when to retry if not."""

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
    # Refused requests bring no new report, so an old one must not refuse for ever.
    report_weight = max(0.0, 1.0 - (now - report.at_s) / REPORT_FADE_S)
    return need.expected_ms + (reported_ms - need.expected_ms) * report_weight


class EntryAdmission:
    """Admit a request when its predicted finish lies before its deadline.

    `prediction_scale` multiplies the prediction: a value below 1 also admits requests
    that are predicted to be slightly late.
    """

    def __init__(
        self, *, prediction_scale: float = 0.9, live_max: int = LIVE_REQUESTS_MAX
    ) -> None:
        self.prediction_scale = prediction_scale
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
            return AdmissionVerdict(
                RefusalReason.QUEUE_FULL, retry_after_ms=DEFAULT_RETRY_AFTER_MS
            )
        predicted_ms = 0.0
        wait_ms = 0.0
        for forecast in forecasts:
            if forecast is None:
                reason = RefusalReason.NO_ENDPOINT
                return AdmissionVerdict(reason, retry_after_ms=DEFAULT_RETRY_AFTER_MS)
            wait_ms += forecast.wait_ms
            predicted_ms += forecast.finish_ms
        if predicted_ms * self.prediction_scale > remaining_ms:
            excess_ms = predicted_ms * self.prediction_scale - remaining_ms
            retry_after_ms = max(100.0, min(wait_ms, excess_ms))
            return AdmissionVerdict(
                RefusalReason.DEADLINE, predicted_ms, retry_after_ms
            )
        return AdmissionVerdict(None, predicted_ms)
