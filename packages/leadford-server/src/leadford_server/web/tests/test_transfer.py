"""A call waits for a response as long as parts of it arrive, and no longer."""

import asyncio

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from leadford_server.web import NO_RESPONSE_STATUS, FetchTimeouts, fetch_while_arriving

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
# `first_byte_timeout_s` and `stall_timeout_s` are far below the duration of a response
# in ten parts.
TIMEOUTS = FetchTimeouts(
    connect_timeout_s=0.6,
    first_byte_timeout_s=0.3,
    stall_timeout_s=0.3,
    total_timeout_s=10.0,
)


async def fetch_from(serve):
    """Return the response of a server, and the client.

    The client ends its transfers only as long as it exists.
    """
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    http = CurlAsyncHTTPClient(force_instance=True)
    response = await fetch_while_arriving(
        http,
        HTTPRequest(f"http://127.0.0.1:{port}/"),
        TIMEOUTS,
    )
    server.close()
    return response, http


def test_an_answer_that_arrives_all_the_time_is_waited_for():
    async def serve(reader, writer):
        writer.write(HEAD)
        for _ in range(10):
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.close()

    response, _ = asyncio.run(fetch_from(serve))
    assert (response.status, response.body) == (200, b"x" * 10)
    assert (
        response.duration_s > TIMEOUTS.first_byte_timeout_s + TIMEOUTS.stall_timeout_s
    )


def test_an_answer_that_stops_is_given_up_with_what_had_come():
    async def serve(reader, writer):
        writer.write(HEAD + b"xxx")
        await reader.read(1_000)
        await reader.read(1_000)

    response, _ = asyncio.run(fetch_from(serve))
    assert (response.status, response.body) == (NO_RESPONSE_STATUS, b"xxx")


def test_an_answer_that_does_not_begin_is_given_up():
    async def serve(reader, writer):
        await reader.read(1_000)
        await reader.read(1_000)

    response, _ = asyncio.run(fetch_from(serve))
    assert (response.status, response.body) == (NO_RESPONSE_STATUS, b"")


def test_the_connection_of_an_answer_that_was_given_up_is_closed():
    closed = asyncio.Event()

    async def serve(reader, writer):
        writer.write(HEAD + b"xxx")
        while await reader.read(1_000):
            continue
        closed.set()

    async def main():
        response, http = await fetch_from(serve)
        assert response.status == NO_RESPONSE_STATUS
        async with asyncio.timeout(5.0):
            await closed.wait()
        http.close()

    asyncio.run(main())
