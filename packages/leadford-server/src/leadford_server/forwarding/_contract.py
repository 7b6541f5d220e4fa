"""Define what forwarding needs from an adapter to a platform's wire format.

An adapter translates names and formats into these messages and back. It decides
nothing.
"""

from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from leadford.common import EndpointId, RequestId
from leadford.forwarding.batching import PieceTask
from leadford.forwarding.endpoints import (
    Backpressure,
    EndpointReport,
    PromptShape,
)
from leadford.forwarding.routes import ResultHandle

# Statuses from the first up to, but not including, the second mean success.
STATUS_SUCCESS = 200
STATUS_SUCCESS_END = 300

HeaderList = list[tuple[str, str]]


class InboundRequest(msgspec.Struct):
    """Hold a request as the caller sent it, and what its headers say.

    Units: deadline_ms counts from the caller's sending; received_at is in seconds of
    the monotonic clock, when the head was read.
    """

    method: str
    target: str
    host: str
    headers: HeaderList
    received_at: float
    request_id: RequestId
    api_key: str | None = None
    deadline_ms: float | None = None
    # The last event of a stream that the caller resumes, and the id of the
    # request that brought its first event.
    last_event_id: int | None = None
    resumed_id: RequestId | None = None
    piece_counts: tuple[int, ...] | None = None
    # Distinguishes pieces without inputs of this request from those of others.
    request_key: str = ""
    prompt: PromptShape = PromptShape((), 0)
    tokens_out: int = 0
    body: bytes = b""
    fault: str = ""

    @property
    def fingerprint(self) -> str:
        """Return a value that is the same when a request is sent again."""
        return f"{self.request_key}/{self.prompt.last_part_id}"

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split("?", 1)[0]


class ForwardCall(msgspec.Struct, frozen=True):
    """Hold what this entry sets on a request that it sends to an endpoint.

    Units: remaining_ms is the time left until the caller's deadline.
    """

    # Identifies one start of an endpoint; another process at its address refuses.
    endpoint_id: EndpointId
    remaining_ms: float | None
    workspace: str | None
    priority: int | None = None
    inputs: tuple[ResultHandle, ...] = ()
    last_event_id: int | None = None
    model_version: int | None = None


class OutboundRequest(msgspec.Struct, frozen=True):
    """Hold a request as it is sent to an endpoint."""

    method: str
    target: str
    headers: HeaderList
    body: bytes = b""


class NotRunCause(Enum):
    """Tell why an endpoint did not run a request or a call, according to its answer.

    REPLACED: another process has the address now. INPUTS_GONE: a result that the
    request reads no longer exists. REFUSED: anything else, such as full queues.
    """

    REPLACED = "replaced"
    INPUTS_GONE = "inputs-gone"
    REFUSED = "refused"


class AnswerHead(msgspec.Struct, frozen=True):
    """Hold the head of an endpoint's answer and what its headers say.

    `not_run` is None where the request may have run.

    Units: idle_timeout_s is how long the endpoint keeps the idle connection.
    """

    status: int
    reason: str
    headers: HeaderList
    request_id: RequestId | None
    not_run: NotRunCause | None
    is_encoded: bool
    is_signed: bool
    closes_connection: bool
    idle_timeout_s: float | None
    report: EndpointReport | None
    model_version: int | None
    backpressure: Backpressure = Backpressure()

    @property
    def fault(self) -> str:
        """Return why the answer may not be passed on; empty if it may."""
        if self.is_encoded:
            return "encoded body"
        if STATUS_SUCCESS <= self.status < STATUS_SUCCESS_END and not self.is_signed:
            return "success without a signature"
        return ""

    @property
    def is_not_run(self) -> bool:
        """Tell whether the endpoint said that it did not run the request."""
        return self.not_run is not None


class PieceOutcome(msgspec.Struct, frozen=True):
    """Hold the outcome of one piece: a result, or why there is none."""

    handle: ResultHandle | None
    reason: str = ""


class RequestCodec(Protocol):
    """Read and write the messages between callers, entries and endpoints."""

    ready_path: str
    # Statuses that tell a caller that nothing ran.
    not_run_statuses: frozenset[int]

    def read_request(
        self, method: str, target: str, headers: HeaderList, now: float
    ) -> InboundRequest:
        """Return a caller's request; `fault` says what is wrong with its head."""

    def forward(self, request: InboundRequest, call: ForwardCall) -> OutboundRequest:
        """Return the request for an endpoint."""

    def read_answer(self, status: int, reason: str, headers: HeaderList) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    def refusal_headers(self, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an answer by which this entry refuses a request."""

    def piece_call(
        self, tasks: list[PieceTask], instance: EndpointId, now: float
    ) -> OutboundRequest:
        """Return the call that makes pieces at an endpoint."""

    def read_pieces(self, body: bytes) -> Result[list[PieceOutcome], str]:
        """Return the outcomes of the pieces of a call, in order."""

    def release_call(
        self, handles: list[ResultHandle], instance: EndpointId
    ) -> OutboundRequest:
        """Return the call that releases results."""
