"""Exchange requests and answers with one endpoint over one keep-alive connection.

`leadford.forwarding.endpoints` matches answers to requests; `_reader` collects them. A
connection with received bytes that belong to no answer is not reused. Relies on
tornado's HTTP/1 connection, because curl retries requests on its own and hides such
bytes.
"""

import asyncio
import socket

from tornado import http1connection, httputil, iostream

from leadford.common import RequestId
from leadford.forwarding.batching import GivenHandles
from leadford.forwarding.endpoints import AnswerMatch, AnswerMatcher
from leadford.forwarding.memory import HeldCause
from leadford.forwarding.overload import LoopTurns
from leadford_server.forwarding._contract import (
    AnswerHead,
    OutboundRequest,
    RequestCodec,
)
from leadford_server.forwarding._endpoint_timeout import EndpointTimeout
from leadford_server.forwarding._framing import write_head
from leadford_server.forwarding._memory import HeldMemory
from leadford_server.forwarding.endpoints._reader import (
    AnswerReader,
    BreakKind,
    ExchangeBroken,
    LiveAnswer,
)
from leadford_server.forwarding.endpoints._watched import (
    ANSWER_BYTES_MAX,
    ConnectionEnd,
    WatchedStream,
)

HEADER_BYTES_MAX = 64 * 1024
# What the kernel may buffer for a connection that is not read.
MAX_RECEIVE_BUFFER_BYTES = 256 * 1024
# The answer to a call names a result, or a reason, for each of its pieces.
MAX_CALL_BODY_BYTES = 1024 * 1024
# Answers to earlier requests that are skipped before an exchange fails.
UNMATCHED_ANSWERS_MAX = 2
# Time after which the kernel closes a connection whose peer acknowledges nothing.
UNACKNOWLEDGED_TIMEOUT_MS = 2_500

# A head, or what was received and not read, is longer than it may be.
_BOUND_ERRORS = (iostream.UnsatisfiableReadError, iostream.StreamBufferFullError)


class EndpointConnection:
    """Hold one connection to an endpoint; it carries one exchange at a time."""

    def __init__(
        self,
        *,
        stream: WatchedStream,
        codec: RequestCodec,
        memory: HeldMemory | None = None,
    ) -> None:
        self.stream = stream
        self.codec = codec
        self.memory = memory
        self.reader_: AnswerReader | None = None
        self.idle_timeout_s_: float | None = None
        # None while the connection carries an exchange, and before its first rest.
        self.idle_since_: float | None = None
        self.has_sent_ = False
        self.answer_: LiveAnswer | None = None
        # Whether what arrived is no answer, whoever closed the connection after it.
        self.has_rejected_ = False
        self.given_handles_ = GivenHandles()
        self.matcher_ = AnswerMatcher()

    @classmethod
    async def open(
        cls,
        host: str,
        port: int,
        codec: RequestCodec,
        timeout_s: float,
        memory: HeldMemory | None = None,
        turns: LoopTurns | None = None,
    ) -> "EndpointConnection":
        """Connect to an endpoint within a timeout, in which the loop was not late.

        Units: timeout_s in seconds.
        Errors: raises ExchangeBroken with NOT_SENT.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A peer that lost power sends nothing; the kernel detects that and closes the
        # connection.
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
        stream = WatchedStream(sock)
        try:
            limit_at = asyncio.get_running_loop().time() + timeout_s
            async with EndpointTimeout(limit_at, turns or LoopTurns()):
                await stream.connect((host, port))
        except (TimeoutError, iostream.StreamClosedError, OSError) as error:
            stream.close()
            raise ExchangeBroken(
                BreakKind.NOT_SENT, f"connect: {type(error).__name__}"
            ) from error
        except BaseException:
            stream.close()
            raise
        return cls(stream=stream, codec=codec, memory=memory)

    @property
    def is_usable(self) -> bool:
        """Return whether another exchange may begin."""
        if self.stream.closed() or self.stream.has_unexpected_bytes_:
            return False
        return not self.stream.has_unread_bytes()

    @property
    def end(self) -> ConnectionEnd:
        """Return how the connection ended, OPEN if it did not."""
        if not self.stream.closed():
            return ConnectionEnd.OPEN
        if self.has_rejected_:
            return ConnectionEnd.REJECTED
        error = self.stream.error
        if error is None:
            is_ended_by_peer = self.stream.is_ended_by_peer_
            return ConnectionEnd.CLOSED if is_ended_by_peer else ConnectionEnd.REJECTED
        if isinstance(error, ConnectionError):
            return ConnectionEnd.RESET
        if isinstance(error, _BOUND_ERRORS):
            return ConnectionEnd.REJECTED
        return ConnectionEnd.SILENT

    async def begin(
        self, request: OutboundRequest, request_id: RequestId | None
    ) -> LiveAnswer:
        """Send a request and return its answer once the head has arrived.

        Errors: raises ExchangeBroken when the request may have run, with INVALID_ANSWER
        when no answer arrived that is certainly its own, otherwise with LOST.
        """
        self.stream.is_idle_ = False
        self.idle_since_ = None
        self.has_sent_ = True
        self.matcher_.record_sent(request_id)
        exchange = self._send(request)
        for _ in range(UNMATCHED_ANSWERS_MAX + 1):
            answer = await self._read_head(exchange)
            head = answer.head
            match = self.matcher_.match(
                head.request_id, request_id, is_refusal=head.is_not_run
            )
            if match is AnswerMatch.OWN:
                self.answer_ = answer
                return answer
            if match is AnswerMatch.UNKNOWN:
                break
            # This is the answer to an earlier request; read and skip it.
            answer.reader.limit_body(ANSWER_BYTES_MAX, is_kept=False)
            await answer.reading
            if not answer.reader.is_complete_ or not answer.reader.is_framed_:
                break
        raise ExchangeBroken(BreakKind.INVALID_ANSWER, "no answer of this request")

    async def fetch(
        self, request: OutboundRequest, request_id: RequestId | None = None
    ) -> tuple[bytes, AnswerHead]:
        """Send a call and return the complete body and the head of its answer.

        Errors: raises ExchangeBroken.
        """
        if self.memory is None:
            answer = await self.begin(request, request_id)
        else:
            unsent = self.memory.hold(HeldCause.UNSENT_REQUEST)
            unsent.set(len(request.body))
            try:
                answer = await self.begin(request, request_id)
            finally:
                unsent.release()
        answer.reader.limit_body(MAX_CALL_BODY_BYTES)
        await answer.wait_until_complete()
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
            write_head(exchange, start_line, headers, request.body)
            exchange.finish()
        except iostream.StreamClosedError as error:
            raise ExchangeBroken(BreakKind.LOST, "closed while sending") from error
        return exchange

    async def _read_head(self, exchange: http1connection.HTTP1Connection) -> LiveAnswer:
        reader = AnswerReader(
            codec=self.codec, memory=self.memory, on_pause=self._bound_receive_buffer
        )
        self._release_held()
        self.stream.begin_answer()
        self.reader_ = reader
        reading = asyncio.ensure_future(self._read(exchange, reader))
        try:
            while reader.head_ is None and not reading.done():
                await reader.changed_.wait()
                reader.changed_.clear()
                if reader.rejection_ is not None:
                    self.has_rejected_ = True
                    raise ExchangeBroken(BreakKind.INVALID_ANSWER, reader.rejection_)
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
            is_read = await exchange.read_response(reader)
            self.has_rejected_ = not is_read and not reader.is_complete_
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            reader.is_broken_ = True
        except asyncio.CancelledError:
            reader.is_broken_ = True
            self.stream.close()
            raise
        finally:
            if not reader.is_complete_:
                reader.is_broken_ = True
            # Without a length, only an orderly close shows that the answer is complete.
            if not reader.is_framed_ and self.stream.error is not None:
                reader.is_complete_ = False
                reader.is_broken_ = True
            reader.changed_.set()

    def finish_exchange(self) -> bool:
        """End the exchange, if one began; return whether another may follow.

        The connection is closed if an exchange began after which none may follow.
        """
        answer = self.answer_
        self.answer_ = None
        self._release_held()
        if not self.has_sent_:
            return self.is_usable
        self.has_sent_ = False
        is_reusable = answer is not None and self._is_reusable(answer)
        if not is_reusable:
            if answer is not None:
                answer.reading.cancel()
            self.close()
            return False
        if answer.head.idle_timeout_s is not None:
            self.idle_timeout_s_ = answer.head.idle_timeout_s
        return True

    def _is_reusable(self, answer: LiveAnswer) -> bool:
        """Return whether the answer and the request were transferred completely."""
        reader = answer.reader
        if (
            not reader.is_complete_
            or reader.is_too_long
            or not reader.is_framed_
            or answer.head.closes_connection
        ):
            return False
        if not self.matcher_.is_in_step_:
            return False
        # An endpoint may answer before it has read a long request body.
        if not answer.reading.done() or not self.is_usable:
            return False
        return not self.stream.writing()

    def mark_idle(self, now: float) -> None:
        """Mark the connection idle and detect a close or unexpected bytes.

        One on which nothing was sent since it was idle before goes on resting.

        Units: now in seconds of the event loop's clock.
        """
        if self.idle_since_ is None:
            self.idle_since_ = now
        self.stream.is_idle_ = True
        self.stream.set_close_callback(lambda: None)

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.close()
        self._release_held()

    def _bound_receive_buffer(self) -> None:
        """Bound what the kernel buffers while the answer is not read.

        Without a bound, the kernel enlarges the buffer of a fast connection.
        """
        if not self.stream.closed():
            # The kernel doubles the value for its own overhead.
            self.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, MAX_RECEIVE_BUFFER_BYTES // 2
            )

    def _release_held(self) -> None:
        """Record that nothing is held for the last exchange any more."""
        if self.reader_ is not None:
            self.reader_.release()
            self.reader_ = None
