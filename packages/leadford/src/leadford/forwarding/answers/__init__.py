"""Decide the response to a caller that gets no endpoint's answer."""

from leadford.forwarding.answers._final import (
    RETRY_AFTER_S,
    STOPPING_RETRY_AFTER_S,
    EndReason,
    FinalAnswer,
    RequestOutcome,
    final_answer,
    may_pass_on,
    quarantined_text,
)

__all__ = [
    "RETRY_AFTER_S",
    "STOPPING_RETRY_AFTER_S",
    "EndReason",
    "FinalAnswer",
    "RequestOutcome",
    "final_answer",
    "may_pass_on",
    "quarantined_text",
]
