"""Pool keep-alive connections to endpoints within the limit of each endpoint.

Owns every connection to an endpoint. The limit applies to all entries together, so each
entry takes a share of it, and closes idle connections once that has become smaller.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from weakref import WeakSet

from leadford.common import EndpointId, RequestId
from leadford.forwarding.endpoints import (
    EndpointAddress,
    EndpointRecord,
    max_connections,
    may_use_again,
)
from leadford.forwarding.overload import LoopTurns
from leadford_server.forwarding._contract import RequestCodec
from leadford_server.forwarding._framing import unsent_bytes
from leadford_server.forwarding._memory import HeldMemory
from leadford_server.forwarding.endpoints._connection import EndpointConnection
from leadford_server.forwarding.endpoints._watched import WatchedStream
from leadford_server.metrics import CONNECTIONS_OPENED_TOTAL

CONNECT_TIMEOUT_S = 0.35


class _EndpointConnections:
    """Hold the connections of one endpoint."""

    def __init__(self, address: EndpointAddress, limit: int) -> None:
        self.address = address
        # The limit of the endpoint for all entries together.
        self.limit = limit
        self.idle_: list[EndpointConnection] = []
        self.open_count_ = 0
        self.waiters_: deque[asyncio.Future[None]] = deque()


class ConnectionPool:
    """Lend connections, within this entry's share of each endpoint's limit.

    `share` returns the share that applies now, a fraction. `turns` holds for how long
    the loop was late.
    """

    def __init__(
        self,
        *,
        codec: RequestCodec,
        loop: asyncio.AbstractEventLoop,
        memory: HeldMemory | None = None,
        share: Callable[[], float] = lambda: 1.0,
        turns: LoopTurns | None = None,
    ) -> None:
        self.codec = codec
        self.loop = loop
        self.memory = memory
        self.share = share
        self.turns = turns or LoopTurns()
        self.connections_by_id_: dict[EndpointId, _EndpointConnections] = {}
        self.streams_: WeakSet[WatchedStream] = WeakSet()
        # The share that `apply_share` applied last; waiters are woken when it changes.
        self.applied_share_ = 0.0

    async def acquire(
        self,
        record: EndpointRecord,
        connections_max: int,
        *,
        request_id: RequestId | None = None,
    ) -> EndpointConnection:
        """Return an idle or a new connection, waiting until the limit allows one.

        On an idle one that is returned, the answer to the request can be told from
        those to earlier requests.

        Errors: raises ExchangeBroken with NOT_SENT when connecting fails.
        """
        listed = record.listed
        connections = self.connections_by_id_.get(listed.endpoint_id)
        if connections is None:
            connections = _EndpointConnections(listed.address, connections_max)
            self.connections_by_id_[listed.endpoint_id] = connections
        connections.limit = connections_max
        while True:
            kept = self._take_idle(connections, request_id)
            if kept is not None:
                return kept
            allowed = max_connections(connections_max, self.share())
            while connections.idle_ and connections.open_count_ >= allowed:
                # No idle connection may carry the request, so one gives way.
                connections.idle_.pop(0).close()
                connections.open_count_ -= 1
            if connections.open_count_ < allowed:
                return await self._open(connections)
            waiter = self.loop.create_future()
            connections.waiters_.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if not waiter.cancelled():
                    # It was woken in the same turn: the next one may go on instead.
                    self._wake(connections)
                raise

    def has_room(self, record: EndpointRecord, connections_max: int) -> bool:
        """Return whether a request would get a connection without waiting."""
        connections = self.connections_by_id_.get(record.listed.endpoint_id)
        if connections is None or connections.idle_:
            return True
        return connections.open_count_ < max_connections(connections_max, self.share())

    def _take_idle(
        self, connections: _EndpointConnections, request_id: RequestId | None
    ) -> EndpointConnection | None:
        now = self.loop.time()
        taken = None
        passed_over = []
        while connections.idle_ and taken is None:
            # The most recently used connection is the least likely to be closed.
            connection = connections.idle_.pop()
            if not (_is_fresh(connection, now) and connection.is_usable):
                self._close(connections, connection)
                continue
            if not connection.matcher_.may_carry(request_id):
                passed_over.append(connection)
                continue
            connection.stream.set_close_callback(None)
            taken = connection
        connections.idle_.extend(reversed(passed_over))
        return taken

    async def _open(self, connections: _EndpointConnections) -> EndpointConnection:
        host, _, port = connections.address.rpartition(":")
        connections.open_count_ += 1
        try:
            connection = await EndpointConnection.open(
                host,
                int(port),
                self.codec,
                CONNECT_TIMEOUT_S,
                self.memory,
                self.turns,
            )
        except BaseException:
            connections.open_count_ -= 1
            self._wake(connections)
            raise
        CONNECTIONS_OPENED_TOTAL.inc()
        self.streams_.add(connection.stream)
        return connection

    def release(self, record: EndpointRecord, connection: EndpointConnection) -> None:
        """Return a connection to the pool; close it if it cannot be reused."""
        connections = self.connections_by_id_.get(record.listed.endpoint_id)
        if connections is None:
            connection.finish_exchange()
            connection.close()
            return
        if connection.finish_exchange():
            connection.mark_idle(self.loop.time())
            connections.idle_.append(connection)
            self._wake(connections)
            return
        self._close(connections, connection)

    @property
    def open_count(self) -> int:
        """Return the number of open connections, those in use included."""
        return sum(c.open_count_ for c in self.connections_by_id_.values())

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes wait to be sent to endpoints."""
        return sum(map(unsent_bytes, self.streams_))

    def _close(
        self, connections: _EndpointConnections, connection: EndpointConnection
    ) -> None:
        connection.close()
        connections.open_count_ -= 1
        self._wake(connections)

    def _wake(self, connections: _EndpointConnections) -> None:
        while connections.waiters_:
            waiter = connections.waiters_.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def apply_share(self) -> None:
        """Close idle connections beyond the share, and let requests use a larger one.

        Called when the share may have changed.
        """
        share = self.share()
        if share == self.applied_share_:
            return
        self.applied_share_ = share
        for connections in self.connections_by_id_.values():
            allowed = max_connections(connections.limit, share)
            while connections.idle_ and connections.open_count_ > allowed:
                self._close(connections, connections.idle_.pop(0))
            waiting = len(connections.waiters_)
            for _ in range(min(waiting, allowed - connections.open_count_)):
                self._wake(connections)

    def close_idle(self, known_ids: set[EndpointId]) -> None:
        """Close connections that were idle for too long or whose endpoint has left."""
        now = self.loop.time()
        for endpoint_id, connections in list(self.connections_by_id_.items()):
            kept = []
            for connection in connections.idle_:
                is_reusable = _is_fresh(connection, now) and connection.is_usable
                if is_reusable and endpoint_id in known_ids:
                    kept.append(connection)
                    continue
                connection.close()
                connections.open_count_ -= 1
            connections.idle_ = kept
            if (
                endpoint_id not in known_ids
                and connections.open_count_ <= 0
                and not connections.waiters_
            ):
                del self.connections_by_id_[endpoint_id]


def _is_fresh(connection: EndpointConnection, now: float) -> bool:
    """Return whether a connection was idle for less time than its endpoint allows."""
    return may_use_again(now - connection.idle_since_, connection.idle_timeout_s_)
