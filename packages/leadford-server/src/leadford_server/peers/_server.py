"""Accept connections from peers.

Owns the listening socket. A `PeerConnection` serves each connection that passes the
handshake; one that fails it is logged (event 202) and closed.
"""

from collections.abc import Callable
from random import Random

from returns.result import Failure
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from leadford.events import Event
from leadford_server.logs import EventLog
from leadford_server.peers._connection import (
    FRAME_BYTES_MAX,
    PeerConnection,
    PeerHandler,
)
from leadford_server.peers._handshake import Identity, accept
from leadford_server.settings import SocketAddress

# Interval of pings, and the time without a reply after which the connection is closed.
PING_INTERVAL_S = 10.0


class PeerServer:
    """Listen for peers and serve each connection."""

    def __init__(
        self,
        *,
        identity: Identity,
        handler: PeerHandler,
        log: EventLog,
        random: Random,
        config_version: Callable[[], int],
        is_draining: Callable[[], bool],
    ) -> None:
        self.identity = identity
        self.handler = handler
        self.log = log
        self.random = random
        self.config_version = config_version
        self.is_draining = is_draining
        self.server_: Server | None = None

    async def start(self, address: SocketAddress) -> SocketAddress:
        """Start listening and return the bound address."""
        self.server_ = await serve(
            self._serve,
            address.host,
            address.port,
            compression=None,
            max_size=FRAME_BYTES_MAX,
            ping_interval=PING_INTERVAL_S,
            ping_timeout=PING_INTERVAL_S,
        )
        host, port = next(iter(self.server_.sockets)).getsockname()[:2]
        return SocketAddress(host, port)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self.server_.close()
        await self.server_.wait_closed()

    async def _serve(self, socket: ServerConnection) -> None:
        try:
            accepted = await accept(
                socket, self.identity, self.random, self.is_draining()
            )
        except ConnectionClosed:
            return
        if isinstance(accepted, Failure):
            self.log.report(Event.PEER_REJECTED, error=accepted.failure()[:200])
            socket.transport.abort()
            return
        peer = PeerConnection(
            socket=socket,
            info=accepted.unwrap(),
            log=self.log,
            config_version=self.config_version,
        )
        await peer.run(self.handler)
