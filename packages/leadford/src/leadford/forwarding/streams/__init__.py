"""Decide where a stream that broke off may go on, and who knows that."""

from leadford.forwarding.streams._coverage import knows_all_streams
from leadford.forwarding.streams._ledger import MAX_ORIGIN_AGE_S, OriginLedger
from leadford.forwarding.streams._origin import (
    StreamContent,
    StreamKey,
    StreamOrigin,
    agreed_origin,
)
from leadford.forwarding.streams._overlap import (
    RecordedStreams,
    recordable_ids,
    write_interval_s,
)
from leadford.forwarding.streams._recorded import (
    NO_VERSIONS,
    RecordedSoftware,
    SeenSoftware,
    extended_record,
    longest_timeout_s,
    recorded_wait_s,
    stream_routes_key,
)
from leadford.forwarding.streams._replicas import REPLICA_COUNT, origin_replicas
from leadford.forwarding.streams._shortening import RecordAges
from leadford.forwarding.streams._software import (
    MIN_SOLE_S,
    SoftwareHistory,
    SoleSoftware,
    confirmed_software,
    sole_horizon_s,
)

__all__ = [
    "MAX_ORIGIN_AGE_S",
    "NO_VERSIONS",
    "REPLICA_COUNT",
    "MIN_SOLE_S",
    "OriginLedger",
    "RecordAges",
    "RecordedSoftware",
    "RecordedStreams",
    "SeenSoftware",
    "SoftwareHistory",
    "SoleSoftware",
    "StreamContent",
    "StreamKey",
    "StreamOrigin",
    "agreed_origin",
    "confirmed_software",
    "extended_record",
    "knows_all_streams",
    "longest_timeout_s",
    "origin_replicas",
    "recordable_ids",
    "recorded_wait_s",
    "sole_horizon_s",
    "stream_routes_key",
    "write_interval_s",
]
