"""Listen for callers, and follow their connections until the process stops.

`_callers` holds each request and its answer.
"""

import asyncio
import socket
from collections.abc import Callable, Coroutine

from tornado import httpserver, httputil, iostream
from tornado.http1connection import HTTP1Connection

from leadford.forwarding.overload import ConnectionAdmission
from leadford.forwarding.routes import TrafficLimits
from leadford_server.forwarding._contract import RequestCodec
from leadford_server.forwarding._framing import unsent_bytes
from leadford_server.forwarding._memory import HeldMemory
from leadford_server.forwarding.answers._caller_connection import (
    CallerConnection,
    CloseCause,
)
from leadford_server.forwarding.answers._callers import CallerExchange
from leadford_server.forwarding.answers._listener import CallerListener
from leadford_server.forwarding.answers._reports import CallerReports
from leadford_server.forwarding.answers._unsent import UnsentAnswer

# Seconds beyond the configured idle time before a connection is closed.
IDLE_GRACE_S = 2.0
# Heads up to this multiple of the limit are read, so that they can be answered.
HEAD_READ_FACTOR = 4
# Effectively unlimited: `CallerExchange` enforces the configured limit on bodies while
# they arrive, instead of the library.
MAX_BODY_READ_BYTES = 1 << 40
# Seconds between the end of an answer and the close of its connection, so that the
# written bytes are still sent.
CLOSE_DELAY_S = 0.02


# Time for the rest of a head of which a part has arrived when reading ends.
PARTIAL_HEAD_TIME_S = 1.0


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Listen for callers."""

    def __init__(
        self,
        *,
        codec: RequestCodec,
        serve: Callable[[CallerExchange], Coroutine[None, None, None]],
        is_draining: Callable[[], bool],
        reports: CallerReports,
        memory: HeldMemory,
        admission: ConnectionAdmission,
    ) -> None:
        self.codec = codec
        self.serve = serve
        self.is_draining = is_draining
        self.reports = reports
        self.memory = memory
        self.admission = admission
        self.limits_ = TrafficLimits()
        self.exchanges_: set[CallerExchange] = set()
        self.unsent_answers_: list[UnsentAnswer] = []
        # The key is the library's object for a connection.
        self.connections_by_server_: dict[object, CallerConnection] = {}
        self.server_: httpserver.HTTPServer | None = None
        self.listener_: CallerListener | None = None
        # Connections that were accepted and from which nothing is read yet.
        self.accepted_: set[iostream.IOStream] = set()
        self.is_stopped_ = False
        # When the process ceased to read new requests, in seconds of the monotonic
        # clock.
        self.reading_ended_at_ = 0.0

    def start(self, host: str, port: int) -> None:
        """Start listening for callers."""
        limits = self.limits_
        self.server_ = httpserver.HTTPServer(
            self,
            max_header_size=HEAD_READ_FACTOR * limits.header_bytes,
            max_body_size=MAX_BODY_READ_BYTES,
        )
        # The library's own timeout would close a connection whose request has arrived
        # and is not parsed yet; `close_idle` does not.
        self.server_.conn_params.header_timeout = None
        self.listener_ = CallerListener(
            host=host,
            port=port,
            admission=self.admission,
            reports=self.reports,
            on_accepted=self._read_requests,
        )
        self.listener_.start()

    def _read_requests(self, connection: socket.socket, address: tuple) -> None:
        """Begin to read requests from a connection that was accepted."""
        stream = iostream.IOStream(connection)
        self.accepted_.add(stream)
        self.server_.handle_stream(stream, address)

    def closes_connections(self) -> bool:
        """Return whether to close connections together with their answers."""
        now = asyncio.get_running_loop().time()
        return self.is_draining() or self.admission.closes_kept(now)

    def apply_limits(self, limits: TrafficLimits) -> None:
        """Set the limits for requests that arrive from now on."""
        parameters = self.server_.conn_params
        parameters.max_header_size = HEAD_READ_FACTOR * limits.header_bytes
        self.limits_ = limits

    def check_unsent(self) -> None:
        """Update how much callers have read, and cut off those that are overdue."""
        answers, self.unsent_answers_ = self.unsent_answers_, []
        for answer in answers:
            if answer.check():
                self.unsent_answers_.append(answer)

    def start_request(
        self, server_conn: object, request_conn: HTTP1Connection
    ) -> CallerExchange:
        """Return the exchange for the next request of a connection."""
        self.accepted_.discard(request_conn.stream)
        caller = self.connections_by_server_.get(server_conn)
        if caller is None:
            caller = CallerConnection(stream=request_conn.stream)
            self.connections_by_server_[server_conn] = caller
        if self.is_stopped_:
            # The connection was accepted just before the stop, which could not close it
            # yet.
            caller.close(CloseCause.STOPPED)
        caller.exchange_ = CallerExchange(
            connection=request_conn, caller=caller, server=self
        )
        return caller.exchange_

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that ended."""
        self.connections_by_server_.pop(server_conn, None)

    def close_soon(self, caller: CallerConnection) -> None:
        """Close a connection once its written bytes have been sent, unless it is used.

        The head of the answer may have been written before the stop began, without
        "Connection: close". The caller may then send another request at once; that
        request is served, and the connection is closed after it.
        """
        if caller.is_closed or caller.closes_soon_:
            return
        caller.closes_soon_ = True
        loop = asyncio.get_running_loop()

        def close() -> None:
            if caller.is_closed:
                return
            if caller.has_request:
                caller.closes_soon_ = False
                return
            if caller.stream.writing() or not caller.is_unused:
                loop.call_later(CLOSE_DELAY_S, close)
                return
            caller.close(CloseCause.ANSWERED)

        loop.call_later(CLOSE_DELAY_S, close)

    def close_idle(self) -> None:
        """Close connections on which no request came for longer than the limit."""
        now = asyncio.get_running_loop().time()
        idle_s = self.limits_.idle_ms / 1_000.0 + IDLE_GRACE_S
        for caller in self._callers():
            if now - caller.exchange_.awaited_since < idle_s:
                continue
            if not caller.is_closed and caller.waits_for_head:
                caller.close(CloseCause.IDLE)

    def end_reading(self) -> None:
        """Accept what has connected, and no further connection."""
        self.reading_ended_at_ = asyncio.get_running_loop().time()
        try:
            self.listener_.accept_rest()
        finally:
            self.listener_.stop()

    def close_unused(self) -> None:
        """Close connections that bring no request, once no further ones are read."""
        now = asyncio.get_running_loop().time()
        waits_for_rest = now - self.reading_ended_at_ < PARTIAL_HEAD_TIME_S
        for caller in self._callers():
            if caller.is_closed:
                continue
            if caller.closes_soon_ and (waits_for_rest or caller.stream.writing()):
                continue
            if caller.is_unused or (caller.waits_for_head and not waits_for_rest):
                caller.close(CloseCause.STOPPED)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections that are read."""
        return sum(not caller.is_closed for caller in self._callers())

    @property
    def open_count(self) -> int:
        """Return the number of open connections, also of those not read yet."""
        accepted_count = sum(not stream.closed() for stream in self.accepted_)
        return self.connection_count + accepted_count

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be sent to callers."""
        return sum(unsent_bytes(caller.stream) for caller in self._callers())

    @property
    def unsent_count(self) -> int:
        """Return how many connections have bytes that wait to be sent."""
        return sum(caller.stream.writing() for caller in self._callers())

    @property
    def pending_count(self) -> int:
        """Return the number of running requests plus that of unsent answers."""
        return len(self.exchanges_) + self.unsent_count

    def _callers(self) -> list[CallerConnection]:
        return list(self.connections_by_server_.values())

    def stop(self) -> None:
        """Accept no new connections and close the existing ones.

        The process still runs for a moment; a request that started then would be
        interrupted by its exit.
        """
        self.is_stopped_ = True
        self.listener_.stop()
        for caller in self._callers():
            caller.close(CloseCause.STOPPED)
