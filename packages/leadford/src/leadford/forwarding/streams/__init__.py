"""Decide where a stream that broke off may go on, and who knows that."""

from leadford.forwarding.streams._ledger import OriginLedger
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
    "origin_replicas",
    "sole_horizon_s",
]
