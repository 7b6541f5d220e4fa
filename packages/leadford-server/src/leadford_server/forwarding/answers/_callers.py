"""Take requests from callers and write answers back, byte for byte.

`CallerServer` listens, `CallerExchange` holds one request and its answer. What is
beyond the limits of the configuration is answered here, before anything is decided;
everything else goes to `serve`. Relies on tornado's HTTP/1 server for framing.
"""

import asyncio
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from weakref import WeakSet

from tornado import httpserver, httputil, iostream
from tornado.http1connection import HTTP1Connection

from leadford.forwarding.routes import TrafficLimits
from leadford_server.forwarding._contract import (
    HeaderList,
    InboundRequest,
    RequestCodec,
)

# Seconds beyond the configured idle time before a connection is closed.
REST_GRACE_S = 2.0
# Heads up to this multiple of the limit are read, so that they get an answer.
HEAD_READ_MOST = 4
# Bytes. Bodies are bounded by the configuration while they arrive, not by the library.
BODY_READ_MOST = 1 << 40
# Seconds between the end of an answer and the close of its connection, so that what was
# written still goes out.
CLOSE_DELAY_S = 0.02
# What a line of a head takes beside its name and value.
LINE_BYTES = 4
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


class CallerGone(Exception):
    """Tell that the caller closed its connection."""


class CallerExchange(httputil.HTTPMessageDelegate):
    """Hold one request of a caller and its answer."""

    def __init__(self, *, connection: HTTP1Connection, server: "CallerServer") -> None:
        self.connection = connection
        self.server = server
        self.request_: InboundRequest | None = None
        self.chunks_: list[bytes] = []
        self.body_bytes_ = 0
        self.task_: asyncio.Task[None] | None = None
        self.has_begun_ = False
        self.is_over_ = False

    def headers_received(
        self, start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
    ) -> None:
        """Record the head of the request."""
        now = asyncio.get_running_loop().time()
        self.request_ = self.server.codec.read_request(
            start_line.method, start_line.path, list(headers.get_all()), now
        )
        limits = self.server.limits_
        if _head_bytes(start_line, headers) > limits.header_bytes:
            self._deny(STATUS_HEAD_TOO_LARGE)
            return
        if _announced_bytes(headers) > limits.body_bytes:
            self._deny(STATUS_BODY_TOO_LARGE)
            return
        self.server.exchanges_.add(self)

    def data_received(self, chunk: bytes) -> None:
        """Record a part of the body."""
        self.body_bytes_ += len(chunk)
        if self.is_over_:
            return
        if self.body_bytes_ > self.server.limits_.body_bytes:
            self.chunks_.clear()
            self.server.exchanges_.discard(self)
            self._deny(STATUS_BODY_TOO_LARGE)
            return
        self.chunks_.append(chunk)

    def _deny(self, status: int) -> None:
        """Answer a request that is beyond the limits before it is whole."""
        self.answer(status, self.server.codec.refusal(None))
        self.server.on_denied(self, status)

    def finish(self) -> None:
        """Record that the request is whole, and serve it.

        One that was read just before its connection was closed is dropped: nobody would
        have its answer.
        """
        if self._is_closed():
            self.on_connection_close()
            return
        self.request_.body = b"".join(self.chunks_)
        self.chunks_.clear()
        self.connection.set_close_callback(self._on_caller_left)
        self.task_ = asyncio.ensure_future(self.server.serve(self))
        self.task_.add_done_callback(self._on_served)

    def _is_closed(self) -> bool:
        stream = self.connection.stream
        return stream is None or stream.closed()

    def on_connection_close(self) -> None:
        """Record that the caller left before the request was whole."""
        self.is_over_ = True
        self.server.exchanges_.discard(self)

    def _on_caller_left(self) -> None:
        if self.task_ is not None and not self.is_over_:
            self.task_.cancel()

    def _on_served(self, task: asyncio.Task[None]) -> None:
        self.server.exchanges_.discard(self)
        if not self.is_over_:
            self.abort()
        if not task.cancelled() and task.exception() is not None:
            self.server.on_fault(self, task.exception())

    def answer(
        self, status: int, headers: HeaderList, body: bytes = b"", reason: str = ""
    ) -> None:
        """Write a whole answer."""
        if self.is_over_:
            return
        lines = self._headers(headers)
        if status not in (204, 304):
            lines["Content-Length"] = str(len(body))
        self._write_head(status, reason, lines, body)
        self._end()

    def begin(self, status: int, headers: HeaderList, reason: str = "") -> None:
        """Write the head of an answer whose length is not known."""
        self.has_begun_ = True
        self._write_head(status, reason, self._headers(headers), b"")

    async def write(self, data: bytes) -> None:
        """Write a part of the body and wait until the caller takes it."""
        try:
            await self.connection.write(data)
        except iostream.StreamClosedError as error:
            raise CallerGone from error

    def end(self) -> None:
        """End an answer whose length was not known."""
        self._end()

    def abort(self) -> None:
        """Break the connection off, so that nothing looks complete."""
        self.is_over_ = True
        self.connection.close()

    def _headers(self, headers: HeaderList) -> httputil.HTTPHeaders:
        lines = httputil.HTTPHeaders()
        for name, value in headers:
            lower = name.lower()
            if lower in CONNECTION_HEADERS or lower == "content-length":
                continue
            lines.add(name, value)
        if self.server.is_draining():
            lines["Connection"] = "close"
            self.connection.no_keep_alive = True
        return lines

    def _write_head(
        self, status: int, reason: str, lines: httputil.HTTPHeaders, body: bytes
    ) -> None:
        if not reason:
            reason = _reason(status)
        start_line = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.write_headers(start_line, lines, body or None)

    def _end(self) -> None:
        self.is_over_ = True
        closes = self.server.is_draining()
        self.connection.finish()
        if closes:
            # What has been written is still sent before the close.
            self.server.close_soon(self.connection)


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _head_bytes(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int:
    total = len(start_line.method) + len(start_line.path) + len(start_line.version)
    for name, value in headers.get_all():
        total += len(name) + len(value) + LINE_BYTES
    return total


def _announced_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the length that a head gives; a spoiled one is left to the reader."""
    text = headers.get("Content-Length", "0")
    return int(text) if text.isascii() and text.isdigit() else 0


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Listen for callers."""

    def __init__(
        self,
        *,
        codec: RequestCodec,
        serve: Callable[[CallerExchange], Coroutine[None, None, None]],
        is_draining: Callable[[], bool],
        on_fault: Callable[[CallerExchange, BaseException], None],
        on_denied: Callable[[CallerExchange, int], None],
    ) -> None:
        self.codec = codec
        self.serve = serve
        self.is_draining = is_draining
        self.on_fault = on_fault
        self.on_denied = on_denied
        self.limits_ = TrafficLimits()
        self.exchanges_: set[CallerExchange] = set()
        self.streams_: WeakSet[iostream.IOStream] = WeakSet()
        self.server_: httpserver.HTTPServer | None = None
        self.is_stopped_ = False

    def start(self, host: str, port: int) -> None:
        """Listen."""
        limits = self.limits_
        self.server_ = httpserver.HTTPServer(
            self,
            idle_connection_timeout=limits.idle_ms / 1_000.0 + REST_GRACE_S,
            max_header_size=HEAD_READ_MOST * limits.header_bytes,
            max_body_size=BODY_READ_MOST,
        )
        self.server_.listen(port, address=host)

    def apply_limits(self, limits: TrafficLimits) -> None:
        """Use other limits for requests that begin from now on."""
        parameters = self.server_.conn_params
        parameters.header_timeout = limits.idle_ms / 1_000.0 + REST_GRACE_S
        parameters.max_header_size = HEAD_READ_MOST * limits.header_bytes
        self.limits_ = limits

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> CallerExchange:
        """Return what takes the next request of a connection."""
        if request_conn.stream is not None:
            self.streams_.add(request_conn.stream)
            if self.is_stopped_:
                # It was accepted just before the stop, which could not close it.
                request_conn.stream.close()
        return CallerExchange(connection=request_conn, server=self)

    def on_close(self, server_conn: object) -> None:
        """Record that a connection ended."""

    def close_soon(self, connection: HTTP1Connection) -> None:
        """Close a connection once what was written is on its way.

        The head of the answer may have been written before the stop began and not have
        said so. Then the caller may send another request at once: that one is served,
        and the connection closed after it.
        """
        stream = connection.stream
        if stream is None or stream.closed():
            return
        loop = asyncio.get_running_loop()

        def close() -> None:
            if stream.closed() or self._carries_request(stream):
                return
            if stream.writing():
                loop.call_later(CLOSE_DELAY_S, close)
                return
            stream.close()

        loop.call_later(CLOSE_DELAY_S, close)

    def _carries_request(self, stream: iostream.IOStream) -> bool:
        """Tell whether a request that is not answered yet came on a connection."""
        return any(item.connection.stream is stream for item in self.exchanges_)

    @property
    def live(self) -> int:
        """Return how many requests run, and answers that wait to be written out."""
        leaving = sum(stream.writing() for stream in self.streams_)
        return len(self.exchanges_) + leaving

    def stop(self) -> None:
        """Accept no new connections, and read none that stands.

        The process still runs for a moment; a request that it began then would be cut.
        """
        self.is_stopped_ = True
        self.server_.stop()
        for stream in list(self.streams_):
            stream.close()
