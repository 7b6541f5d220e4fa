"""Each connection on loopback has the link of the process that opened it."""

import asyncio
import os

from leadford_standins.soak.parts._owners import LinksByOwner


def play(pids_by_name):
    """Return the name of the link of a connection that this process opens."""

    async def main():
        links = LinksByOwner(pids_by_name=lambda: pids_by_name)
        found = asyncio.get_running_loop().create_future()

        async def accept(reader, writer):
            near = writer.get_extra_info("peername")
            far = writer.get_extra_info("sockname")
            found.set_result(await links.link_of(near, far))
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        link = await asyncio.wait_for(found, 10.0)
        writer.close()
        server.close()
        return links, link

    return asyncio.run(main())


def test_a_connection_has_the_link_of_the_process_that_opened_it():
    links, link = play({"entry-0": os.getppid(), "entry-1": os.getpid()})
    assert link is links.link("entry-1")
    assert links.unknown_count_ == 0


def test_a_connection_of_no_entry_has_a_link_of_its_own():
    links, link = play({"entry-0": os.getppid()})
    assert link is links.unknown_link_
    assert links.unknown_count_ == 1
