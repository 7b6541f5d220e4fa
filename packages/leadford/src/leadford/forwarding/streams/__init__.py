"""Decide where a stream that broke off may go on, and who knows that."""

from leadford.forwarding.streams._coverage import knows_all_streams
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S, OriginLedger
from leadford.forwarding.streams._origin import (
    StreamContent,
    StreamKey,
    StreamOrigin,
    agreed_origin,
)
from leadford.forwarding.streams._replicas import REPLICA_COUNT, origin_replicas
from leadford.forwarding.streams._software import (
    MIN_SOLE_S,
    SoftwareHistory,
    SoleSoftware,
    agreed_software,
    sole_horizon_s,
)

__all__ = [
    "MAX_ORIGIN_AGE_S",
    "REPLICA_COUNT",
    "MIN_SOLE_S",
    "OriginLedger",
    "SoftwareHistory",
    "SoleSoftware",
    "StreamContent",
    "StreamKey",
    "StreamOrigin",
    "agreed_origin",
    "agreed_software",
    "knows_all_streams",
    "origin_replicas",
    "sole_horizon_s",
]
