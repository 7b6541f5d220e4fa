"""The metrics that processes expose to Prometheus."""

from leadford_server.metrics._metrics import (
    ATTEMPTS_TOTAL,
    COST_MS_TOTAL,
    EVENTS_TOTAL,
    FIRST_TOKEN_SECONDS,
    LIVE_REQUESTS,
    PEER_BYTES_TOTAL,
    PEER_FRAMES_TOTAL,
    QUEUED_ATTEMPTS,
    REQUEST_SECONDS,
    REQUESTS_TOTAL,
    RETRIES_TOTAL,
    RUNNING_ATTEMPTS,
    STORE_CALLS_TOTAL,
    STRAYS_TOTAL,
    TOKENS_TOTAL,
    MetricsHandler,
)

__all__ = [
    "ATTEMPTS_TOTAL",
    "COST_MS_TOTAL",
    "EVENTS_TOTAL",
    "FIRST_TOKEN_SECONDS",
    "LIVE_REQUESTS",
    "PEER_BYTES_TOTAL",
    "PEER_FRAMES_TOTAL",
    "QUEUED_ATTEMPTS",
    "REQUESTS_TOTAL",
    "REQUEST_SECONDS",
    "RETRIES_TOTAL",
    "RUNNING_ATTEMPTS",
    "STORE_CALLS_TOTAL",
    "STRAYS_TOTAL",
    "TOKENS_TOTAL",
    "MetricsHandler",
]
