"""Ids, states, registries, checks and estimates that all other subpackages use."""

from leadford.common._checks import check_fraction, check_positive
from leadford.common._estimates import EventRate, Ewma, TokenBucket
from leadford.common._hashing import rendezvous_order, rendezvous_weight, stable_hash
from leadford.common._ids import (
    AttemptNumber,
    CommandId,
    ConfigVersion,
    EndpointId,
    EntryId,
    HallId,
    HostId,
    PipelineId,
    PoolId,
    RequestId,
    StageId,
    WorkspaceId,
)
from leadford.common._json import decode_json, parse_json
from leadford.common._numbers import parse_amount, parse_count
from leadford.common._packing import decode_as, pack, unpack
from leadford.common._registry import Registry, UnknownVariantError
from leadford.common._states import Objective, Outcome, PoolKind, RefusalReason

__all__ = [
    "AttemptNumber",
    "CommandId",
    "ConfigVersion",
    "EndpointId",
    "EntryId",
    "EventRate",
    "Ewma",
    "HallId",
    "HostId",
    "Objective",
    "Outcome",
    "PipelineId",
    "PoolId",
    "PoolKind",
    "RefusalReason",
    "Registry",
    "RequestId",
    "StageId",
    "TokenBucket",
    "UnknownVariantError",
    "WorkspaceId",
    "check_fraction",
    "check_positive",
    "decode_as",
    "decode_json",
    "pack",
    "parse_amount",
    "parse_count",
    "parse_json",
    "rendezvous_order",
    "rendezvous_weight",
    "stable_hash",
    "unpack",
]
