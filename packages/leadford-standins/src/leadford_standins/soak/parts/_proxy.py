"""Stand between two processes on loopback and harm what passes.

Owns the state of each link and the connections over it; relies on asyncio streams.
Bytes that are held back are not lost: they pass once the fault ends, as after packets
that were lost and sent again.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum

Address = tuple[str, int]
CHUNK_BYTES = 65_536
# Seconds between looks whether a link that holds bytes back lets them pass again.
HELD_STEP_S = 0.02
# Makes the close of a socket a reset.
_NO_LINGER = struct.pack("ii", 1, 0)


class Way(Enum):
    """Name a direction: from who connected to the target, or back."""

    TO = "to"
    FROM = "from"


class LinkState:
    """Hold what is wrong with a link, and the connections over it.

    Several faults may overlap: each way counts how many hold it. Units: seconds and
    bytes a second.
    """

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.rate: float | None = None
        self.holds_by_way_: dict[Way, int] = {Way.TO: 0, Way.FROM: 0}
        self.writers_: set[asyncio.StreamWriter] = set()

    async def hold(self, way: Way, count: int) -> None:
        """Wait as the faults of the link say before bytes pass."""
        while self.holds_by_way_[way] > 0:
            await asyncio.sleep(HELD_STEP_S)
        if self.delay_s > 0.0:
            await asyncio.sleep(self.delay_s)
        if self.rate is not None:
            await asyncio.sleep(count / self.rate)

    def reset(self) -> None:
        """Reset every connection over the link."""
        for writer in list(self.writers_):
            abort(writer)


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset one connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        # The socket may be gone already, which is what is wanted.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


LinkOf = Callable[[Address, Address], Awaitable[LinkState]]


class FaultProxy:
    """Pass connections on to a target over a link that may be harmed.

    `link_of` returns the link of a new connection, by its two addresses.
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
            await self._pass(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The end of a connection, or of the soak, is not a fault of the proxy.
            pass
        finally:
            self.tasks_.discard(task)
            writer.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        near, far = writer.get_extra_info("peername"), writer.get_extra_info("sockname")
        link = await self.link_of(near, far)
        link.writers_.add(writer)
        try:
            host, _, port = self.target.rpartition(":")
            # A link that holds what goes to the target holds its connecting too.
            await link.hold(Way.TO, 0)
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            # Nobody listens at the target: whoever connected learns it by a reset.
            abort(writer)
            link.writers_.discard(writer)
            return
        link.writers_.add(far_writer)
        pumps = [
            asyncio.ensure_future(_pump(reader, far_writer, link, Way.TO)),
            asyncio.ensure_future(_pump(far_reader, writer, link, Way.FROM)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_EXCEPTION)
        finally:
            await self._end(pumps, link, writer, far_writer)

    async def _end(
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
    way: Way,
) -> None:
    """Pass bytes one way until their end, which is passed on too."""
    while True:
        data = await reader.read(CHUNK_BYTES)
        await link.hold(way, len(data))
        if not data:
            break
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()
