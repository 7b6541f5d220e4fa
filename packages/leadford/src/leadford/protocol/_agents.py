"""Messages between an entry and an agent of leadford's own interface.

An entry submits attempts of stages and receives their tokens; the agent beside the
endpoint reports the load of the endpoint and the models that it holds.
"""

from enum import Enum

from leadford.protocol._base import MessageBase


class ClassLoad(MessageBase):
    """Report the expected service time that waits in one priority class.

    Units: ahead_ms in milliseconds.
    """

    priority: int
    ahead_ms: float


class HeldModel(MessageBase):
    """Name a model version that an engine holds."""

    model: str
    version: str


class Load(MessageBase, tag=5):
    """Report the load of an agent's endpoint.

    Units: service_ms in milliseconds per attempt, token_ms in milliseconds per token.
    """

    queued: int
    running: int
    tokens_in_flight: int
    service_ms: float
    token_ms: float
    concurrency: int
    classes: list[ClassLoad] = []
    models: list[HeldModel] = []


class Draining(MessageBase, tag=6):
    """Announce that the sender accepts no new work."""

    reason: str


class Submit(MessageBase, tag=7):
    """Ask an agent to run one attempt of one stage.

    Units: remaining_ms in milliseconds from receipt; credit in tokens.
    """

    request_id: str
    stage: str
    attempt: int
    pipeline: str
    workspace: str
    priority: int
    remaining_ms: float
    repeatable: bool
    stream: bool
    credit: int
    body: bytes
    previous: bytes = b"null"
    expected_tokens: int = 0
    prefix: str = ""
    final: bool = False
    tail_ms: float = 0.0
    model: str = ""


class Refused(MessageBase, tag=8):
    """Refuse an attempt; `begun` is false only if nothing reached the endpoint."""

    request_id: str
    stage: str
    attempt: int
    reason: str
    begun: bool
    retry_after_ms: float = 0.0
    load: Load | None = None


class TokenPart(MessageBase):
    """Carry the new tokens of one stream."""

    request_id: str
    stage: str
    attempt: int
    sequence: int
    texts: list[str]
    model_version: str = ""


class Tokens(MessageBase, tag=9):
    """Carry the new tokens of many streams, collected over one tick."""

    parts: list[TokenPart]


class DoneStatus(Enum):
    """Say how an attempt ended at its endpoint."""

    OK = 1
    FAILED = 2
    TIMED_OUT = 3
    CANCELLED = 4


class Done(MessageBase, tag=10):
    """End an attempt; `sequence` is the number of tokens sent before this message.

    `endpoint_ended` is true if the endpoint closed the connection during the attempt.
    """

    request_id: str
    stage: str
    attempt: int
    status: DoneStatus
    sequence: int
    result: bytes
    service_ms: float
    queue_ms: float
    prefill_tokens: int = 0
    cached_tokens: int = 0
    error: str = ""
    load: Load | None = None
    model_version: str = ""
    endpoint_ended: bool = False


class Ack(MessageBase, tag=11):
    """Allow an agent to release a result that it keeps."""

    request_id: str
    stage: str
    attempt: int


class Credit(MessageBase, tag=12):
    """Allow a stream to send more tokens."""

    request_id: str
    stage: str
    attempt: int
    tokens: int


class Cancel(MessageBase, tag=13):
    """Cancel an attempt whose result is no longer needed."""

    request_id: str
    stage: str
    attempt: int


class Attach(MessageBase, tag=14):
    """Take over a kept or running attempt from a sequence on."""

    request_id: str
    stage: str
    attempt: int
    from_sequence: int
    credit: int
    workspace: str


class NotHeld(MessageBase, tag=15):
    """Answer an `Attach` or a lookup for an attempt that the agent does not hold."""

    request_id: str
    stage: str
    attempt: int


class PlanOrder(MessageBase, tag=28):
    """Tell an agent which models its engine must hold; older fences are ignored."""

    pool: str
    fence: int
    models: list[HeldModel]
