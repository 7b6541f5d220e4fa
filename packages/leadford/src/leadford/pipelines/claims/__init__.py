"""Claim idempotency keys in the platform's store: a keyed request runs at most once."""

from leadford.pipelines.claims._keys import request_id_for_key, shard_of
from leadford.pipelines.claims._log import (
    ClaimBatch,
    ClaimLog,
    ClaimsFullError,
    ClaimSlot,
    ClaimWrite,
    SlotView,
    decode_slot,
)
from leadford.pipelines.claims._pace import WriteRateLimiter

__all__ = [
    "ClaimBatch",
    "ClaimLog",
    "ClaimSlot",
    "ClaimWrite",
    "ClaimsFullError",
    "SlotView",
    "WriteRateLimiter",
    "decode_slot",
    "request_id_for_key",
    "shard_of",
]
