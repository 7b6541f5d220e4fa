"""Collect the answer of an endpoint as it arrives.

`BreakKind` says how far a failed exchange may have progressed; whether a request may be
sent again depends on it. Relies on tornado's HTTP/1 connection for framing, which reads
no further while the future that `data_received` returns is open.
"""

import asyncio
from collections.abc import Callable
from enum import Enum

import msgspec
from tornado import httputil

from leadford.forwarding.endpoints import EndpointFailure, StatusKind, status_kind
from leadford.forwarding.memory import HeldCause
from leadford_server.forwarding._contract import AnswerHead, RequestCodec
from leadford_server.forwarding._memory import HeldBytes, HeldMemory

# Events that are read ahead of the relay, where the settings limit no memory.
MAX_READ_AHEAD_BYTES = 1024 * 1024


class BreakKind(Enum):
    """List how far a failed exchange may have progressed.

    NOT_SENT: no connection was made. LOST: the request may have run, but no complete
    answer arrived in time. INVALID_ANSWER: the answer is invalid or answers another
    request.
    """

    NOT_SENT = "not-sent"
    LOST = "lost"
    INVALID_ANSWER = "spoiled"


class ExchangeBroken(Exception):
    """Signal that an exchange ended without a valid and complete answer."""

    def __init__(self, kind: BreakKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def endpoint_failure(self) -> EndpointFailure:
        """Return what the end shows about the endpoint."""
        if self.kind is BreakKind.INVALID_ANSWER:
            return EndpointFailure.INVALID_ANSWER
        return EndpointFailure.LOST


class AnswerReader(httputil.HTTPMessageDelegate):
    """Collect one answer as it arrives, and pause while no more bytes may be held.

    What `take` returned counts as held until `take` is called again or the exchange
    ends, because the caller may not have read it yet. `on_pause` is called when a pause
    begins.
    """

    def __init__(
        self,
        *,
        codec: RequestCodec,
        memory: HeldMemory | None = None,
        on_pause: Callable[[], None] = lambda: None,
    ) -> None:
        self.codec = codec
        self.memory = memory
        self.on_pause = on_pause
        self.held_: HeldBytes | None = None
        self.max_unread_bytes_: int | None = None
        self.pause_end_: asyncio.Future[None] | None = None
        self.paused_at_ = 0.0
        self.longest_pause_s_ = 0.0
        self.head_: AnswerHead | None = None
        self.chunks_: list[bytes] = []
        self.body_bytes_ = 0
        self.max_body_bytes_: int | None = None
        self.is_body_kept_ = True
        self.is_complete_ = False
        self.is_broken_ = False
        # Why the head makes no answer, None if it does.
        self.rejection_: str | None = None
        self.is_framed_ = True
        self.changed_ = asyncio.Event()

    def headers_received(
        self, start_line: httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Record the head; skip interim answers, and reject one that is no answer."""
        kind = status_kind(start_line.code)
        if kind is StatusKind.INTERIM:
            return
        if kind is StatusKind.INVALID:
            self.rejection_ = f"status {start_line.code}"
            self.is_broken_ = True
            self.changed_.set()
            return
        self.is_framed_ = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.head_ = self.codec.read_answer(
            start_line.code, start_line.reason, list(headers.get_all())
        )
        self.changed_.set()

    def data_received(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Record a part of the body; return the end of the pause, if one begins."""
        self.body_bytes_ += len(chunk)
        self._check_length()
        if self.is_too_long or not self.is_body_kept_:
            return None
        self.chunks_.append(chunk)
        self.changed_.set()
        if self.memory is None:
            return None
        if self.held_ is None:
            self.held_ = self.memory.hold(HeldCause.ANSWER)
        self.held_.add(len(chunk))
        return None if self._may_read() else self._pause()

    def limit_body(self, max_bytes: int, *, is_kept: bool = True) -> None:
        """Break the answer off if its body is longer; drop a body that is not kept."""
        self.max_body_bytes_ = max_bytes
        self.is_body_kept_ = is_kept
        if not is_kept:
            self.chunks_.clear()
            self.release()
        self._check_length()

    @property
    def is_too_long(self) -> bool:
        """Return whether the body is longer than it may be."""
        limit = self.max_body_bytes_
        return limit is not None and self.body_bytes_ > limit

    def _check_length(self) -> None:
        if self.is_too_long:
            self.is_broken_ = True
            self.changed_.set()

    def read_as_stream(self, max_unread_bytes: int) -> None:
        """Bound how far the events of a stream are read ahead of the caller."""
        if self.memory is None:
            return
        self.max_unread_bytes_ = max_unread_bytes
        held = self.memory.hold(HeldCause.UNREAD_EVENTS)
        if self.held_ is not None:
            held.set(self.held_.count)
            self.held_.release()
        self.held_ = held

    def _may_read(self) -> bool:
        is_stream = self.max_unread_bytes_ is not None
        if is_stream and self.held_.count >= MAX_READ_AHEAD_BYTES:
            return False
        return self.held_.may_read(self.max_unread_bytes_)

    def _pause(self) -> asyncio.Future[None]:
        loop = asyncio.get_running_loop()
        self.pause_end_ = loop.create_future()
        self.paused_at_ = loop.time()
        self.memory.wait_for_room(self._resume)
        self.on_pause()
        return self.pause_end_

    def _resume(self) -> bool:
        """Read on if that is allowed now; return whether reading goes on."""
        if self.pause_end_ is None or not self._may_read():
            return False
        self._end_pause()
        return True

    def _end_pause(self) -> None:
        pause_end, self.pause_end_ = self.pause_end_, None
        if pause_end is None:
            return
        self.longest_pause_s_ = max(self.longest_pause_s_, self._current_pause_s())
        self.memory.end_wait(self._resume)
        if not pause_end.done():
            pause_end.set_result(None)

    def _current_pause_s(self) -> float:
        return asyncio.get_running_loop().time() - self.paused_at_

    @property
    def unread_s(self) -> float:
        """Return the duration of the longest pause, including one that lasts.

        Units: seconds.
        """
        if self.pause_end_ is None:
            return self.longest_pause_s_
        return max(self.longest_pause_s_, self._current_pause_s())

    def release(self) -> None:
        """Record that nothing of the answer is held any more."""
        self._end_pause()
        if self.held_ is not None:
            self.held_.release()

    def finish(self) -> None:
        """Record that the answer is complete according to its framing."""
        self.is_complete_ = True
        self.changed_.set()

    def on_connection_close(self) -> None:
        """Record that the connection closed within the answer."""
        self.is_broken_ = True
        self.changed_.set()

    def take(self) -> bytes:
        """Return and remove the part of the body received so far."""
        data = b"".join(self.chunks_)
        self.chunks_.clear()
        if self.held_ is not None:
            self.held_.set(len(data))
            self._resume()
        return data


class LiveAnswer(msgspec.Struct):
    """Hold an answer whose head has arrived and whose body may still be arriving."""

    head: AnswerHead
    reader: AnswerReader
    reading: asyncio.Task

    async def wait_until_complete(self) -> None:
        """Wait for the end of the body.

        Errors: raises ExchangeBroken with LOST.
        """
        reader = self.reader
        while not reader.is_complete_ and not reader.is_broken_:
            reader.changed_.clear()
            await reader.changed_.wait()
        if reader.is_broken_:
            raise ExchangeBroken(BreakKind.LOST, "broken off inside the answer")

    async def read_more(self) -> bytes:
        """Wait for the next part of the body and return it; empty at its end."""
        reader = self.reader
        while True:
            data = reader.take()
            if data or reader.is_complete_ or reader.is_broken_:
                return data
            reader.changed_.clear()
            await reader.changed_.wait()
