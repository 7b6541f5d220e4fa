"""Share kept connections to endpoints within the bound that each endpoint sets."""

import asyncio
from collections import deque

from leadford.common import EndpointId
from leadford.forwarding.endpoints import EndpointAddress, EndpointRecord
from leadford_server.forwarding._connection import (
    EndpointConnection,
)
from leadford_server.forwarding._contract import RequestWire
from leadford_server.metrics import CONNECTIONS_OPENED_TOTAL

# Seconds that a connection may take; not measured.
CONNECT_S = 0.35
# Seconds that a connection rests where the endpoint says nothing; not measured.
REST_DEFAULT_S = 8.0
# Seconds before an endpoint closes a resting connection at which it is not used any
# more; not measured.
REST_MARGIN_S = 0.6


class _Line:
    """Hold the connections of one endpoint."""

    def __init__(self, address: EndpointAddress) -> None:
        self.address = address
        self.idle_: list[EndpointConnection] = []
        self.open_ = 0
        self.waiters_: deque[asyncio.Future[None]] = deque()


class ConnectionPool:
    """Lend connections; each endpoint's bound is split evenly over the entries."""

    def __init__(self, *, wire: RequestWire, loop: asyncio.AbstractEventLoop) -> None:
        self.wire = wire
        self.loop = loop
        self.lines_by_id_: dict[EndpointId, _Line] = {}
        self.sharers_ = 1

    def allowance(self, connections_max: int) -> int:
        """Return how many connections this entry may hold to one endpoint."""
        return max(1, int(connections_max * 0.95) // max(1, self.sharers_))

    async def acquire(
        self, record: EndpointRecord, connections_max: int
    ) -> EndpointConnection:
        """Return a connection; raises ExchangeBroken with NOT_SENT."""
        listed = record.listed
        line = self.lines_by_id_.get(listed.endpoint_id)
        if line is None:
            line = self.lines_by_id_[listed.endpoint_id] = _Line(listed.address)
        while True:
            kept = self._take_idle(line)
            if kept is not None:
                return kept
            if line.open_ < self.allowance(connections_max):
                return await self._open(line)
            waiter = self.loop.create_future()
            line.waiters_.append(waiter)
            await waiter

    def _take_idle(self, line: _Line) -> EndpointConnection | None:
        now = self.loop.time()
        while line.idle_:
            # The one used last is the least likely to have been closed.
            connection = line.idle_.pop()
            if _is_fresh(connection, now) and connection.is_usable:
                connection.stream.set_close_callback(None)
                return connection
            self._drop(line, connection)
        return None

    async def _open(self, line: _Line) -> EndpointConnection:
        host, _, port = line.address.rpartition(":")
        line.open_ += 1
        try:
            connection = await EndpointConnection.open(
                host, int(port), self.wire, CONNECT_S
            )
        except BaseException:
            line.open_ -= 1
            self._wake(line)
            raise
        CONNECTIONS_OPENED_TOTAL.inc()
        return connection

    def release(self, record: EndpointRecord, connection: EndpointConnection) -> None:
        """Give a connection back, kept if it may carry another exchange."""
        line = self.lines_by_id_.get(record.listed.endpoint_id)
        if line is None:
            connection.settle()
            connection.close()
            return
        if connection.settle():
            connection.rest(self.loop.time())
            line.idle_.append(connection)
            self._wake(line)
            return
        self._drop(line, connection)

    def _drop(self, line: _Line, connection: EndpointConnection) -> None:
        connection.close()
        line.open_ -= 1
        self._wake(line)

    def _wake(self, line: _Line) -> None:
        while line.waiters_:
            waiter = line.waiters_.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def sweep(self, known_ids: set[EndpointId]) -> None:
        """Close what has rested too long, and what leads to endpoints that left."""
        now = self.loop.time()
        for endpoint_id, line in list(self.lines_by_id_.items()):
            kept = []
            for connection in line.idle_:
                is_good = _is_fresh(connection, now) and connection.is_usable
                if is_good and endpoint_id in known_ids:
                    kept.append(connection)
                    continue
                connection.close()
                line.open_ -= 1
            line.idle_ = kept
            if endpoint_id not in known_ids and line.open_ <= 0 and not line.waiters_:
                del self.lines_by_id_[endpoint_id]


def _is_fresh(connection: EndpointConnection, now: float) -> bool:
    """Tell whether a connection has rested for less than its endpoint allows."""
    rest_s = connection.rest_s_
    allowed_s = REST_DEFAULT_S if rest_s is None else rest_s - REST_MARGIN_S
    return now - connection.idle_since_ < allowed_s
