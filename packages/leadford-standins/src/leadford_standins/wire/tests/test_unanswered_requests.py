"""Each whole request that an entry reads is answered, or its caller left first."""

import asyncio
import selectors
import socket
import threading
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
# Longer than a caller at the slow rate was borne for.
READING_S = 6.0


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


def test_a_request_that_is_cancelled_without_a_connection_is_refused_as_not_run():
    # It was said that it may have run.
    async def scenario(deployment):
        (entry,) = deployment.entries_
        waiting = asyncio.Event()

        async def acquire(*args, **fields):
            waiting.set()
            await asyncio.sleep(60.0)

        entry.state_.pool_.acquire = acquire
        sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
        await waiting.wait()
        (exchange,) = entry.caller_server_.exchanges_
        exchange.task_.cancel()
        assert (await sent).code == 503
        assert runs_of(deployment.plain, "r") == []

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
    monkeypatch.setattr(_caller_server, "IDLE_GRACE_S", 0.7)

    async def scenario(deployment):
        (entry,) = deployment.entries_
        deployment.config["version"] = 2
        deployment.config["limits"] = {"idleTimeoutMs": 300}
        deployment.put_config()
        await deployment.until(lambda: entry.state_.table_.config.version == 2)
        reader, writer = await open_kept(deployment)
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


def send_now(writer, data):
    """Send bytes so that they lie in the kernel of the entry when this returns."""
    writer.get_extra_info("socket")._sock.sendall(data)


async def open_read(deployment):
    """Return a connection that the entry reads, and the entry's side of it."""
    server = deployment.entries_[0].caller_server_
    connection = await open_kept(deployment)
    await deployment.until(lambda: server.connection_count == 1)
    (caller,) = server.connections_by_server_.values()
    return connection, caller


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


@pytest.mark.parametrize("rest", [b"GET /safe/x HT", b"\r\n"])
def test_a_part_of_a_head_after_an_answer_does_not_hold_up_a_stop(short_stop, rest):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        reader, writer = await open_kept(deployment)
        stopping = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(0.05)
        writer.write(request_bytes("r") + rest)
        assert await read_status(reader) == 200
        done, _ = await asyncio.wait({stopping}, timeout=4.0)
        writer.close()
        assert stopping in done

    run_scenario(scenario)


@pytest.mark.parametrize("step", ["accept_rest", "stop"])
def test_a_listener_that_fails_in_a_stop_ends_no_request(short_stop, step):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        for endpoint in deployment.plain:
            endpoint.work_s = 0.3
        sent = []
        listener = entry.caller_server_.listener_
        working = getattr(listener, step)

        def fail():
            setattr(listener, step, working)
            raise OSError("no descriptors")

        async def retract():
            request = deployment.send("/unsafe/x", request_id="r")
            sent.append(asyncio.ensure_future(request))
            await deployment.until(lambda: runs_of(deployment.plain, "r"))
            setattr(listener, step, fail)

        entry.members_.retract = retract
        await entry.drain()
        assert not entry.caller_server_.exchanges_
        assert (await sent[0]).code == 200

    run_scenario(scenario)


def test_a_sweep_that_fails_is_followed_by_others():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sweeps = []
        check_unsent = entry.caller_server_.check_unsent

        def fail_once():
            sweeps.append(len(sweeps))
            if len(sweeps) == 1:
                raise RuntimeError("a fault put in")
            check_unsent()

        entry.caller_server_.check_unsent = fail_once
        await deployment.until(lambda: len(sweeps) >= 3)

    run_scenario(scenario)


def test_a_body_that_arrived_while_the_loop_was_held_up_is_not_cut_off():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        memory = entry.state_.memory_
        memory.set_limit(160_000_000)
        body = b"x" * 60_000
        refuse_bytes = memory.account_.budget.refuse_bytes
        memory.hold(HeldCause.ANSWER).set(refuse_bytes - 100_000)
        reader, writer = await open_kept(deployment)
        length = b"Content-Length: %d" % len(body)
        writer.write(request_bytes("r").replace(b"Content-Length: 0", length))
        await deployment.until(lambda: len(entry.caller_server_.exchanges_) == 1)
        send_now(writer, body)
        time.sleep(1.1)
        # The head of another request is parsed first.
        memory.admit(80_000)
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize(("read_per_s", "held_up_s"), [(1_000_000, 0.0), (None, 1.3)])
def test_a_caller_that_reads_is_not_cut_off_for_want_of_memory(read_per_s, held_up_s):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        memory = entry.state_.memory_
        memory.set_limit(160_000_000)
        for endpoint in deployment.plain:
            endpoint.serve = _finish_large
        caller = ReadingThread(entry.settings.callers, read_per_s)
        caller.start()
        await deployment.until(
            lambda: memory.account_.bytes_by_cause_[HeldCause.UNSENT_ANSWER] > 0
        )
        time.sleep(held_up_s)
        until = asyncio.get_running_loop().time() + READING_S
        while not caller.ended_ and asyncio.get_running_loop().time() < until:
            memory.admit(memory.account_.budget.refuse_bytes)
            await asyncio.sleep(0.1)
        is_cut = caller.ended_ and caller.count_ < LARGE_BYTES
        caller.stop()
        assert not is_cut

    run_scenario(scenario)


class ReadingThread(threading.Thread):
    """Read a large answer beside the event loop, at a rate if there is one."""

    def __init__(self, address, read_per_s):
        super().__init__(daemon=True)
        self.address = address
        self.read_per_s = read_per_s
        self.count_ = 0
        self.ended_ = False
        self.is_stopped_ = False

    def run(self):
        sock = socket.create_connection((self.address.host, self.address.port))
        sock.sendall(request_bytes("r", "/safe/x", "GET"))
        began_at = time.monotonic()
        while self.count_ < LARGE_BYTES and not self.is_stopped_:
            try:
                chunk = sock.recv(16_384)
            except OSError:
                break
            if not chunk:
                break
            self.count_ += len(chunk)
            if self.read_per_s is not None:
                due_s = self.count_ / self.read_per_s - (time.monotonic() - began_at)
                time.sleep(max(0.0, due_s))
        sock.close()
        self.ended_ = True

    def stop(self):
        self.is_stopped_ = True
        self.join(timeout=2.0)


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
            open_at_end = []
            stop = entry.stop

            def count_and_stop():
                open_at_end.append(entry.caller_server_.open_count)
                stop()

            entry.stop = count_and_stop
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
            assert open_at_end == [0]
            statuses = await asyncio.gather(*sending)
            for number, status in enumerate(statuses):
                runs = runs_of(deployment.plain, f"r{number}")
                assert status in (200, 503) or not runs, (number, status)

    loop = DelayingLoop(seed)
    try:
        loop.run_until_complete(asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S))
    finally:
        loop.close()
