"""Send requests over a caller's connection, one after another.

Records the outcome in the record of each request. Relies on tornado's HTTP/1
connection, which unlike a client library never retries and exposes cut answers.
"""

import asyncio
import socket

from tornado import http1connection, httputil, iostream

from leadford_standins.soak._ledger import Outcome, Sent

# Timeout of a new connection, as for the platform's clients.
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class _Answer(httputil.HTTPMessageDelegate):
    """Write a received answer into the record of its request."""

    def __init__(self, sent: Sent) -> None:
        self.sent = sent
        self.is_complete_ = False
        self.closes_ = False

    def headers_received(
        self, start_line: httputil.ResponseStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        self.sent.status = start_line.code
        self.sent.headers = dict(headers.get_all())
        self.closes_ = headers.get("Connection", "").lower() == "close"

    def data_received(self, chunk: bytes) -> None:
        self.sent.answer += chunk

    def finish(self) -> None:
        self.is_complete_ = True


class CallerConnection:
    """Hold one connection to an entry."""

    def __init__(self, *, stream: iostream.IOStream, incarnation: int) -> None:
        self.stream = stream
        self.incarnation = incarnation
        self.use_count_ = 0

    @classmethod
    async def open(
        cls, address: tuple[str, int], incarnation: int
    ) -> "CallerConnection | None":
        """Open a connection; return None if connecting fails."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = iostream.IOStream(sock, max_buffer_size=MAX_ANSWER_BYTES)
        try:
            await asyncio.wait_for(stream.connect(address), CONNECT_TIMEOUT_S)
        except (TimeoutError, iostream.StreamClosedError, OSError):
            # The caller records the request as not sent.
            stream.close()
            return None
        # With a close callback the stream detects a close while it is idle.
        stream.set_close_callback(lambda: None)
        return cls(stream=stream, incarnation=incarnation)

    @property
    def is_usable(self) -> bool:
        """Tell whether another request may be sent."""
        return not self.stream.closed()

    async def exchange(self, sent: Sent, leave_after_s: float) -> None:
        """Send a request and read its answer; give up after a time."""
        loop = asyncio.get_running_loop()
        sent.is_kept = self.use_count_ > 0
        self.use_count_ += 1
        answer = _Answer(sent)
        parameters = http1connection.HTTP1ConnectionParameters()
        exchange = http1connection.HTTP1Connection(self.stream, True, parameters)
        start_line = httputil.RequestStartLine(sent.method, sent.path, "")
        sent.sent_at = loop.time()
        try:
            exchange.write_headers(
                start_line, httputil.HTTPHeaders(sent.asked), sent.body or None
            )
            exchange.finish()
            async with asyncio.timeout(leave_after_s):
                await exchange.read_response(answer)
            sent.outcome = Outcome.WHOLE if answer.is_complete_ else Outcome.CUT
        except TimeoutError:
            sent.outcome = Outcome.LEFT
        except (iostream.StreamClosedError, OSError) as error:
            sent.outcome = Outcome.CUT
            sent.detail = type(error).__name__
        sent.ended_at = loop.time()
        if sent.outcome is not Outcome.WHOLE or answer.closes_:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
