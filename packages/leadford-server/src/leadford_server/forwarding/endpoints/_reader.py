"""Collect the answer of an endpoint as it arrives.

`BreakKind` says how far a failed exchange may have progressed; whether a request may be
sent again depends on it. Relies on tornado's HTTP/1 connection for framing.
"""

import asyncio
from enum import Enum

import msgspec
from tornado import httputil

from leadford_server.forwarding._contract import AnswerHead, RequestCodec


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


class AnswerReader(httputil.HTTPMessageDelegate):
    """Collect one answer as it arrives."""

    def __init__(self, *, codec: RequestCodec) -> None:
        self.codec = codec
        self.head_: AnswerHead | None = None
        self.chunks_: list[bytes] = []
        self.is_complete_ = False
        self.is_broken_ = False
        self.is_framed_ = True
        self.changed_ = asyncio.Event()

    def headers_received(
        self, start_line: httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Record the head; skip interim answers (1xx)."""
        if start_line.code < 200:
            return
        self.is_framed_ = "Content-Length" in headers or "Transfer-Encoding" in headers
        self.head_ = self.codec.read_answer(
            start_line.code, start_line.reason, list(headers.get_all())
        )
        self.changed_.set()

    def data_received(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.chunks_.append(chunk)
        self.changed_.set()

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
