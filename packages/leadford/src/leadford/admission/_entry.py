"""Decide at an entry whether a request can finish all its stages in time."""

import msgspec

from leadford.common import RefusalReason
from leadford.routing import EndpointView

LIVE_REQUESTS_MAX = 4096
REPORT_TRUSTED_S = 2.0


class StageNeed(msgspec.Struct, frozen=True):
    """Say what one stage needs of its pool."""

    pool: str
    expected_ms: float
    expected_tokens: int = 0


class PoolForecast(msgspec.Struct, frozen=True):
    """Say how soon a pool could finish an attempt, and how far that is trusted.

    Units: milliseconds; trust falls from 1 to 0 as the report ages.
    """

    wait_ms: float
    service_ms: float
    token_ms: float
    trust: float = 1.0


class AdmissionVerdict(msgspec.Struct, frozen=True):
    """Say whether a request is admitted, and when to come back if not."""

    reason: RefusalReason | None
    predicted_ms: float = 0.0
    retry_after_ms: float = 0.0


def forecast_pool(
    candidates: list[EndpointView], priority: int, now: float
) -> PoolForecast | None:
    """Return the forecast of the least waiting candidate, or None without any."""
    best: PoolForecast | None = None
    for view in candidates:
        report = view.report_
        wait_ms = view.wait_ms(priority, report.service_ms, now)
        if best is not None and best.wait_ms <= wait_ms:
            continue
        trust = max(0.0, 1.0 - (now - report.at_s) / REPORT_TRUSTED_S)
        best = PoolForecast(wait_ms, report.service_ms, report.token_ms, trust)
    return best


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
        needs: list[StageNeed],
        forecasts_by_pool: dict[str, PoolForecast | None],
        *,
        remaining_ms: float,
        live: int,
    ) -> AdmissionVerdict:
        """Return the verdict on a request that has not begun."""
        if live >= self.live_max:
            return AdmissionVerdict(RefusalReason.QUEUE_FULL, retry_after_ms=1000.0)
        predicted_ms = 0.0
        wait_ms = 0.0
        for need in needs:
            forecast = forecasts_by_pool.get(need.pool)
            if forecast is None:
                reason = RefusalReason.NO_ENDPOINT
                return AdmissionVerdict(reason, retry_after_ms=1000.0)
            wait_ms += forecast.wait_ms
            predicted_ms += forecast.wait_ms + self.service_ms(need, forecast)
        if predicted_ms * self.confidence > remaining_ms:
            excess_ms = predicted_ms * self.confidence - remaining_ms
            retry_after_ms = max(100.0, min(wait_ms, excess_ms))
            return AdmissionVerdict(
                RefusalReason.DEADLINE, predicted_ms, retry_after_ms
            )
        return AdmissionVerdict(None, predicted_ms)

    def service_ms(self, need: StageNeed, forecast: PoolForecast) -> float:
        """Return how long a stage would probably run."""
        reported_ms = forecast.service_ms
        if need.expected_tokens:
            reported_ms = forecast.token_ms * need.expected_tokens
        if reported_ms <= 0:
            return need.expected_ms
        # Refused work brings no new report, so an old one must not refuse for ever.
        excess_ms = reported_ms - need.expected_ms
        return need.expected_ms + excess_ms * forecast.trust
