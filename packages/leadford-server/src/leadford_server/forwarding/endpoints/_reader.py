"""Collect the answer of an endpoint as it arrives.

Says how much of a broken exchange may have happened (`BreakKind`): that decides whether
a request may be sent again. Relies on tornado's HTTP/1 connection for framing.
"""

import asyncio
from enum import Enum

import msgspec
from tornado import httputil

from leadford_server.forwarding._contract import AnswerHead, RequestCodec


class BreakKind(Enum):
    """Say how much of an exchange may have happened."""

    NOT_SENT = "not-sent"
    LOST = "lost"
    SPOILED = "spoiled"


class ExchangeBroken(Exception):
    """Tell that an exchange ended without a whole answer."""

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
        """Record the head; interim answers are skipped."""
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
        """Record that the answer is whole as far as its framing tells."""
        self.is_complete_ = True
        self.changed_.set()

    def on_connection_close(self) -> None:
        """Record that the connection ended inside the answer."""
        self.is_broken_ = True
        self.changed_.set()

    def take(self) -> bytes:
        """Return and forget the body received so far."""
        data = b"".join(self.chunks_)
        self.chunks_.clear()
        return data


class LiveAnswer(msgspec.Struct):
    """Hold an answer whose head has arrived and whose body may still come."""

    head: AnswerHead
    reader: AnswerReader
    reading: asyncio.Task

    async def wait_whole(self) -> None:
        """Wait for the end of the body; raises ExchangeBroken with LOST."""
        reader = self.reader
        while not reader.is_complete_ and not reader.is_broken_:
            reader.changed_.clear()
            await reader.changed_.wait()
        if reader.is_broken_:
            raise ExchangeBroken(BreakKind.LOST, "broken off inside the answer")

    async def wait_more(self) -> bytes:
        """Return the next part of the body; empty at its end."""
        reader = self.reader
        while True:
            data = reader.take()
            if data or reader.is_complete_ or reader.is_broken_:
                return data
            reader.changed_.clear()
            await reader.changed_.wait()
