"""Each whole request that an entry reads is answered, or its caller left first."""

import asyncio
import selectors
import socket
import time
from random import Random

import pytest

from leadford.forwarding.membership import _stop
from leadford.forwarding.memory import HeldCause
from leadford_server.forwarding.answers import _caller_server
from leadford_standins.wire import run_scenario, runs_of
from leadford_standins.wire._deployment import HOST, KEY, Deployment

STOP_MIN_S = 0.25
LARGE_BYTES = 24_000_000
SCENARIO_TIMEOUT_S = 30.0


@pytest.fixture
def short_stop(monkeypatch):
    monkeypatch.setattr(_stop, "STOP_MIN_S", STOP_MIN_S)


def request_bytes(request_id, path="/unsafe/x", method="POST"):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 3000",
        f"Authorization: Token {KEY}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def open_kept(deployment):
    """Return a connection that the entry reads."""
    callers = deployment.entries_[0].settings.callers
    return await asyncio.open_connection(callers.host, callers.port)


async def read_status(reader):
    """Return the status of an answer, None if the connection ends without one."""
    try:
        async with asyncio.timeout(4.0):
            head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split()[1])


def test_a_request_that_is_cancelled_at_its_endpoint_is_answered_as_maybe_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        for endpoint in deployment.plain:
            endpoint.work_s = 0.5
        sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
        await deployment.until(lambda: runs_of(deployment.plain, "r"))
        (exchange,) = entry.caller_server_.exchanges_
        exchange.task_.cancel()
        assert (await sent).code == 502

    run_scenario(scenario)


def test_a_request_that_is_cancelled_before_it_is_sent_is_refused_as_not_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        for stage in deployment.stage:
            stage.call_s = 0.5
        sent = asyncio.ensure_future(deployment.send("/once/x", request_id="r"))
        await deployment.until(
            lambda: (
                any(stage.waiting_ for stage in deployment.stage)
                or any(stage.call_lock_.locked() for stage in deployment.stage)
            )
        )
        (exchange,) = entry.caller_server_.exchanges_
        exchange.task_.cancel()
        answer = await sent
        assert answer.code == 503
        assert "Retry-After" in answer.headers
        assert runs_of(deployment.engines, "r") == []

    run_scenario(scenario)


def test_a_request_that_is_cancelled_before_its_first_step_is_refused_as_not_run():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        start_request = entry.caller_server_.start_request

        def start(server_conn, request_conn):
            exchange = start_request(server_conn, request_conn)
            finish = exchange.finish

            def finish_and_cancel():
                finish()
                exchange.task_.cancel()

            exchange.finish = finish_and_cancel
            return exchange

        entry.caller_server_.start_request = start
        answer = await deployment.send("/unsafe/x", request_id="r")
        assert answer.code == 503
        assert runs_of(deployment.plain, "r") == []

    run_scenario(scenario)


def test_a_stop_that_fails_answers_what_is_open_first(short_stop):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sent = []
        for endpoint in deployment.plain:
            endpoint.work_s = 0.3

        async def fail():
            request = deployment.send("/unsafe/x", request_id="r")
            sent.append(asyncio.ensure_future(request))
            await deployment.until(lambda: runs_of(deployment.plain, "r"))
            raise RuntimeError("the store's client failed")

        entry.members_.retract = fail
        await entry.drain()
        # The process ends here.
        assert not entry.caller_server_.exchanges_
        assert (await sent[0]).code == 200

    run_scenario(scenario)


def test_a_stop_that_is_cancelled_answers_what_is_open_first(short_stop):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        for endpoint in deployment.plain:
            endpoint.work_s = 0.5
        sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
        await deployment.until(lambda: runs_of(deployment.plain, "r"))
        stopping = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(0.1)
        stopping.cancel()
        await asyncio.wait({stopping})
        # The process ends here.
        assert not entry.caller_server_.exchanges_
        assert (await sent).code == 200

    run_scenario(scenario)


@pytest.mark.parametrize("is_new", [False, True])
def test_a_request_that_waits_to_be_read_as_a_stop_is_decided_is_answered(
    short_stop, is_new
):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        callers = entry.settings.callers
        sock = socket.create_connection((callers.host, callers.port))
        if not is_new:
            await deployment.until(lambda: entry.caller_server_.connection_count == 1)

        async def retract():
            # Nothing is awaited, so the entry cannot read this before its next look.
            nonlocal sock
            if is_new:
                sock.close()
                sock = socket.create_connection((callers.host, callers.port))
            sock.sendall(request_bytes("r"))

        entry.members_.retract = retract
        await entry.drain()
        sock.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sock)
        assert await read_status(reader) == 200
        assert len(runs_of(deployment.plain, "r")) == 1
        writer.close()

    run_scenario(scenario)


def test_a_request_that_comes_as_its_connection_was_idle_for_too_long_is_answered(
    monkeypatch,
):
    monkeypatch.setattr(_caller_server, "IDLE_GRACE_S", 0.2)

    async def scenario(deployment):
        (entry,) = deployment.entries_
        deployment.config["version"] = 2
        deployment.config["limits"] = {"idleTimeoutMs": 300}
        deployment.put_config()
        await deployment.until(lambda: entry.state_.table_.config.version == 2)
        reader, writer = await open_kept(deployment)
        await asyncio.sleep(0.45)
        writer.write(request_bytes("r"))
        # The loop is held up until the connection has been idle for too long.
        time.sleep(0.2)
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)


def test_a_connection_that_was_idle_for_too_long_is_closed(monkeypatch):
    monkeypatch.setattr(_caller_server, "IDLE_GRACE_S", 0.2)

    async def scenario(deployment):
        (entry,) = deployment.entries_
        deployment.config["version"] = 2
        deployment.config["limits"] = {"idleTimeoutMs": 300}
        deployment.put_config()
        await deployment.until(lambda: entry.state_.table_.config.version == 2)
        reader, writer = await open_kept(deployment)
        async with asyncio.timeout(2.0):
            assert await reader.read() == b""
        writer.close()

    run_scenario(scenario)


def test_memory_that_was_released_since_the_last_sweep_cuts_off_no_request():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        memory = entry.state_.memory_
        memory.set_limit(160_000_000)
        for endpoint in deployment.plain:
            endpoint.serve = _finish_large
        reader, writer = await open_kept(deployment)
        writer.write(request_bytes("r1", "/safe/x", "GET"))
        await deployment.until(
            lambda: memory.account_.bytes_by_cause_[HeldCause.UNSENT_ANSWER] > 0
        )
        await asyncio.sleep(1.2)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head
        await reader.readexactly(LARGE_BYTES)
        for endpoint in deployment.plain:
            endpoint.serve = _finish_later
        writer.write(request_bytes("r2"))
        await deployment.until(lambda: runs_of(deployment.plain, "r2"))
        # Another caller announces more than there is room for.
        memory.admit(memory.account_.budget.refuse_bytes)
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)


async def _finish_large(handler):
    handler.record_run()
    handler.finish(b"x" * LARGE_BYTES)


async def _finish_later(handler):
    handler.record_run()
    await asyncio.sleep(0.3)
    handler.finish(b"done")


class DelayingLoop(asyncio.SelectorEventLoop):
    """Put off each callback by a few turns, at random by a seed."""

    def __init__(self, seed):
        super().__init__(selectors.DefaultSelector())
        self.random = Random(seed)

    def call_soon(self, callback, *args, context=None):
        turns = self.random.choice((0, 0, 0, 1, 2, 4))
        return self._put_off(turns, callback, args, context)

    def _put_off(self, turns, callback, args, context):
        if turns == 0:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        self._count_down(turns, handle)
        return handle

    def _count_down(self, turns, handle):
        if turns == 0:
            self._ready.append(handle)
            return
        super().call_soon(self._count_down, turns - 1, handle)


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
def test_in_no_order_of_events_does_a_stop_leave_a_request_unanswered(
    short_stop, seed, path
):
    """Requests around the end of a stop are answered, or reach no endpoint."""
    random = Random(seed)
    requests = 24

    async def send(deployment, connection, number, after_s):
        reader, writer = connection
        await asyncio.sleep(after_s)
        try:
            writer.write(request_bytes(f"r{number}", path))
            return await read_status(reader)
        finally:
            writer.close()

    async def scenario():
        async with Deployment(seed=seed) as deployment:
            for endpoint in deployment.plain:
                endpoint.work_s = random.choice((0.0, 0.002, 0.05))
            (entry,) = deployment.entries_
            deployment.store.delete_s = random.choice((0.0, 0.005, 0.05))
            connections = [await open_kept(deployment) for _ in range(requests)]
            sending = [
                asyncio.ensure_future(
                    send(deployment, connection, number, random.uniform(0.15, 0.4))
                )
                for number, connection in enumerate(connections)
            ]
            await entry.drain()
            # The process ends here.
            assert not entry.caller_server_.exchanges_
            assert entry.caller_server_.connection_count == 0
            statuses = await asyncio.gather(*sending)
            for number, status in enumerate(statuses):
                runs = runs_of(deployment.plain, f"r{number}")
                assert status in (200, 503) or not runs, (number, status)

    loop = DelayingLoop(seed)
    try:
        loop.run_until_complete(asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S))
    finally:
        loop.close()
