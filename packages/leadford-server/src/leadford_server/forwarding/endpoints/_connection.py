"""Exchange requests and answers with one endpoint over one kept connection.

Matches answers to requests by their id; `_reader` collects them. A connection that
holds bytes which belong to no answer is not used again. Relies on tornado's HTTP/1
connection, because curl repeats requests by itself and hides such bytes.
"""

import asyncio
import socket
from enum import Enum

from tornado import http1connection, httputil, iostream
from tornado.iostream import IOStream

from leadford.common import RequestId
from leadford_server.forwarding._contract import (
    AnswerHead,
    OutboundRequest,
    RequestCodec,
)
from leadford_server.forwarding.endpoints._reader import (
    AnswerReader,
    BreakKind,
    ExchangeBroken,
    LiveAnswer,
)

# Bytes that an answer of an endpoint, and its head, may have.
ANSWER_BYTES_MAX = 64 * 1024 * 1024
HEADER_BYTES_MAX = 64 * 1024
# Answers of earlier requests that are skipped on a connection.
UNMATCHED_ANSWERS_MAX = 2
# Milliseconds after which the kernel gives up a peer that acknowledges nothing.
SILENCE_MS = 2_500


class ConnectionEnd(Enum):
    """Say what a connection ended by; the values stand in logs.

    CLOSED and RESET are what a process does that ends. SILENT: the peer acknowledged
    nothing for too long, as one without power or behind a cut.
    """

    OPEN = "open"
    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"


class WatchedStream(IOStream):
    """Notice bytes that arrive while no answer is due."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, max_buffer_size=ANSWER_BYTES_MAX)
        self.is_idle_ = False
        self.is_dirty_ = False

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, and remember whether anybody asked for it."""
        count = super().read_from_fd(buf)
        if count and self.is_idle_:
            self.is_dirty_ = True
        return count

    def has_leftover(self) -> bool:
        """Tell whether bytes were read that belong to no answer."""
        return self._read_buffer_size > 0


class EndpointConnection:
    """Hold one connection to an endpoint; it carries one exchange at a time."""

    def __init__(self, *, stream: WatchedStream, codec: RequestCodec) -> None:
        self.stream = stream
        self.codec = codec
        self.rest_s_: float | None = None
        self.idle_since_ = 0.0
        self.answer_: LiveAnswer | None = None

    @classmethod
    async def open(
        cls, host: str, port: int, codec: RequestCodec, timeout_s: float
    ) -> "EndpointConnection":
        """Connect within a time; raises ExchangeBroken with NOT_SENT."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A peer without power says nothing; the kernel gives it up for us.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        stream = WatchedStream(sock)
        try:
            await asyncio.wait_for(stream.connect((host, port)), timeout_s)
        except (TimeoutError, iostream.StreamClosedError, OSError) as error:
            stream.close()
            raise ExchangeBroken(
                BreakKind.NOT_SENT, f"connect: {type(error).__name__}"
            ) from error
        except BaseException:
            stream.close()
            raise
        return cls(stream=stream, codec=codec)

    @property
    def is_usable(self) -> bool:
        """Tell whether another exchange may begin."""
        if self.stream.closed() or self.stream.is_dirty_:
            return False
        return not self.stream.has_leftover()

    @property
    def end(self) -> ConnectionEnd:
        """Return what the connection ended by."""
        if not self.stream.closed():
            return ConnectionEnd.OPEN
        error = self.stream.error
        if error is None:
            return ConnectionEnd.CLOSED
        if isinstance(error, ConnectionError):
            return ConnectionEnd.RESET
        return ConnectionEnd.SILENT

    async def begin(
        self, request: OutboundRequest, request_id: RequestId | None
    ) -> LiveAnswer:
        """Send a request and return its answer once the head is there.

        Errors: raises ExchangeBroken with LOST when the request may have run.
        """
        self.stream.is_idle_ = False
        exchange = self._send(request)
        for _ in range(UNMATCHED_ANSWERS_MAX + 1):
            answer = await self._read_head(exchange)
            found = answer.head.request_id
            strange = found is not None and request_id is not None
            if not strange or found == request_id:
                self.answer_ = answer
                return answer
            # An answer of an earlier request stands where ours is due.
            await answer.reading
            if not answer.reader.is_complete_ or not answer.reader.is_framed_:
                break
        raise ExchangeBroken(BreakKind.SPOILED, "answers of other requests only")

    async def fetch(
        self, request: OutboundRequest, request_id: RequestId | None = None
    ) -> tuple[bytes, AnswerHead]:
        """Return the whole body and the head of an answer."""
        answer = await self.begin(request, request_id)
        await answer.wait_whole()
        return answer.reader.take(), answer.head

    def _send(self, request: OutboundRequest) -> http1connection.HTTP1Connection:
        headers = httputil.HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        parameters = http1connection.HTTP1ConnectionParameters(
            max_header_size=HEADER_BYTES_MAX, max_body_size=ANSWER_BYTES_MAX
        )
        exchange = http1connection.HTTP1Connection(self.stream, True, parameters)
        start_line = httputil.RequestStartLine(request.method, request.target, "")
        try:
            exchange.write_headers(start_line, headers, request.body or None)
            exchange.finish()
        except iostream.StreamClosedError as error:
            raise ExchangeBroken(BreakKind.LOST, "closed while sending") from error
        return exchange

    async def _read_head(self, exchange: http1connection.HTTP1Connection) -> LiveAnswer:
        reader = AnswerReader(codec=self.codec)
        reading = asyncio.ensure_future(self._read(exchange, reader))
        try:
            while reader.head_ is None and not reading.done():
                await reader.changed_.wait()
                reader.changed_.clear()
        except BaseException:
            reading.cancel()
            self.close()
            raise
        if reader.head_ is None:
            raise ExchangeBroken(BreakKind.LOST, "no answer")
        reader.changed_.set()
        return LiveAnswer(reader.head_, reader, reading)

    async def _read(
        self, exchange: http1connection.HTTP1Connection, reader: AnswerReader
    ) -> None:
        try:
            await exchange.read_response(reader)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            reader.is_broken_ = True
        except asyncio.CancelledError:
            reader.is_broken_ = True
            self.stream.close()
            raise
        finally:
            if not reader.is_complete_:
                reader.is_broken_ = True
            # Without a length only an orderly close tells that nothing is missing.
            if not reader.is_framed_ and self.stream.error is not None:
                reader.is_complete_ = False
                reader.is_broken_ = True
            reader.changed_.set()

    def settle(self) -> bool:
        """Tell whether the connection may carry another exchange; drop it if not."""
        answer = self.answer_
        self.answer_ = None
        kept = answer is not None and self._is_left_clean(answer)
        if not kept:
            if answer is not None:
                answer.reading.cancel()
            self.close()
            return False
        if answer.head.rest_s is not None:
            self.rest_s_ = answer.head.rest_s
        return True

    def _is_left_clean(self, answer: LiveAnswer) -> bool:
        """Tell whether the answer ended whole and the request was read whole."""
        reader = answer.reader
        if not reader.is_complete_ or not reader.is_framed_ or answer.head.closes:
            return False
        # An endpoint may answer a long body early and go on reading it.
        if not answer.reading.done() or not self.is_usable:
            return False
        return not self.stream.writing()

    def rest(self, now: float) -> None:
        """Wait for the next exchange, watching for a close or unasked bytes."""
        self.idle_since_ = now
        self.stream.is_idle_ = True
        self.stream.set_close_callback(lambda: None)

    def close(self) -> None:
        """Drop the connection at once."""
        self.stream.close()
