"""Proxy connections between two processes on loopback and inject link faults.

Owns the state of each link and the connections over it; relies on asyncio streams.
Bytes that are held back are not lost: they pass once the fault ends, as if lost packets
were sent again.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum

Address = tuple[str, int]
CHUNK_BYTES = 65_536
# Interval of the checks whether a link still holds bytes back.
HOLD_POLL_INTERVAL_S = 0.02
# Value of SO_LINGER with which closing a socket resets the connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Name a direction of a link: to the target of the connection, or from it."""

    TO = "to"
    FROM = "from"


class LinkState:
    """Hold the active faults of a link, and the connections over it.

    Faults may overlap, so the faults that hold back bytes are counted by direction.
    Units: seconds and bytes per second.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.bytes_per_s: float | None = None
        self.hold_counts_by_direction_: dict[Direction, int] = {
            Direction.TO: 0,
            Direction.FROM: 0,
        }
        self.writers_: set[asyncio.StreamWriter] = set()

    async def wait_to_pass(self, direction: Direction, byte_count: int) -> None:
        """Wait before bytes pass for as long as the faults of the link require."""
        while self.hold_counts_by_direction_[direction] > 0:
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)
        if self.delay_s > 0.0:
            await asyncio.sleep(self.delay_s)
        if self.bytes_per_s is not None:
            await asyncio.sleep(byte_count / self.bytes_per_s)

    def reset(self) -> None:
        """Reset every connection over the link."""
        for writer in list(self.writers_):
            abort(writer)


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset one connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # A socket that is closed already needs no reset.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


LinkOf = Callable[[Address, Address], Awaitable[LinkState]]


class FaultProxy:
    """Forward connections to a target over a link that may be impaired.

    `link_of` returns the link of a new connection for its two addresses.
    """

    def __init__(self, *, target: str, link_of: LinkOf) -> None:
        self.target = target
        self.link_of = link_of
        self.tasks_: set[asyncio.Task[None]] = set()

    async def start(self, host: str = "127.0.0.1") -> str:
        """Listen on loopback and return the address."""
        self.server_ = await asyncio.start_server(self._accept, host, 0)
        port = self.server_.sockets[0].getsockname()[1]
        self.address_ = f"{host}:{port}"
        return self.address_

    def stop(self) -> None:
        """Stop listening and drop every connection."""
        self.server_.close()
        for task in list(self.tasks_):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks_.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # Connections break and are cancelled in normal operation of the proxy.
            pass
        finally:
            self.tasks_.discard(task)
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        near, far = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        link = await self.link_of(near, far)
        link.writers_.add(writer)
        try:
            host, _, port = self.target.rpartition(":")
            # A link that holds bytes to the target delays connecting to it too.
            await link.wait_to_pass(Direction.TO, 0)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # The target does not listen: the reset reports this to the client.
            abort(writer)
            link.writers_.discard(writer)
            return
        link.writers_.add(far_writer)
        pumps = [
            asyncio.ensure_future(_pump(reader, far_writer, link, Direction.TO)),
            asyncio.ensure_future(_pump(far_reader, writer, link, Direction.FROM)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            await self._close_connection(pumps, link, writer, far_writer)

    async def _close_connection(
        self,
        pumps: list[asyncio.Future[None]],
        link: LinkState,
        *writers: asyncio.StreamWriter,
    ) -> None:
        is_broken = any(
            pump.done() and not pump.cancelled() and pump.exception() for pump in pumps
        )
        for pump in pumps:
            pump.cancel()
        for writer in writers:
            link.writers_.discard(writer)
            if is_broken:
                abort(writer)
            else:
                writer.close()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    link: LinkState,
    direction: Direction,
) -> None:
    """Forward bytes in one direction up to the end of the stream, and the end too."""
    while True:
        data = await reader.read(CHUNK_BYTES)
        await link.wait_to_pass(direction, len(data))
        if not data:
            break
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()
