"""Connections are closed when they are unused, but under no request that has come."""

import asyncio
import time

import pytest

from leadford_server.forwarding.answers import _caller_server
from leadford_standins.wire import run_scenario
from leadford_standins.wire.tests.callers import (
    open_connection,
    read_status,
    request_bytes,
    send_now,
)

IDLE_TIMEOUT_MS = 300


async def configure_idle_timeout(deployment):
    """Let entries close connections that are idle for `IDLE_TIMEOUT_MS`."""
    deployment.config["limits"] = {"idleTimeoutMs": IDLE_TIMEOUT_MS}
    await deployment.apply_config()


async def open_read(deployment):
    """Return a connection that the entry reads, and the entry's side of it."""
    server = deployment.entries_[0].caller_server_
    connection = await open_connection(deployment)
    await deployment.until(lambda: server.connection_count == 1)
    (caller,) = server.connections_by_server_.values()
    return connection, caller


def test_a_request_that_comes_as_its_connection_was_idle_for_too_long_is_answered(
    monkeypatch,
):
    monkeypatch.setattr(_caller_server, "IDLE_GRACE_S", 0.7)

    async def scenario(deployment):
        (entry,) = deployment.entries_
        await configure_idle_timeout(deployment)
        reader, writer = await open_connection(deployment)
        await asyncio.sleep(0.5)
        writer.write(request_bytes("r"))
        # The loop is held up until the connection has been idle for too long.
        time.sleep(0.7)
        entry.caller_server_.close_idle()
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)


def test_a_connection_that_was_idle_for_too_long_is_closed(monkeypatch):
    monkeypatch.setattr(_caller_server, "IDLE_GRACE_S", 0.2)

    async def scenario(deployment):
        await configure_idle_timeout(deployment)
        reader, writer = await open_connection(deployment)
        async with asyncio.timeout(2.0):
            assert await reader.read() == b""
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("is_received", [False, True])
def test_a_connection_whose_request_lies_in_the_kernel_or_the_parser_is_not_unused(
    is_received,
):
    async def scenario(deployment):
        server = deployment.entries_[0].caller_server_
        (reader, writer), caller = await open_read(deployment)
        send_now(writer, request_bytes("r"))
        if is_received:
            # The next turn of the loop parses it.
            caller.stream._handle_read()
        server.end_reading()
        server.close_unused()
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("work_s", [0.005, 0.2])
def test_a_close_after_an_answer_waits_for_the_next_request(work_s):
    async def scenario(deployment):
        for endpoint in deployment.plain:
            endpoint.work_s = work_s
        server = deployment.entries_[0].caller_server_
        (reader, writer), caller = await open_read(deployment)
        server.close_soon(caller)
        await asyncio.sleep(0)
        send_now(writer, request_bytes("r"))
        time.sleep(0.05)
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)
