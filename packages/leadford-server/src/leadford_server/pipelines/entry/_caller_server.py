"""Serve the connections of callers, and close those without a request.

`EntryProcess` stops through it: a connection stays open while a request is read, waits
for its answer, or has an answer that is not written out.
"""

import socket
from collections.abc import Callable

from tornado import httpserver, httputil
from tornado.http1connection import HTTP1ServerConnection


class CallerServer(httpserver.HTTPServer):
    """Serve HTTP and know which connections have a request."""

    def initialize(self, *args: object, **kwargs: object) -> None:
        """Store the parameters of `HTTPServer`."""
        super().initialize(*args, **kwargs)
        self.connections_: set[HTTP1ServerConnection] = set()
        # Connections on which a head was read and the answer is not written out.
        self.busy_: set[HTTP1ServerConnection] = set()
        # Those of them on which the body has not arrived whole.
        self.partial_: set[HTTP1ServerConnection] = set()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return what reads the next request of a connection."""
        self.connections_.add(server_conn)
        self._forget_request(server_conn)
        return _RequestReader(
            super().start_request(server_conn, request_conn),
            on_head=lambda: self._record_head(server_conn),
            on_end=lambda: self.partial_.discard(server_conn),
        )

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that ended."""
        self.connections_.discard(server_conn)
        self._forget_request(server_conn)
        super().on_close(server_conn)

    def _record_head(self, connection: HTTP1ServerConnection) -> None:
        self.busy_.add(connection)
        self.partial_.add(connection)

    def _forget_request(self, connection: HTTP1ServerConnection) -> None:
        self.busy_.discard(connection)
        self.partial_.discard(connection)

    def close_idle(self) -> None:
        """Close the connections that have no request and on which none arrives."""
        for connection in self.connections_ - self.busy_:
            stream = connection.stream
            # A stream that does not read has a head that nobody has looked at yet.
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
    except ConnectionError:
        # The caller has reset the connection.
        return False
