"""Serve the connections of callers, and close those without a request.

`EntryProcess` stops through it: a connection stays open while a request is read, waits
for its answer, or has an answer that is not written out. A connection that was idle for
too long is closed by the same look: a timer of its own may be due in the turn of the
event loop that reads a request, and would close the connection under it.
"""

import asyncio
import socket
from collections.abc import Callable

from tornado import httpserver, httputil
from tornado.http1connection import HTTP1ServerConnection


class CallerServer(httpserver.HTTPServer):
    """Serve HTTP and know which connections have a request.

    Units: clock, idle_max_s and idle_check_interval_s in seconds.
    """

    def initialize(
        self,
        *args: object,
        clock: Callable[[], float],
        idle_max_s: float,
        idle_check_interval_s: float,
        **kwargs: object,
    ) -> None:
        """Store the parameters of `HTTPServer` and those of idle connections."""
        super().initialize(*args, **kwargs)
        self.clock = clock
        self.idle_max_s = idle_max_s
        self.idle_check_interval_s = idle_check_interval_s
        self.idle_timer_: asyncio.TimerHandle | None = None
        # When each connection began to wait for its present or its next request.
        self.waiting_since_by_connection_: dict[HTTP1ServerConnection, float] = {}
        # Connections on which a head was read and the answer is not fully written.
        self.busy_: set[HTTP1ServerConnection] = set()
        # Those of them on which the body has not fully arrived.
        self.partial_: set[HTTP1ServerConnection] = set()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        self.waiting_since_by_connection_[server_conn] = self.clock()
        self._forget_request(server_conn)
        return _RequestReader(
            super().start_request(server_conn, request_conn),
            on_head=lambda: self._record_head(server_conn),
            on_end=lambda: self.partial_.discard(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that ended."""
        self.waiting_since_by_connection_.pop(server_conn, None)
        self._forget_request(server_conn)
        super().on_close(server_conn)

    def _record_head(self, connection: HTTP1ServerConnection) -> None:
        self.busy_.add(connection)
        self.partial_.add(connection)

    def _forget_request(self, connection: HTTP1ServerConnection) -> None:
        self.busy_.discard(connection)
        self.partial_.discard(connection)

    @property
    def is_empty(self) -> bool:
        """Return whether no caller is connected."""
        return not self.waiting_since_by_connection_

    def watch_idle(self) -> None:
        """Close the connections that were idle for too long, from now on."""
        loop = asyncio.get_running_loop()
        # Set first, so that an error in this check does not prevent the next one.
        self.idle_timer_ = loop.call_later(self.idle_check_interval_s, self.watch_idle)
        self.close_idle(self.idle_max_s)

    def stop(self) -> None:
        """Stop listening and looking for idle connections."""
        if self.idle_timer_ is not None:
            self.idle_timer_.cancel()
        super().stop()

    def close_idle(self, idle_min_s: float = 0.0) -> None:
        """Close the connections that have no request and on which none arrives."""
        idle_since = self.clock() - idle_min_s
        for connection, since in list(self.waiting_since_by_connection_.items()):
            if connection in self.busy_ or since > idle_since:
                continue
            stream = connection.stream
            # A stream that does not read holds a head that was not parsed yet.
            if not stream.reading() or _has_arrived(stream.socket):
                continue
            stream.close()

    def close_partial(self) -> None:
        """Close the connections of requests that have not arrived whole."""
        for connection in list(self.partial_):
            connection.stream.close()


class _RequestReader(httputil.HTTPMessageDelegate):
    """Pass on what is read of a request, and report its head and its end."""

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        *,
        on_head: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        self.delegate = delegate
        self.on_head = on_head
        self.on_end = on_end

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> object:
        """Report the head and pass it on."""
        self.on_head()
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> object:
        """Pass on a part of the body."""
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        """Report the end of the request and pass it on."""
        self.on_end()
        self.delegate.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection ended."""
        self.delegate.on_connection_close()


def _has_arrived(connection: socket.socket) -> bool:
    """Return whether bytes wait to be read."""
    try:
        return bool(connection.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    except OSError:
        # The connection is broken: nothing more arrives on it.
        return False
