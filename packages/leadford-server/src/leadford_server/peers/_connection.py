"""Carry messages over one authenticated websocket.

Used by every program for its links to other processes. Each frame carries the version
of the sender's configuration and the messages that waited; a peer that does not read,
or that sends what is no frame, is cut off. A message that only another build knows is
skipped. Handlers decide what messages mean.
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

# Bytes and messages that a frame holds at most.
FRAME_BYTES_MAX = 8 * 1024 * 1024
FRAME_MESSAGES_MAX = 64
# Messages that wait for a peer before it is cut off.
OUTBOX_MAX = 20_000
# Seconds that each step of the handshake may take.
HANDSHAKE_S = 5.0

_FRAMES_SENT = PEER_FRAMES_TOTAL.labels(direction="sent")
_BYTES_SENT = PEER_BYTES_TOTAL.labels(direction="sent")
_FRAMES_RECEIVED = PEER_FRAMES_TOTAL.labels(direction="received")
_BYTES_RECEIVED = PEER_BYTES_TOTAL.labels(direction="received")


class PeerInfo(msgspec.Struct, frozen=True):
    """Say who stands at the other end of a connection."""

    peer_id: str
    role: str
    hall: str
    protocol_version: int
    draining: bool = False


class PeerHandler(Protocol):
    """Take what happens on connections."""

    def peer_connected(self, peer: "PeerConnection") -> None:
        """Record that a connection stands."""

    def peer_lost(self, peer: "PeerConnection") -> None:
        """Drop a connection that ended."""

    def peer_message(self, peer: "PeerConnection", message: Message) -> None:
        """Handle one message."""

    def peer_version(self, peer: "PeerConnection", version: int) -> None:
        """Record that a peer runs another configuration version than before."""


class PeerConnection:
    """Send and receive messages; what waits to be sent goes out as one frame."""

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
        """Queue a message; return whether the connection still stands."""
        if not self.is_open_:
            return False
        if len(self.outbox_) >= OUTBOX_MAX:
            # A peer that does not read is cut off, so that memory stays bounded.
            self.abort()
            return False
        self.outbox_.append(message)
        self.wake_.set()
        return True

    def announce_version(self) -> None:
        """Tell the peer once which configuration version runs here."""
        self.wake_.set()

    def abort(self) -> None:
        """Drop the connection at once."""
        self.is_open_ = False
        self.wake_.set()
        self.socket.transport.abort()

    async def close(self) -> None:
        """Send what waits and close."""
        while self.outbox_ and self.is_open_:
            await asyncio.sleep(0.01)
        self.is_open_ = False
        self.wake_.set()
        await self.socket.close()

    async def run(self, handler: PeerHandler) -> None:
        """Serve the connection until it ends."""
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
        """Count messages that this build does not know; log the first of a link."""
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
