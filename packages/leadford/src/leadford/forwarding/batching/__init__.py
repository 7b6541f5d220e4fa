"""Plan the stages that run before a request, batching their pieces over requests."""

from leadford.forwarding.batching._backlog import AdmittedBacklog
from leadford.forwarding.batching._backlog_reports import BacklogKey, BacklogSum
from leadford.forwarding.batching._capacity import (
    CapacityTable,
    CapacityUse,
    sum_uses,
)
from leadford.forwarding.batching._endpoint_capacity import (
    NO_ROOM_PAUSE_S,
    QUEUE_FULL_PAUSE_S,
    EndpointCapacity,
)
from leadford.forwarding.batching._filling import FillAction, NextCall, next_call
from leadford.forwarding.batching._given import GivenHandles, read_handle
from leadford.forwarding.batching._graph import PieceGraph, PieceKey, PieceState
from leadford.forwarding.batching._group_map import GroupMap
from leadford.forwarding.batching._groups import (
    GroupId,
    GroupLoad,
    GroupTable,
    PlaceId,
    RegionMap,
    schedulers_in_order,
)
from leadford.forwarding.batching._limits import (
    CALL_INPUTS_READ_S,
    ENGINE_INPUTS_READ_S,
    call_limit_s,
    can_stages_end_in_time,
    engine_fetches_immediately,
    scheduler_limit_at,
    stages_check_at,
)
from leadford.forwarding.batching._policy import (
    CONTENDED_CALLS,
    USUAL_CALLS,
    FillPolicy,
)
from leadford.forwarding.batching._queue import LeftCause, PieceQueue
from leadford.forwarding.batching._remake import (
    ENDPOINT_LOST,
    NO_ENDPOINT_WAIT_S,
    PieceFailure,
    RemakeAction,
    decide_remake,
)
from leadford.forwarding.batching._reserved import RESERVED_FRACTION
from leadford.forwarding.batching._tasks import (
    Chunk,
    PieceTask,
    queue_delay_s,
    request_due_at,
)
from leadford.forwarding.batching._throughput import (
    Throughput,
    ThroughputRate,
    drain_s,
)

__all__ = [
    "CALL_INPUTS_READ_S",
    "CONTENDED_CALLS",
    "ENDPOINT_LOST",
    "ENGINE_INPUTS_READ_S",
    "NO_ENDPOINT_WAIT_S",
    "NO_ROOM_PAUSE_S",
    "QUEUE_FULL_PAUSE_S",
    "RESERVED_FRACTION",
    "USUAL_CALLS",
    "AdmittedBacklog",
    "BacklogKey",
    "BacklogSum",
    "CapacityTable",
    "CapacityUse",
    "Chunk",
    "EndpointCapacity",
    "FillAction",
    "FillPolicy",
    "GivenHandles",
    "GroupId",
    "GroupLoad",
    "GroupMap",
    "GroupTable",
    "LeftCause",
    "NextCall",
    "PieceFailure",
    "PieceGraph",
    "PieceKey",
    "PieceQueue",
    "PieceState",
    "PieceTask",
    "PlaceId",
    "RegionMap",
    "RemakeAction",
    "Throughput",
    "ThroughputRate",
    "call_limit_s",
    "can_stages_end_in_time",
    "decide_remake",
    "drain_s",
    "engine_fetches_immediately",
    "next_call",
    "queue_delay_s",
    "read_handle",
    "request_due_at",
    "scheduler_limit_at",
    "schedulers_in_order",
    "stages_check_at",
    "sum_uses",
]
