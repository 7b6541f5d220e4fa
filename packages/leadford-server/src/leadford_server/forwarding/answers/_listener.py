"""Accept the connections of callers, fewer while this entry is late.

Owns the listening sockets. `leadford.forwarding.overload` decides how many connections
are accepted, and whether those that wait as others are refused are read or closed, so
that their callers try another entry.
"""

import asyncio
import socket
from collections.abc import Callable

from tornado import netutil

from leadford.forwarding.overload import ConnectionAdmission
from leadford_server.forwarding.answers._reports import CallerReports
from leadford_server.metrics import CONNECTIONS_SHED_TOTAL

# Connections that may wait to be accepted. The platform may hand all new connections of
# a region to one entry at once.
MAX_PENDING_CONNECTIONS = 1_024
# Connections that are accepted in one turn of the loop; the others wait for the next. A
# turn that reads all of a burst would delay all that is under way.
MAX_READ_PER_TURN = 16
# Time after which listening is tried again if it failed.
LISTEN_RETRY_S = 0.05


class CallerListener:
    """Listen at one address; `on_accepted` gets each connection and its address."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        admission: ConnectionAdmission,
        reports: CallerReports,
        on_accepted: Callable[[socket.socket, tuple], None],
    ) -> None:
        self.host = host
        self.port = port
        self.admission = admission
        self.reports = reports
        self.on_accepted = on_accepted
        self.sockets_: list[socket.socket] = []
        # Runs while new connections are refused.
        self.pause_timer_: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Accept new connections from now on."""
        self.pause_timer_ = None
        self.sockets_ = netutil.bind_sockets(
            self.port, address=self.host, backlog=MAX_PENDING_CONNECTIONS
        )
        loop = asyncio.get_running_loop()
        for sock in self.sockets_:
            loop.add_reader(sock, self._accept, sock)

    def stop(self) -> None:
        """Refuse new connections for good, also those that wait to be accepted."""
        if self.pause_timer_ is not None:
            self.pause_timer_.cancel()
        self._close_sockets()

    def accept_rest(self) -> None:
        """Accept every connection that waits, since it may bring a request."""
        for sock in self.sockets_:
            self._accept_all(sock)

    def _accept_all(self, sock: socket.socket) -> None:
        while True:
            try:
                connection, address = sock.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                return
            except OSError as error:
                self.reports.listen_failed(error)
                return
            self.on_accepted(connection, address)

    def _close_sockets(self) -> None:
        """Refuse new connections, and close those that wait to be accepted."""
        loop = asyncio.get_running_loop()
        for sock in self.sockets_:
            loop.remove_reader(sock)
            sock.close()
        self.sockets_ = []

    def _pause(self, pause_s: float) -> None:
        """Refuse new connections for a while."""
        self._close_sockets()
        loop = asyncio.get_running_loop()
        self.pause_timer_ = loop.call_later(pause_s, self._resume)

    def _resume(self) -> None:
        try:
            self.start()
        except OSError as error:
            # Another socket may have taken the port for a moment.
            self.reports.listen_failed(error)
            self._pause(LISTEN_RETRY_S)

    def _accept(self, sock: socket.socket) -> None:
        """Accept some of the new connections, and refuse those that are too many."""
        now = asyncio.get_running_loop().time()
        for _ in range(MAX_READ_PER_TURN):
            try:
                connection, address = sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                # Mostly for want of descriptors; the socket would stay readable.
                self.reports.listen_failed(error)
                self._pause(LISTEN_RETRY_S)
                return
            if not self.admission.admits(now):
                if self.admission.reads_waiting:
                    self.on_accepted(connection, address)
                    self._accept_all(sock)
                else:
                    CONNECTIONS_SHED_TOTAL.inc()
                    connection.close()
                pause_s = self.admission.pause_s(now)
                self.reports.paused(pause_s, self.admission.shed_count_)
                self._pause(pause_s)
                return
            self.on_accepted(connection, address)
