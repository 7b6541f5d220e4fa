"""Connections of callers that send nothing for long."""

import asyncio
import socket
import time
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.netutil import bind_sockets

from leadford_server.clock import boot_time
from leadford_server.pipelines.entry import _caller_server
from leadford_server.pipelines.entry._caller_server import CallerServer

TIMEOUT_S = 10.0
IDLE_MAX_S = 1.0
IDLE_CHECK_INTERVAL_S = 0.05
BEFORE_IDLE_S = 0.3
# Past the time-out, so that it is due as the request is read.
LATE_S = 0.9
REQUEST = b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n"


def answer(request):
    request.connection.write_headers(
        ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders({"Content-Length": "0"})
    )
    request.connection.finish()


def play(scenario):
    """Run a scenario with a server and a connection to it."""

    async def run():
        server = CallerServer(
            answer,
            clock=boot_time,
            idle_max_s=IDLE_MAX_S,
            idle_check_interval_s=IDLE_CHECK_INTERVAL_S,
        )
        (listening,) = bind_sockets(0, "127.0.0.1")
        server.add_sockets([listening])
        server.watch_idle()
        caller = socket.create_connection(listening.getsockname())
        caller.setblocking(False)
        await asyncio.wait_for(scenario(caller), TIMEOUT_S)
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


async def receive(caller):
    return await asyncio.get_running_loop().sock_recv(caller, 1024)


def test_a_request_that_comes_as_its_connection_was_idle_for_too_long_is_answered():
    """A connection is closed under a request that came in time, as the loop is late."""

    async def scenario(caller):
        await asyncio.sleep(BEFORE_IDLE_S)
        caller.send(REQUEST)
        time.sleep(LATE_S)
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")

    play(scenario)


def test_a_connection_that_is_idle_for_too_long_is_closed():
    """Connections without a request, or with a part of a head, stay for ever."""

    async def scenario(caller):
        caller.send(REQUEST)
        assert (await receive(caller)).startswith(b"HTTP/1.1 200")
        caller.send(REQUEST[:-2])
        assert await receive(caller) == b""

    play(scenario)


def test_a_connection_with_a_request_is_not_idle():
    """A caller that sends requests now and then is cut off."""

    async def scenario(caller):
        for _ in range(4):
            await asyncio.sleep(BEFORE_IDLE_S)
            caller.send(REQUEST)
            assert (await receive(caller)).startswith(b"HTTP/1.1 200")

    play(scenario)


@pytest.mark.parametrize("error", [TimeoutError, ConnectionResetError, OSError])
def test_a_broken_connection_does_not_end_the_look_for_idle_ones(monkeypatch, error):
    """An error of one connection keeps all idle ones open, and ends a planned stop."""
    has_arrived = _caller_server._has_arrived

    def recv(size, flags):
        raise error("no route to the caller")

    def has_arrived_on_broken(connection):
        return has_arrived(SimpleNamespace(recv=recv))

    monkeypatch.setattr(_caller_server, "_has_arrived", has_arrived_on_broken)

    async def scenario(caller):
        assert await receive(caller) == b""

    play(scenario)


def test_an_error_in_a_look_for_idle_connections_is_followed_by_other_looks(
    monkeypatch,
):
    """After an error in one look idle connections are never closed again."""
    close_idle = CallerServer.close_idle
    looks = []

    def fail_at_second_look(server, idle_min_s):
        looks.append(idle_min_s)
        if len(looks) == 2:
            raise RuntimeError("lost")
        close_idle(server, idle_min_s)

    monkeypatch.setattr(CallerServer, "close_idle", fail_at_second_look)

    async def scenario(caller):
        assert await receive(caller) == b""

    play(scenario)
