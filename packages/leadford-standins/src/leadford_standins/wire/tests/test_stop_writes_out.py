"""Complete a planned stop only after all answers are written to the callers."""

import asyncio
import socket

import pytest

from leadford_standins.wire import run_scenario

# More than the kernel buffers for a caller with a small receive window.
BODY_BYTES = 8 * 1024 * 1024
# Time from the start of the stop until the caller reads on: longer than the minimum
# duration of a stop, with most of the grace period left.
READ_DELAY_S = 4.0


def test_a_planned_stop_waits_until_an_answer_has_left():
    """Failure: the end of an answer is lost, though the endpoint sent all of it.

    Sequence: a plain answer is written in one call, and its request counts as ended;
    data that the connection does not accept at once is buffered in the process; no
    request is running, so the stop ends the process, and the buffered data is lost.
    """

    async def scenario(deployment):
        entry = deployment.entries_[0]
        deployment.config["limits"] = {"maxBodyBytes": 2 * BODY_BYTES}
        await deployment.apply_config()
        for endpoint in deployment.plain:
            # The endpoint echoes the body, so the answer is as large.
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
            await asyncio.sleep(READ_DELAY_S)
            while await loop.sock_recv(sock, 1 << 20):
                continue

        reading = asyncio.ensure_future(read_late())
        await entry.drain()
        # The process ends here, and data that is not yet written is lost.
        unsent = [stream for stream in streams if stream.writing()]
        reading.cancel()
        sock.close()
        assert unsent == []

    run_scenario(scenario)


async def drain_after(entry, wait_s):
    await asyncio.sleep(wait_s)
    await entry.drain()


@pytest.mark.parametrize("sent_after_s", [-0.5, 0.3])
def test_a_request_that_reached_no_endpoint_is_refused_before_a_stop_ends(
    sent_after_s,
):
    async def scenario(deployment):
        for route in deployment.config["routes"]:
            route["timeoutMs"] = 20_000
        await deployment.configure_call_ms(20.0)
        for stage in deployment.stage:
            # Its pieces wait for room, and nothing reports that they will not run.
            stage.room = 0
        (entry,) = deployment.entries_
        stopping = asyncio.ensure_future(drain_after(entry, max(0.0, -sent_after_s)))
        await asyncio.sleep(max(0.0, sent_after_s))
        answer = await deployment.send("/resumed/x", request_id="r", deadline_ms=15_000)
        await stopping
        assert answer.code == 503
        assert not any(engine.runs_ for engine in deployment.engines)

    run_scenario(scenario)
