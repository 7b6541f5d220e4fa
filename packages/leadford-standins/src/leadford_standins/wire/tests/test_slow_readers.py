"""Bound what is held for callers and endpoints that read slowly, and serve others."""

import asyncio
import socket

import pytest

from leadford.forwarding.memory import MAX_UNREAD_EVENT_BYTES, HeldCause
from leadford_server.forwarding.answers import _unsent
from leadford_standins.wire import event_ids, run_scenario, runs_of
from leadford_standins.wire._deployment import HOST, KEY

BODY_BYTES = 4_000_000
# Larger than what the kernel buffers between two processes.
LARGE_BYTES = 24_000_000
EVENT_BYTES = 32_768
EVENTS = LARGE_BYTES // EVENT_BYTES
# Read at once beyond the bound of a holder.
READ_BYTES = 65_536 + EVENT_BYTES


class SlowCaller:
    """Send a request by hand, and read only when told."""

    @classmethod
    async def open(cls, deployment):
        caller = cls()
        address = deployment.entries_[0].settings.callers
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (address.host, address.port))
        caller.reader, caller.writer = await asyncio.open_connection(
            sock=sock, limit=8_192
        )
        return caller

    def send_head(
        self,
        method,
        path,
        *,
        request_id,
        body_bytes=0,
        deadline_ms=3_000,
        framing="Content-Length: {}",
    ):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Piece-Key: pk-{request_id}",
            "X-Pieces: 2,1",
            "X-Model: m",
            "X-Token-Counts: 100,10",
            "X-Prefix-Hash: aa:50,bb:20",
            f"Authorization: Token {KEY}",
            framing.format(body_bytes),
        ]
        self.writer.write("\r\n".join([*lines, "", ""]).encode())

    async def read_head(self):
        return (await self.reader.readuntil(b"\r\n\r\n")).decode()

    async def read_rest(self, max_bytes=1 << 40):
        data = bytearray()
        try:
            while len(data) < max_bytes:
                chunk = await self.reader.read(65_536)
                if not chunk:
                    break
                data += chunk
        except ConnectionError:
            pass
        return bytes(data)


def limit_memory(deployment, limit_bytes=160_000_000):
    (entry,) = deployment.entries_
    entry.state_.memory_.set_limit(limit_bytes)
    return entry


def held(entry, cause):
    return entry.state_.memory_.account_.bytes_by_cause_[cause]


def stream_large_events(deployment, request_id):
    """Make the engines send large events to one request; return the last numbers."""
    last = []

    def event(number, request):
        if request.headers["X-Attempt-Id"] != request_id:
            return f"id: {number}\ndata: token {number}\n\n"
        last.append(number)
        return f"id: {number}\ndata: {'x' * EVENT_BYTES}\n\n"

    for engine in deployment.engines:
        engine.events, engine.pause_s, engine.event = EVENTS, 0.0, event
    return last


async def until_still(numbers):
    """Wait until an engine makes no further event."""
    count = -1
    while count != len(numbers):
        count = len(numbers)
        await asyncio.sleep(0.4)
    assert 0 < count < EVENTS


def test_a_caller_that_stops_reading_a_stream_holds_no_more_than_its_bound():
    async def scenario(deployment):
        entry = limit_memory(deployment)
        numbers = stream_large_events(deployment, "slow")
        caller = await SlowCaller.open(deployment)
        caller.send_head("POST", "/once/x", request_id="slow", deadline_ms=4_000)
        assert "200" in await caller.read_head()
        await until_still(numbers)
        unread_bytes = held(entry, HeldCause.UNREAD_EVENTS)
        assert 0 < unread_bytes <= MAX_UNREAD_EVENT_BYTES + READ_BYTES
        assert 0 < held(entry, HeldCause.UNSENT_ANSWER) <= READ_BYTES
        answer = await deployment.send("/once/x", request_id="quick")
        assert event_ids(answer.body) == list(range(1, EVENTS + 1))
        assert held(entry, HeldCause.UNREAD_EVENTS) == unread_bytes
        # The deadline of the request ends the stream, visibly incomplete.
        account = entry.state_.memory_.account_
        await deployment.until(lambda: account.held_bytes_ == 0)
        assert not (await caller.read_rest()).endswith(b"0\r\n\r\n")

    run_scenario(scenario)


@pytest.mark.parametrize("is_slow", [True, False])
def test_an_engine_that_cuts_off_an_unread_stream_is_not_held_to_have_failed(is_slow):
    async def scenario(deployment):
        entry = limit_memory(deployment)
        (engine,) = deployment.engines
        numbers = stream_large_events(deployment, "slow")
        caller = await SlowCaller.open(deployment)
        caller.send_head("POST", "/once/x", request_id="slow", deadline_ms=4_000)
        if is_slow:
            await caller.read_head()
            await until_still(numbers)
            await asyncio.sleep(0.8)
        else:
            engine.pause_s = 0.05
            reading = asyncio.ensure_future(caller.read_rest())
            await deployment.until(lambda: len(numbers) > 3)
        for connection in list(engine.server_._connections):
            connection.stream.close()
        await (caller.read_rest() if is_slow else reading)
        record = entry.state_.roster_.record(engine.endpoint_id)
        assert record.consecutive_failures_ == (0 if is_slow else 1)
        cases = entry.state_.quarantine_.ledger_.works_by_digest_
        assert bool(cases) is not is_slow

    run_scenario(scenario, endpoints=1)


@pytest.mark.parametrize("limit_bytes", [160_000_000, None])
def test_a_plain_answer_that_is_never_read_ends_some_time_after_the_deadline(
    monkeypatch, limit_bytes
):
    monkeypatch.setattr(_unsent, "MIN_READ_TIME_S", 0.5)

    async def scenario(deployment):
        entry = limit_memory(deployment, limit_bytes)
        for endpoint in deployment.plain:
            endpoint.serve = lambda handler: _finish(handler, b"x" * LARGE_BYTES)
        caller = await SlowCaller.open(deployment)
        caller.send_head("GET", "/safe/x", request_id="slow", deadline_ms=2_000)
        await caller.read_head()
        await asyncio.sleep(1.0)
        assert held(entry, HeldCause.UNSENT_ANSWER) > LARGE_BYTES // 2
        await asyncio.sleep(2.0)
        is_held = held(entry, HeldCause.UNSENT_ANSWER) > 0
        assert is_held is (limit_bytes is None)
        is_whole = len(await caller.read_rest(LARGE_BYTES)) == LARGE_BYTES
        assert is_whole is (limit_bytes is None)

    run_scenario(scenario)


async def _finish(handler, body):
    handler.record_run()
    handler.finish(body)


def test_a_body_that_an_endpoint_does_not_read_is_held_once_until_the_deadline():
    async def scenario(deployment):
        entry = limit_memory(deployment)
        (endpoint,) = deployment.plain

        async def ignore(reader, writer):
            await asyncio.sleep(30)

        server = await asyncio.start_server(ignore, "127.0.0.1", 0, limit=1_024)
        host, port = server.sockets[0].getsockname()
        record = entry.state_.roster_.record(endpoint.endpoint_id)
        spec = {**endpoint.spec(), "address": f"{host}:{port}"}
        deployment.store.put("servers", endpoint.endpoint_id, spec)
        await deployment.until(lambda: record.listed.address == spec["address"])
        sending = asyncio.ensure_future(
            deployment.send(
                "/unsafe/x", request_id="a", body=b"x" * BODY_BYTES, deadline_ms=1_500
            )
        )
        account = entry.state_.memory_.account_
        await deployment.until(lambda: account.held_bytes_ > 0)
        await asyncio.sleep(0.5)
        assert account.held_bytes_ == BODY_BYTES
        assert (await sending).code in (502, 504)
        await deployment.until(lambda: account.held_bytes_ == 0)
        server.close()

    run_scenario(scenario, endpoints=1)


def test_bodies_beyond_the_budget_are_refused_at_once_and_never_sent():
    async def scenario(deployment):
        # The smallest budget, of which refusals begin at 9.6 MB.
        entry = limit_memory(deployment, 1)
        callers = [await SlowCaller.open(deployment) for _ in range(6)]
        for number, caller in enumerate(callers):
            caller.send_head(
                "POST", "/unsafe/x", request_id=f"r{number}", body_bytes=BODY_BYTES
            )
            caller.writer.write(b"x" * 1_000)
            await deployment.until(
                lambda count=number + 1: (
                    held(entry, HeldCause.REQUEST_BODY) == min(count, 2) * BODY_BYTES
                )
            )
        for caller in callers[2:]:
            head = await asyncio.wait_for(caller.read_head(), 0.5)
            assert head.startswith("HTTP/1.1 503") and "Retry-After" in head
        assert sum(endpoint.arrivals_ for endpoint in deployment.plain) == 0
        for caller in callers:
            caller.writer.write(b"x" * (BODY_BYTES - 1_000))
        for caller in callers[:2]:
            assert "200" in await caller.read_head()
            caller.writer.close()
        account = entry.state_.memory_.account_
        await deployment.until(lambda: account.held_bytes_ == 0)
        # The connection of a refused caller is in order after the dropped body.
        callers[3].send_head("GET", "/safe/x", request_id="again")
        assert "200" in await callers[3].read_head()
        ran = [runs_of(deployment.plain, f"r{number}") for number in range(6)]
        assert [len(runs) for runs in ran] == [1, 1, 0, 0, 0, 0]

    run_scenario(scenario)


@pytest.mark.parametrize(
    "framing",
    [
        "Content-Length: {}",
        "Content-Length: {}\r\nExpect: 100-continue",
        "Transfer-Encoding: chunked",
    ],
)
def test_a_refused_caller_gets_one_answer_however_its_body_is_framed(framing):
    async def scenario(deployment):
        entry = limit_memory(deployment, 1)
        other = entry.state_.memory_.hold(HeldCause.ANSWER)
        other.set(9_000_000)
        caller = await SlowCaller.open(deployment)
        caller.send_head(
            "POST",
            "/unsafe/x",
            request_id="a",
            body_bytes=BODY_BYTES,
            framing=framing,
        )
        if "chunked" in framing:
            caller.writer.write(b"f4240\r\n" + b"x" * 1_000_000 + b"\r\n")
        head = await asyncio.wait_for(caller.read_head(), 1.0)
        assert head.startswith("HTTP/1.1 503") and "Retry-After" in head
        assert await _bytes_within(caller, 0.2) == b""
        assert held(entry, HeldCause.REQUEST_BODY) == 0
        assert sum(endpoint.arrivals_ for endpoint in deployment.plain) == 0

    run_scenario(scenario)


async def _bytes_within(caller, timeout_s):
    """Return what arrives within a time, empty if nothing does."""
    try:
        return await asyncio.wait_for(caller.reader.read(1_024), timeout_s)
    except TimeoutError:
        return b""


def test_a_caller_that_stops_sending_is_cut_off_where_others_need_the_memory():
    async def scenario(deployment):
        entry = limit_memory(deployment, 1)
        callers = [await SlowCaller.open(deployment) for _ in range(2)]
        for number, caller in enumerate(callers):
            caller.send_head(
                "POST", "/unsafe/x", request_id=f"r{number}", body_bytes=BODY_BYTES
            )
        account = entry.state_.memory_.account_
        await deployment.until(lambda: account.held_bytes_ == 2 * BODY_BYTES)
        await asyncio.sleep(1.6)
        # Below the budget, they may take their time.
        assert account.held_bytes_ == 2 * BODY_BYTES
        answer = await deployment.send(
            "/unsafe/x", request_id="a", body=b"x" * BODY_BYTES
        )
        assert answer.code == 200
        await deployment.until(lambda: account.held_bytes_ <= BODY_BYTES)

    run_scenario(scenario)


def test_a_stream_whose_caller_stops_reading_ends_at_once_where_memory_is_needed():
    async def scenario(deployment):
        entry = limit_memory(deployment)
        (engine,) = deployment.engines
        numbers = stream_large_events(deployment, "slow")
        caller = await SlowCaller.open(deployment)
        caller.send_head("POST", "/once/x", request_id="slow", deadline_ms=20_000)
        await caller.read_head()
        await until_still(numbers)
        other = entry.state_.memory_.hold(HeldCause.ANSWER)
        other.set(entry.state_.memory_.account_.budget.refuse_bytes)
        # Sooner than by the timeout of its route, 4 s, and at its engine too.
        await deployment.until(lambda: engine.left_early_ == 1, timeout_s=1.5)
        assert held(entry, HeldCause.UNREAD_EVENTS) == 0
        assert held(entry, HeldCause.UNSENT_ANSWER) == 0
        assert not entry.caller_server_.exchanges_

    run_scenario(scenario, endpoints=1)
