"""A stop leaves no request that an entry has read without an answer."""

import asyncio
import socket
from random import Random

import pytest

from leadford.forwarding.membership import _stop
from leadford_standins.wire import run_scenario, runs_of
from leadford_standins.wire.tests.callers import (
    open_connection,
    read_status,
    request_bytes,
    start_request,
)
from leadford_standins.wire.tests.permuted_loops import run_permuted

STOP_MIN_S = 0.25
REQUESTS = 24


@pytest.fixture
def short_stop(monkeypatch):
    monkeypatch.setattr(_stop, "STOP_MIN_S", STOP_MIN_S)


def test_a_stop_that_fails_answers_what_is_open_first(short_stop):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        sent = []

        async def fail():
            sent.append(await start_request(deployment, work_s=0.3))
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
        sent = await start_request(deployment, work_s=0.5)
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


@pytest.mark.parametrize("rest", [b"GET /safe/x HT", b"\r\n"])
def test_a_part_of_a_head_after_an_answer_does_not_hold_up_a_stop(short_stop, rest):
    async def scenario(deployment):
        (entry,) = deployment.entries_
        reader, writer = await open_connection(deployment)
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
        sent = []
        listener = entry.caller_server_.listener_
        working = getattr(listener, step)

        def fail():
            setattr(listener, step, working)
            raise OSError("no descriptors")

        async def retract():
            sent.append(await start_request(deployment, work_s=0.3))
            setattr(listener, step, fail)

        entry.members_.retract = retract
        await entry.drain()
        assert not entry.caller_server_.exchanges_
        assert (await sent[0]).code == 200

    run_scenario(scenario)


async def send_after(wait_s, connection, request):
    """Send a request after a time, and return the status of its answer."""
    reader, writer = connection
    await asyncio.sleep(wait_s)
    try:
        writer.write(request)
        return await read_status(reader)
    finally:
        writer.close()


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("path", ["/unsafe/x", "/safe/x"])
def test_in_no_order_of_events_does_a_stop_leave_a_request_unanswered(
    short_stop, seed, path
):
    """Requests around the end of a stop are answered, or reach no endpoint."""
    random = Random(seed)

    async def scenario(deployment):
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
        connections = [await open_connection(deployment) for _ in range(REQUESTS)]
        sending = []
        for number, connection in enumerate(connections):
            wait_s = random.uniform(0.15, 0.4)
            request = request_bytes(f"r{number}", path)
            answer = send_after(wait_s, connection, request)
            sending.append(asyncio.ensure_future(answer))
        await entry.drain()
        # The process ends here.
        assert not entry.caller_server_.exchanges_
        assert open_at_end == [0]
        statuses = await asyncio.gather(*sending)
        for number, status in enumerate(statuses):
            runs = runs_of(deployment.plain, f"r{number}")
            assert status in (200, 503) or not runs, (number, status)

    run_permuted(scenario, seed)
