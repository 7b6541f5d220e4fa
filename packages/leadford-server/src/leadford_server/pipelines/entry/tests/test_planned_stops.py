"""Requests that are open while an entry of the own interface stops as planned."""

import asyncio

import pytest

from leadford.common import RequestId
from leadford_server.pipelines.entry import _planned_stop
from leadford_server.pipelines.entry.tests._entry import (
    HEADERS,
    READ_UNKNOWN,
    RESULT_BYTES,
    play,
    read_all,
    send,
    status_of,
)

# Past the announcement of a stop, so that only open requests hold it.
PAST_ANNOUNCEMENT_S = 0.8
SHORT_WORK_S = 0.2
STATEMENT = b'{"statement": "show entries"}'
ASK_STATEMENT = (
    f"POST /v1/operator/statements HTTP/1.1\r\n{HEADERS}"
    f"Content-Length: {len(STATEMENT)}\r\n\r\n"
).encode() + STATEMENT


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [(READ_UNKNOWN, b"404"), (ASK_STATEMENT, b"200")],
    ids=["read", "statement"],
)
def test_a_stop_waits_for_a_read_and_for_a_statement(request_bytes, status):
    """A stop closes the connection of a request that waits for other processes."""

    async def scenario(entry):
        caller = entry.connect()
        await send(caller, request_bytes)
        stop = asyncio.create_task(entry.process.drain())
        await asyncio.sleep(PAST_ANNOUNCEMENT_S)
        entry.released.set()
        assert status_of(await read_all(caller)) == [status]
        await stop

    play(scenario)


def test_a_stop_waits_for_a_read_after_a_refused_method():
    """A refused method is taken off a count that it never joined."""

    async def scenario(entry):
        other = entry.connect()
        await send(other, READ_UNKNOWN.replace(b"GET", b"BREW"))
        await asyncio.get_running_loop().sock_recv(other, 1)
        caller = entry.connect()
        await send(caller, READ_UNKNOWN)
        stop = asyncio.create_task(entry.process.drain())
        await asyncio.sleep(PAST_ANNOUNCEMENT_S)
        entry.released.set()
        assert status_of(await read_all(caller)) == [b"404"]
        await stop

    play(scenario)


def test_a_stop_waits_until_an_answer_is_written_out():
    """A stop cuts off an answer that its caller has not read yet."""

    async def scenario(entry):
        entry.add_ended_request(RequestId("r"))
        caller = entry.connect()
        await send(caller, READ_UNKNOWN.replace(b"unknown", b"r"))
        stop = asyncio.create_task(entry.process.drain())
        await asyncio.sleep(PAST_ANNOUNCEMENT_S)
        assert len(await read_all(caller)) > RESULT_BYTES
        await stop

    play(scenario)


def test_a_request_that_waits_to_be_read_as_a_stop_is_decided_is_answered():
    """A stop closes a kept connection on which a request has arrived."""

    async def scenario(entry):
        caller = entry.connect()
        await asyncio.sleep(SHORT_WORK_S)
        stop_listening = entry.process.web_.stop
        loop = asyncio.get_running_loop()

        def send_then_stop_listening():
            caller.send(READ_UNKNOWN)
            loop.call_later(SHORT_WORK_S, entry.released.set)
            stop_listening()

        entry.process.web_.stop = send_then_stop_listening
        stop = asyncio.create_task(entry.process.drain())
        assert status_of(await read_all(caller)) == [b"404"]
        await stop

    play(scenario)


def test_a_stop_answers_a_request_whose_body_still_arrives():
    """A stop closes the connection of a request that has arrived in part."""

    async def scenario(entry):
        caller = entry.connect()
        await send(caller, ASK_STATEMENT[:-1])
        entry.released.set()
        stop = asyncio.create_task(entry.process.drain())
        await asyncio.sleep(PAST_ANNOUNCEMENT_S)
        await send(caller, ASK_STATEMENT[-1:])
        assert status_of(await read_all(caller)) == [b"200"]
        await stop

    play(scenario)


def test_a_stop_does_not_wait_for_a_body_that_never_arrives(monkeypatch):
    """A stop lasts as long as a caller keeps a request unfinished."""
    monkeypatch.setattr(_planned_stop, "BODY_REST_MAX_S", SHORT_WORK_S)

    async def scenario(entry):
        caller = entry.connect()
        await send(caller, ASK_STATEMENT[:-1])
        await entry.process.drain()
        assert await read_all(caller) == b""

    play(scenario)


def test_a_stop_closes_connections_without_a_request():
    """A stop waits for callers that keep a connection and send nothing."""

    async def scenario(entry):
        caller = entry.connect()
        await asyncio.sleep(SHORT_WORK_S)
        await entry.process.drain()
        assert await read_all(caller) == b""

    play(scenario)


def test_an_idle_connection_may_be_used_while_a_stop_waits_for_another():
    """A stop closes connections under callers while it waits for others anyway."""

    async def scenario(entry):
        waiting, idle = entry.connect(), entry.connect()
        await send(waiting, READ_UNKNOWN)
        stop = asyncio.create_task(entry.process.drain())
        await asyncio.sleep(PAST_ANNOUNCEMENT_S)
        await send(idle, READ_UNKNOWN)
        await asyncio.sleep(SHORT_WORK_S)
        entry.released.set()
        assert status_of(await read_all(idle)) == [b"404"]
        assert status_of(await read_all(waiting)) == [b"404"]
        await stop

    play(scenario)
