"""Define the enumerations that several subpackages share.

They belong to leadford's own interface. Their values appear in its answers, logs,
metrics and configuration, so they must not change. The entry on the users' platform has
enumerations of its own beside its rules (`leadford.forwarding`).
"""

from enum import Enum


class Outcome(Enum):
    """Name how a request ended, as reported to the caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class PoolKind(Enum):
    """Name the kind of the endpoints in a pool."""

    ENGINE = "engine"
    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    SERVICE = "service"


class Objective(Enum):
    """Name what the deployment optimises."""

    ATTAINMENT = "attainment"
    COST = "cost"


class RefusalReason(Enum):
    """Name why work was refused before it started or abandoned afterwards."""

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
    INTERRUPTED = "interrupted"
