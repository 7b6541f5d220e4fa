"""Hold the enumerations that several subpackages share.

They belong to leadford's own interface and stand in its answers, logs, metrics and
configuration, so that their values stay. The entry on the users' platform has its own,
beside its rules (`leadford.forwarding`).
"""

from enum import Enum


class Outcome(Enum):
    """Say how a request ended, as the caller is told it."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PoolKind(Enum):
    """Say what kind of endpoint stands in a pool."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    SERVICE = "service"


class Objective(Enum):
    """Say what the deployment optimises."""

    ATTAINMENT = "attainment"
    COST = "cost"


class RefusalReason(Enum):
    """Say why work was refused before it began or given up afterwards."""

    DEADLINE = "deadline"
    QUEUE_FULL = "queue-full"
    DRAINING = "draining"
    NO_ENDPOINT = "no-endpoint"
    STORE_UNAVAILABLE = "store-unavailable"
    CLAIMS_FULL = "claims-full"
    ALREADY_CLAIMED = "already-claimed"
    KEY_EXPIRED = "key-expired"
    ENDPOINT_ERROR = "endpoint-error"
    ENDPOINT_LOST = "endpoint-lost"
    RETRY_BUDGET = "retry-budget"
    CANCELLED = "cancelled"
    PAUSED = "paused"
    NOT_READY = "not-ready"
    NOT_FOUND = "not-found"
    BAD_REQUEST = "bad-request"
    QUARANTINED = "quarantined"
