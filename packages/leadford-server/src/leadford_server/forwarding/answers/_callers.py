"""Receive one request of a caller and write its answer, byte for byte.

A request that exceeds the limits of the configuration is rejected here, and one that
the memory has no room for is refused, before any decision is made; all others go to
`serve` of the server. Relies on tornado's HTTP/1 server for framing.
"""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING

from returns.result import Failure
from tornado import httputil, iostream
from tornado.http1connection import HTTP1Connection

from leadford.common import RequestId
from leadford.forwarding.answers import (
    EndReason,
    FinalAnswer,
    RequestOutcome,
    final_answer,
)
from leadford.forwarding.memory import HeldCause, MemoryRefusal
from leadford_server.forwarding._contract import (
    HeaderList,
    InboundRequest,
)
from leadford_server.forwarding._framing import (
    announced_bytes,
    head_bytes,
    is_readable,
    unsent_bytes,
    write_head,
)
from leadford_server.forwarding._memory import HeldBytes
from leadford_server.forwarding.answers._caller_connection import (
    CallerConnection,
    CloseCause,
)
from leadford_server.forwarding.answers._unsent import UnsentAnswer

if TYPE_CHECKING:
    from leadford_server.forwarding.answers._caller_server import CallerServer

STATUS_BODY_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class CallerDisconnected(Exception):
    """Signal that the caller closed its connection."""


class CallerExchange(httputil.HTTPMessageDelegate):
    """Hold one request of a caller and its answer."""

    def __init__(
        self,
        *,
        connection: HTTP1Connection,
        caller: CallerConnection,
        server: "CallerServer",
    ) -> None:
        self.connection = connection
        self.caller = caller
        self.server = server
        # Since when the connection waits for this request, in seconds of the monotonic
        # clock.
        self.awaited_since = asyncio.get_running_loop().time()
        self.request_: InboundRequest | None = None
        self.chunks_: list[bytes] = []
        self.body_bytes_ = 0
        self.task_: asyncio.Task[None] | None = None
        # Whether the task took its first step, and whether the answer has begun.
        self.is_served_ = False
        self.has_begun_ = False
        self.is_over_ = False
        # Whether the head of the answer announced that the connection is closed.
        self.closes_ = False
        # Set when the final answer is written before the body has arrived; the rest of
        # the body is read and dropped.
        self.is_refused_ = False
        # When the caller must have its answer, in seconds of the monotonic clock; set
        # when the request is served.
        self.due_at_ = 0.0
        self.held_body_: HeldBytes | None = None

    @property
    def request_id(self) -> RequestId:
        """Return the id of the request, whose head has arrived."""
        return self.request_.request_id

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Record the head of the request."""
        now = asyncio.get_running_loop().time()
        self.request_ = self.server.codec.read_request(
            start_line.method, start_line.path, list(headers.get_all()), now
        )
        limits = self.server.limits_
        if head_bytes(start_line, headers) > limits.header_bytes:
            self._deny(STATUS_HEAD_TOO_LARGE)
            return
        body_bytes = announced_bytes(headers)
        if body_bytes > limits.body_bytes:
            self._deny(STATUS_BODY_TOO_LARGE)
            return
        memory = self.server.memory
        admitted = memory.admit(body_bytes)
        if isinstance(admitted, Failure):
            self._refuse(admitted.failure(), sends_body="Expect" not in headers)
            return
        self.server.exchanges_.add(self)
        self.held_body_ = memory.hold(
            HeldCause.REQUEST_BODY, self.cut_off, self._refresh_body
        )
        self.held_body_.set(body_bytes)

    def data_received(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.body_bytes_ += len(chunk)
        if self.is_over_ or self.is_refused_:
            return
        if self.body_bytes_ > self.server.limits_.body_bytes:
            self.chunks_.clear()
            self.server.exchanges_.discard(self)
            self._deny(STATUS_BODY_TOO_LARGE)
            self._release_body()
            return
        self.held_body_.record_progress()
        if self.body_bytes_ > self.held_body_.count:
            # The head did not announce the length of the body.
            admitted = self.server.memory.admit(len(chunk))
            if isinstance(admitted, Failure):
                self.chunks_.clear()
                self.server.exchanges_.discard(self)
                self._refuse(admitted.failure(), sends_body=True)
                self._release_body()
                return
            self.held_body_.set(self.body_bytes_)
        self.chunks_.append(chunk)

    def _refuse(self, refusal: MemoryRefusal, *, sends_body: bool) -> None:
        """Refuse a request that there is no memory for, before its body is read.

        `sends_body` is true if the caller sends the body without waiting for an answer.
        Then the body is read and dropped: closing a connection with unread bytes resets
        it, and the caller could lose the answer.
        """
        answer = final_answer(
            EndReason.MEMORY,
            may_have_run=False,
            has_begun=False,
            retry_after_s=refusal.retry_after_s,
        )
        headers = self.server.codec.refusal_headers(answer.retry_after_s)
        if sends_body:
            self.is_refused_ = True
            lines = self._headers(headers)
            lines["Content-Length"] = "0"
            self._write_head(answer.status, "", lines, b"")
        else:
            self.answer(answer.status, headers)
        self.server.reports.refused(self, refusal, answer)

    def _deny(self, status: int) -> None:
        """Reject a request that exceeds the limits before it is complete."""
        self.answer(status, self.server.codec.refusal_headers(None))
        self.server.reports.denied(self, status)

    def finish(self) -> None:
        """Record that the request is complete, and serve it.

        A request that was read just before its connection closed is dropped, because
        its answer could not be delivered.
        """
        if self.caller.is_closed:
            self.on_connection_close()
            return
        if self.is_refused_:
            self._end()
            return
        self.held_body_.end_wait_for_caller()
        self.request_.body = b"".join(self.chunks_)
        self.chunks_.clear()
        self.connection.set_close_callback(self._on_caller_disconnected)
        self.task_ = asyncio.ensure_future(self.server.serve(self))
        self.task_.add_done_callback(self._on_served)

    def on_connection_close(self) -> None:
        """Record that the caller disconnected before the request was complete."""
        self.is_over_ = True
        self.server.exchanges_.discard(self)
        self._release_body()

    def _on_caller_disconnected(self) -> None:
        self.caller.record_lost()
        if self.task_ is not None and not self.is_over_:
            self.task_.cancel()

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self.server.exchanges_.discard(self)
        self._release_body()
        if not self.is_over_:
            self._end_unserved()
        if not task.cancelled() and task.exception() is not None:
            self.server.reports.faulty(self, task.exception())

    def _end_unserved(self) -> None:
        """End a request whose task was cancelled before its first step."""
        reason = EndReason.CALLER_GONE
        answer = FinalAnswer(RequestOutcome.CALLER_GONE, 0)
        if self.caller.is_closed:
            self.abort()
        else:
            reason = EndReason.INTERRUPTED
            answer = final_answer(
                reason, may_have_run=self.is_served_, has_begun=self.has_begun_
            )
            headers = self.server.codec.refusal_headers(answer.retry_after_s)
            self.answer(answer.status, headers)
        self.server.reports.unserved(self, reason, answer)

    def answer(
        self, status: int, headers: HeaderList, body: bytes = b"", reason: str = ""
    ) -> None:
        """Write a complete answer."""
        if self.is_over_:
            return
        lines = self._headers(headers)
        if status not in (204, 304):
            lines["Content-Length"] = str(len(body))
        self._write_head(status, reason, lines, body)
        self._end()
        self._follow_unsent(self.due_at_)

    def begin(self, status: int, headers: HeaderList, reason: str = "") -> None:
        """Write the head of an answer of unknown length."""
        self.has_begun_ = True
        self._write_head(status, reason, self._headers(headers), b"")

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until the caller accepts it.

        Errors: raises CallerDisconnected when the connection is closed.
        """
        try:
            written = self.connection.write(data)
            unsent = self._follow_unsent()
            try:
                await written
            finally:
                if unsent is not None:
                    unsent.release()
        except iostream.StreamClosedError as error:
            raise CallerDisconnected from error

    def _follow_unsent(self, due_at: float | None = None) -> UnsentAnswer | None:
        """Account for bytes that are written but not sent; None if there are none."""
        stream = self.caller.stream
        if not unsent_bytes(stream):
            return None
        unsent = UnsentAnswer(
            memory=self.server.memory,
            stream=stream,
            cut_off=self.cut_off,
            due_at=due_at,
        )
        self.server.unsent_answers_.append(unsent)
        return unsent

    def cut_off(self) -> None:
        """Close the connection of a caller that does not send or read."""
        self.server.reports.cut_off(self, unsent_bytes(self.caller.stream))
        self.caller.close(CloseCause.STALLED)
        # Closing the connection here does not end a task that waits to write to it.
        self._on_caller_disconnected()
        self.abort()

    def _refresh_body(self) -> None:
        """Record that more of the body has arrived, if it waits to be read."""
        if not self.caller.is_closed and is_readable(self.caller.stream):
            self.held_body_.record_progress()

    def _release_body(self) -> None:
        """Record that the body of the request is no longer held."""
        if self.held_body_ is not None:
            self.held_body_.release()

    def end(self) -> None:
        """End an answer of unknown length."""
        self._end()

    def abort(self) -> None:
        """Close the connection at once, so that the answer does not look complete."""
        self.is_over_ = True
        self.caller.close(CloseCause.BROKEN_OFF)
        self.connection.close()

    def _headers(self, headers: HeaderList) -> httputil.HTTPHeaders:
        lines = httputil.HTTPHeaders()
        for name, value in headers:
            lower = name.lower()
            if lower in CONNECTION_HEADERS or lower == "content-length":
                continue
            lines.add(name, value)
        if self.server.closes_connections():
            lines["Connection"] = "close"
            self.connection.no_keep_alive = True
            self.closes_ = True
        return lines

    def _write_head(
        self, status: int, reason: str, lines: httputil.HTTPHeaders, body: bytes
    ) -> None:
        if not reason:
            reason = _reason(status)
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        write_head(self.connection, start_line, lines, body)

    def _end(self) -> None:
        self.is_over_ = True
        closes = self.closes_ or self.server.is_draining()
        self.connection.finish()
        if closes:
            # Bytes that are already written are sent before the close.
            self.server.close_soon(self.caller)


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
