"""A planned stop does not end before what it has answered is on its way."""

import asyncio
import socket

import pytest

from leadford_standins.wire import play

# More than the kernel holds for a caller with a small window.
BODY_BYTES = 8 * 1024 * 1024
# Seconds after the begin of the stop at which the caller goes on reading: later than
# the least time of a stop, with most of the grace period left.
READS_AT_S = 4.0


def test_a_planned_stop_waits_until_an_answer_has_left():
    """The last part of an answer is lost, though the endpoint gave it whole.

    Sequence: a plain answer is written at once, and its request counts as over; what
    the link does not take at once waits in the process; nothing runs, so the stop ends
    the process, and what waited is lost.
    """

    async def scenario(deployment):
        entry = deployment.entries_[0]
        deployment.config["version"] = 2
        deployment.config["limits"] = {"maxBodyBytes": 2 * BODY_BYTES}
        deployment.put_config()
        await deployment.until(lambda: entry.state_.table_.config.version == 2)
        for endpoint in deployment.plain:
            # What it is sent comes back, so the answer is as large.
            endpoint.work_s = 0.1
        callers = entry.settings.callers
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 * 1024)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (callers.host, callers.port))
        head = [
            "POST /unsafe/x HTTP/1.1",
            "Host: rooms.example",
            "X-Attempt-Id: r1",
            "X-Deadline-Ms: 4000",
            f"Content-Length: {BODY_BYTES}",
            "Authorization: Token key-1",
        ]
        await loop.sock_sendall(sock, "\r\n".join([*head, "", ""]).encode())
        await loop.sock_sendall(sock, b"x" * BODY_BYTES)
        first = await loop.sock_recv(sock, 1_000)
        assert b" 200 " in first
        await deployment.until(lambda: not entry.caller_server_.exchanges_)
        connections = entry.caller_server_.server_._connections
        streams = [connection.stream for connection in connections]
        assert any(stream.writing() for stream in streams)

        async def read_late():
            await asyncio.sleep(READS_AT_S)
            while await loop.sock_recv(sock, 1 << 20):
                continue

        reading = asyncio.ensure_future(read_late())
        await entry.drain()
        # The process ends here, and with it what still waits to be written.
        unsent = [stream for stream in streams if stream.writing()]
        reading.cancel()
        sock.close()
        assert unsent == []

    play(scenario)


async def stop_after(entry, wait_s):
    await asyncio.sleep(wait_s)
    await entry.drain()


@pytest.mark.parametrize("taken_after_s", [-0.5, 0.3])
def test_a_request_that_reached_no_endpoint_is_refused_before_a_stop_ends(
    taken_after_s,
):
    async def scenario(deployment):
        for route in deployment.config["routes"]:
            route["timeoutMs"] = 20_000
        await deployment.declare_call_ms(20.0)
        for stage in deployment.stage:
            # Its pieces wait for room, and nothing says that they will not be made.
            stage.room = 0
        (entry,) = deployment.entries_
        stopping = asyncio.ensure_future(stop_after(entry, max(0.0, -taken_after_s)))
        await asyncio.sleep(max(0.0, taken_after_s))
        answer = await deployment.send("/resumed/x", request_id="r", deadline_ms=15_000)
        await stopping
        assert answer.code == 503
        assert not any(engine.runs_ for engine in deployment.engines)

    play(scenario)
