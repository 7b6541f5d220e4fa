"""The proxy forwards bytes, and delays, holds or resets them as its link says."""

import asyncio

import pytest

from leadford_standins.soak.parts._proxy import Direction, FaultProxy, LinkState


async def echo(reader, writer):
    while data := await reader.read(1_000):
        writer.write(data)
        await writer.drain()
    writer.close()


def play(scenario):
    async def main():
        link = LinkState()

        async def link_of(near, far):
            return link

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        proxy = FaultProxy(target=f"127.0.0.1:{port}", link_of=link_of)
        host, _, port = (await proxy.start()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            await scenario(link, reader, writer)
        finally:
            writer.close()
            proxy.stop()
            server.close()

    asyncio.run(asyncio.wait_for(main(), 20.0))


async def is_held(reader):
    try:
        await asyncio.wait_for(reader.readexactly(5), 0.3)
    except TimeoutError:
        return True
    return False


def test_bytes_pass_both_ways_and_so_does_their_end():
    async def scenario(link, reader, writer):
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        writer.write_eof()
        assert await reader.read() == b""

    play(scenario)


@pytest.mark.parametrize("direction", Direction)
def test_a_way_that_is_cut_holds_bytes_until_it_is_open_again(direction):
    async def scenario(link, reader, writer):
        link.hold_counts_by_direction_[direction] += 1
        writer.write(b"hello")
        assert await is_held(reader)
        link.hold_counts_by_direction_[direction] -= 1
        assert await reader.readexactly(5) == b"hello"

    play(scenario)


def test_a_narrow_link_takes_its_time():
    async def scenario(link, reader, writer):
        loop = asyncio.get_running_loop()
        link.bytes_per_s = 50_000.0
        began = loop.time()
        writer.write(b"x" * 10_000)
        await reader.readexactly(10_000)
        assert loop.time() - began >= 0.2

    play(scenario)


def test_a_reset_breaks_the_connections_of_the_link():
    async def scenario(link, reader, writer):
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    play(scenario)
