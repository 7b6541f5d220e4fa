"""Keep a connection to one peer open, and reconnect when it is lost.

Owns one outgoing connection; reconnects with exponential backoff and jitter. A failed
attempt to connect is not logged here: `on_disconnected` notifies the owner. The handler
logs the end of an open connection.
"""

import asyncio
from collections.abc import Callable
from random import Random

from returns.result import Failure
from websockets.asyncio.client import connect as open_socket
from websockets.exceptions import WebSocketException

from leadford.events import Event
from leadford_server.logs import EventLog
from leadford_server.peers._connection import (
    FRAME_BYTES_MAX,
    PeerConnection,
    PeerHandler,
)
from leadford_server.peers._handshake import Identity, connect

# Timeout of opening a connection.
OPEN_TIMEOUT_S = 2.0
# Interval of pings, and the time without a reply after which the connection is closed.
PING_INTERVAL_S = 10.0
# Delay before reconnecting; it doubles with each failed attempt up to the maximum.
RECONNECT_DELAY_MIN_S = 0.1
RECONNECT_DELAY_MAX_S = 2.0


class Dialer:
    """Keep one outgoing connection open.

    `on_disconnected` is called after each failed attempt and each lost connection.
    """

    def __init__(
        self,
        *,
        address: str,
        identity: Identity,
        handler: PeerHandler,
        log: EventLog,
        random: Random,
        config_version: Callable[[], int],
        on_disconnected: Callable[[], None],
    ) -> None:
        self.address = address
        self.identity = identity
        self.handler = handler
        self.log = log
        self.random = random
        self.config_version = config_version
        self.on_disconnected = on_disconnected
        self.peer_: PeerConnection | None = None
        self.task_: asyncio.Task[None] | None = None
        self.failures_ = 0

    @property
    def peer(self) -> PeerConnection | None:
        """Return the connection, or None while it is not open."""
        if self.peer_ is None or not self.peer_.is_open_:
            return None
        return self.peer_

    def start(self) -> None:
        """Start connecting in a background task."""
        self.task_ = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Close the connection and stop reconnecting."""
        if self.peer is not None:
            await self.peer.close()
        self.task_.cancel()

    async def _run(self) -> None:
        delay_s = RECONNECT_DELAY_MIN_S
        while True:
            served = await self._connect_once()
            self.failures_ += 1
            self.on_disconnected()
            delay_s = (
                RECONNECT_DELAY_MIN_S
                if served
                else min(RECONNECT_DELAY_MAX_S, delay_s * 2.0)
            )
            # Jitter spreads the reconnects after a data hall was lost.
            await asyncio.sleep(delay_s * self.random.uniform(0.5, 1.5))

    async def _connect_once(self) -> bool:
        try:
            socket = await open_socket(
                f"ws://{self.address}",
                compression=None,
                max_size=FRAME_BYTES_MAX,
                open_timeout=OPEN_TIMEOUT_S,
                ping_interval=PING_INTERVAL_S,
                ping_timeout=PING_INTERVAL_S,
                proxy=None,
            )
        except (OSError, WebSocketException, TimeoutError):
            return False
        try:
            async with socket:
                return await self._serve(socket)
        except (OSError, WebSocketException):
            return False

    async def _serve(self, socket: object) -> bool:
        reached = await connect(socket, self.identity, self.random)
        if isinstance(reached, Failure):
            self.log.report(Event.PEER_REJECTED, error=reached.failure()[:200])
            return False
        self.peer_ = PeerConnection(
            socket=socket,
            info=reached.unwrap(),
            log=self.log,
            config_version=self.config_version,
        )
        self.failures_ = 0
        await self.peer_.run(self.handler)
        return True
