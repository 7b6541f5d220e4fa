"""Send and receive messages over one authenticated websocket.

Used by every program for its connections to other processes. Each frame carries the
version of the sender's configuration and the queued messages. A peer that does not read
or that sends an invalid frame is disconnected. Messages that this build does not know
are skipped. Handlers act on the messages.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

import msgspec
from returns.result import Failure
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from leadford.events import Event
from leadford.protocol import Message, ReceivedFrame, decode, encode
from leadford_server.logs import EventLog
from leadford_server.metrics import (
    PEER_BYTES_TOTAL,
    PEER_FRAMES_TOTAL,
    PEER_MESSAGES_SKIPPED_TOTAL,
)

# Maximum size of a received frame, and maximum number of messages in a sent one.
FRAME_BYTES_MAX = 8 * 1024 * 1024
FRAME_MESSAGES_MAX = 64
# Maximum number of messages queued for a peer; at one more it is disconnected.
OUTBOX_MESSAGES_MAX = 20_000
# Timeout of each message of the handshake.
HANDSHAKE_TIMEOUT_S = 5.0

_FRAMES_SENT = PEER_FRAMES_TOTAL.labels(direction="sent")
_BYTES_SENT = PEER_BYTES_TOTAL.labels(direction="sent")
_FRAMES_RECEIVED = PEER_FRAMES_TOTAL.labels(direction="received")
_BYTES_RECEIVED = PEER_BYTES_TOTAL.labels(direction="received")


class PeerInfo(msgspec.Struct, frozen=True):
    """Identify the process at the other end of a connection."""

    peer_id: str
    role: str
    hall: str
    protocol_version: int
    draining: bool = False


class PeerHandler(Protocol):
    """Handle the events of connections."""

    def peer_connected(self, peer: "PeerConnection") -> None:
        """Record that a connection is open."""

    def peer_lost(self, peer: "PeerConnection") -> None:
        """Remove a connection that ended."""

    def peer_message(self, peer: "PeerConnection", message: Message) -> None:
        """Handle one message."""

    def peer_version(self, peer: "PeerConnection", version: int) -> None:
        """Record that a peer changed to another configuration version."""


class PeerConnection:
    """Send and receive messages; queued messages are sent together in a frame."""

    def __init__(
        self,
        *,
        socket: Connection,
        info: PeerInfo,
        log: EventLog,
        config_version: Callable[[], int],
    ) -> None:
        self.socket = socket
        self.info = info
        self.log = log
        self.config_version = config_version
        self.outbox_: deque[Message] = deque()
        self.wake_ = asyncio.Event()
        self.peer_config_version_ = 0
        self.sent_config_version_ = 0
        self.is_open_ = True
        self.has_skipped_ = False

    def send(self, message: Message) -> bool:
        """Queue a message; return whether the connection is still open."""
        if not self.is_open_:
            return False
        if len(self.outbox_) >= OUTBOX_MESSAGES_MAX:
            # Disconnecting a peer that does not read bounds the memory of its queue.
            self.abort()
            return False
        self.outbox_.append(message)
        self.wake_.set()
        return True

    async def make_round_trip(self) -> bool:
        """Wait for the answer to a ping; return False if the connection ended."""
        try:
            answered = await self.socket.ping()
            await answered
        except ConnectionClosed:
            return False
        return True

    def announce_version(self) -> None:
        """Send the configuration version of this process, unless already sent."""
        self.wake_.set()

    def abort(self) -> None:
        """Close the connection at once, without sending the queued messages."""
        self.is_open_ = False
        self.wake_.set()
        self.socket.transport.abort()

    async def close(self) -> None:
        """Send the queued messages, then close the connection."""
        while self.outbox_ and self.is_open_:
            await asyncio.sleep(0.01)
        self.is_open_ = False
        self.wake_.set()
        await self.socket.close()

    async def run(self, handler: PeerHandler) -> None:
        """Read and write messages until the connection ends."""
        writer = asyncio.create_task(self._write())
        handler.peer_connected(self)
        try:
            await self._read(handler)
        finally:
            self.is_open_ = False
            writer.cancel()
            handler.peer_lost(self)

    async def _read(self, handler: PeerHandler) -> None:
        while True:
            try:
                data = await self.socket.recv()
            except ConnectionClosed:
                return
            decoded = decode(data)
            if isinstance(decoded, Failure):
                self.log.report(
                    Event.FRAME_REJECTED,
                    peer=self.info.peer_id,
                    error=str(decoded.failure())[:200],
                )
                self.abort()
                return
            frame = decoded.unwrap()
            _FRAMES_RECEIVED.inc()
            _BYTES_RECEIVED.inc(len(data))
            if frame.config_version != self.peer_config_version_:
                self.peer_config_version_ = frame.config_version
                handler.peer_version(self, frame.config_version)
            for message in frame.messages:
                handler.peer_message(self, message)
            self._count_skipped(frame)

    def _count_skipped(self, frame: ReceivedFrame) -> None:
        """Count messages that this build does not know; log a connection's first."""
        if not frame.skipped:
            return
        PEER_MESSAGES_SKIPPED_TOTAL.inc(len(frame.skipped))
        if self.has_skipped_:
            return
        self.has_skipped_ = True
        self.log.report(
            Event.MESSAGE_SKIPPED,
            peer=self.info.peer_id,
            protocol_version=self.info.protocol_version,
            error=frame.skipped[0],
        )

    async def _write(self) -> None:
        while self.is_open_:
            await self.wake_.wait()
            self.wake_.clear()
            while self.outbox_ or self._version_is_due():
                version = self.config_version()
                count = min(len(self.outbox_), FRAME_MESSAGES_MAX)
                messages = [self.outbox_.popleft() for _ in range(count)]
                data = encode(version, messages)
                self.sent_config_version_ = version
                try:
                    await self.socket.send(data)
                except ConnectionClosed:
                    self.is_open_ = False
                    return
                _FRAMES_SENT.inc()
                _BYTES_SENT.inc(len(data))

    def _version_is_due(self) -> bool:
        return self.sent_config_version_ < self.config_version()
