"""Say what forwarding needs from an adapter to a platform's wire.

An adapter turns names and formats into these messages and back. It decides nothing.
"""

from enum import Enum
from typing import Protocol

import msgspec
from returns.result import Result

from leadford.common import EndpointId, RequestId
from leadford.forwarding.batching import PieceTask
from leadford.forwarding.endpoints import (
    Backpressure,
    PromptShape,
    ReportedLoad,
)
from leadford.forwarding.routes import ResultHandle

# Statuses from the first up to the second say that a request was served.
STATUS_SUCCESS = 200
STATUS_NO_SUCCESS = 300

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
    last_event_id: int | None = None
    piece_counts: tuple[int, ...] | None = None
    # Tells the pieces of this request that read nothing from those of others.
    request_key: str = ""
    prompt: PromptShape = PromptShape((), 0)
    tokens_out: int = 0
    body: bytes = b""
    fault: str = ""

    @property
    def fingerprint(self) -> str:
        """Return what tells that two requests are the same one sent again."""
        return f"{self.request_key}/{self.prompt.own_part}"

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.split("?", 1)[0]


class ForwardCall(msgspec.Struct, frozen=True):
    """Hold what is set on a request when it goes to an endpoint.

    Units: remaining_ms is what is left of the caller's time.
    """

    # The start of an endpoint that is meant; another process at its address refuses.
    endpoint_id: EndpointId
    remaining_ms: float | None
    workspace: str | None
    priority: int | None = None
    inputs: tuple[ResultHandle, ...] = ()
    last_event_id: int | None = None
    model_version: int | None = None


class OutboundRequest(msgspec.Struct, frozen=True):
    """Hold a request as it goes to an endpoint."""

    method: str
    target: str
    headers: HeaderList
    body: bytes = b""


class NotRunCause(Enum):
    """Say why an endpoint did not run a request or a call, as its answer tells.

    REPLACED: another process has the address now. INPUTS_GONE: a result that the
    request reads is not there any more. REFUSED: anything else, such as full queues.
    """

    REPLACED = "replaced"
    INPUTS_GONE = "inputs-gone"
    REFUSED = "refused"


class AnswerHead(msgspec.Struct, frozen=True):
    """Hold the head of an endpoint's answer and what its headers say.

    `not_run` is None where the request may have run.

    Units: rest_s is how long the endpoint keeps the idle connection.
    """

    status: int
    reason: str
    headers: HeaderList
    request_id: RequestId | None
    not_run: NotRunCause | None
    is_encoded: bool
    is_signed: bool
    closes: bool
    rest_s: float | None
    load: ReportedLoad | None
    model_version: int | None
    backpressure: Backpressure = Backpressure()

    @property
    def fault(self) -> str:
        """Return why the answer may not be passed on; empty if it may."""
        if self.is_encoded:
            return "encoded body"
        if STATUS_SUCCESS <= self.status < STATUS_NO_SUCCESS and not self.is_signed:
            return "success without a signature"
        return ""

    @property
    def is_not_run(self) -> bool:
        """Tell whether the endpoint said that it did not run the request."""
        return self.not_run is not None


class PieceOutcome(msgspec.Struct, frozen=True):
    """Hold what became of one piece: a result, or why there is none."""

    handle: ResultHandle | None
    reason: str = ""


class RequestCodec(Protocol):
    """Read and write the messages between callers, entries and endpoints."""

    ready_path: str
    # To a caller these say that nothing ran.
    not_run_statuses: frozenset[int]

    def read_request(
        self, method: str, target: str, headers: HeaderList, now: float
    ) -> InboundRequest:
        """Return a caller's request; `fault` says what is wrong with its head."""

    def forward(self, request: InboundRequest, call: ForwardCall) -> OutboundRequest:
        """Return the request for an endpoint."""

    def read_answer(self, status: int, reason: str, headers: HeaderList) -> AnswerHead:
        """Return the head of an endpoint's answer."""

    def refusal(self, retry_after_s: float | None) -> HeaderList:
        """Return the headers of an own answer that refuses."""

    def piece_call(
        self, tasks: list[PieceTask], instance: EndpointId, now: float
    ) -> OutboundRequest:
        """Return the call that makes pieces at an endpoint."""

    def read_pieces(self, body: bytes) -> Result[list[PieceOutcome], str]:
        """Return what became of the pieces of a call, in order."""

    def free_call(
        self, handles: list[ResultHandle], instance: EndpointId
    ) -> OutboundRequest:
        """Return the call that release results."""
