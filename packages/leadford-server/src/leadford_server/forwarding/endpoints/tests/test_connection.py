"""A connection to an endpoint reports the outcome of an exchange correctly."""

import asyncio
import socket

import pytest

from leadford.common import RequestId
from leadford_platform import PlatformRequests
from leadford_server.forwarding import OutboundRequest
from leadford_server.forwarding.endpoints._connection import EndpointConnection
from leadford_server.forwarding.endpoints._pool import ConnectionPool
from leadford_server.forwarding.endpoints._reader import BreakKind, ExchangeBroken
from leadford_server.forwarding.endpoints._watched import ConnectionEnd
from leadford_standins.records import endpoint_record

ID = RequestId("r1")
REQUEST = OutboundRequest("GET", "/x", [("Host", "a"), ("X-Attempt-Id", ID)])


class Endpoint:
    """Answer each request with the next prepared bytes.

    The answer "reset" resets the connection, and "hang" waits for 30 seconds. The
    connection closes after the last answer, and after one that requires a close.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *error):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.answers:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                answer = self.answers.pop(0)
                if answer == "reset":
                    sock = writer.get_extra_info("socket")
                    linger = (1).to_bytes(4, "little") + bytes(4)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                if answer == "hang":
                    await asyncio.sleep(30)
                writer.write(answer)
                await writer.drain()
                if b"Connection: close" in answer or b"Length" not in answer:
                    break
            writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async def connect(self):
        return await EndpointConnection.open(
            "127.0.0.1", self.port, PlatformRequests(), 1.0
        )


def answer(body=b"ok", request_id=ID, extra=""):
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
    head += f"X-Attempt-Id: {request_id}\r\n{extra}\r\n"
    return head.encode() + body


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 10))


def test_a_connection_carries_one_exchange_after_the_other():
    async def scenario():
        async with Endpoint(answer(b"one"), answer(b"two")) as endpoint:
            connection = await endpoint.connect()
            assert (await connection.fetch(REQUEST, ID))[0] == b"one"
            assert connection.finish_exchange()
            assert (await connection.fetch(REQUEST, ID))[0] == b"two"
            assert endpoint.connections == 1

    run(scenario())


def test_a_late_answer_of_another_request_is_skipped():
    async def scenario():
        stray = answer(b"stray", "other") + answer(b"mine")
        async with Endpoint(stray) as endpoint:
            connection = await endpoint.connect()
            body, head = await connection.fetch(REQUEST, ID)
            assert (body, head.request_id) == (b"mine", ID)
            # Its answers may no longer come in the order of its requests.
            assert not connection.finish_exchange()

    run(scenario())


def test_a_refusal_without_an_id_after_a_foreign_answer_is_not_believed():
    """A request that ran could be refused by the answer to another one."""

    async def scenario():
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n\r\n"
        async with Endpoint(answer(b"stray", "other") + refusal) as endpoint:
            connection = await endpoint.connect()
            with pytest.raises(ExchangeBroken) as broken:
                await connection.fetch(REQUEST, ID)
            assert broken.value.kind is BreakKind.INVALID_ANSWER

    run(scenario())


@pytest.mark.parametrize("length", range(1, len(answer()), 3))
def test_an_answer_that_ends_inside_its_head_or_body_is_taken_for_whole(length):
    async def scenario():
        cut = answer()[:length]
        async with Endpoint(cut) as endpoint:
            connection = await endpoint.connect()
            with pytest.raises(ExchangeBroken):
                await connection.fetch(REQUEST, ID)

    run(scenario())


def test_answers_of_others_only_are_no_answer():
    async def scenario():
        async with Endpoint(answer(b"x", "a") * 3) as endpoint:
            connection = await endpoint.connect()
            with pytest.raises(ExchangeBroken) as broken:
                await connection.fetch(REQUEST, ID)
            assert broken.value.kind is BreakKind.INVALID_ANSWER

    run(scenario())


@pytest.mark.parametrize(
    "bad",
    [
        "reset",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nshort",
        b"this is no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx",
    ],
)
def test_after_sending_a_broken_answer_may_have_run(bad):
    async def scenario():
        async with Endpoint(bad) as endpoint:
            connection = await endpoint.connect()
            with pytest.raises(ExchangeBroken) as broken:
                await connection.fetch(REQUEST, ID)
            assert broken.value.kind is BreakKind.LOST
            assert not connection.finish_exchange()

    run(scenario())


def test_bytes_after_an_answer_spoil_the_connection():
    async def scenario():
        async with Endpoint(answer() + b"HTTP/1.1 200 OK\r\n") as endpoint:
            connection = await endpoint.connect()
            await connection.fetch(REQUEST, ID)
            assert not connection.finish_exchange()

    run(scenario())


def test_a_close_while_idle_makes_the_connection_unusable():
    async def scenario():
        async with Endpoint(answer()) as endpoint:
            connection = await endpoint.connect()
            await connection.fetch(REQUEST, ID)
            assert connection.finish_exchange()
            connection.mark_idle(0.0)
            await asyncio.sleep(0.05)
            # The endpoint closed after its last answer.
            assert not connection.is_usable

    run(scenario())


def test_an_answer_without_length_ends_with_an_orderly_close():
    async def scenario():
        unframed = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n\r\nall of it"
        async with Endpoint(unframed) as endpoint:
            connection = await endpoint.connect()
            body, _ = await connection.fetch(REQUEST, ID)
            assert body == b"all of it"
            assert not connection.finish_exchange()

    run(scenario())


def test_nobody_listening_is_not_sent():
    async def scenario():
        async with Endpoint() as endpoint:
            port = endpoint.port
        with pytest.raises(ExchangeBroken) as broken:
            await EndpointConnection.open("127.0.0.1", port, PlatformRequests(), 1.0)
        assert broken.value.kind is BreakKind.NOT_SENT

    run(scenario())


def record_at(port):
    return endpoint_record("e", address=f"127.0.0.1:{port}")


def test_the_pool_keeps_to_its_share_of_connections():
    async def scenario():
        async with Endpoint(*[answer()] * 8) as endpoint:
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(
                codec=PlatformRequests(), loop=loop, share=lambda: 1.0 / 3.0
            )
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 7)
            second = await pool.acquire(record, 7)
            third = asyncio.ensure_future(pool.acquire(record, 7))
            await asyncio.sleep(0.05)
            assert not third.done()
            await first.fetch(REQUEST, ID)
            pool.release(record, first)
            assert await third is first
            pool.release(record, second)
            assert endpoint.connections == 2
            pool.close_idle(set())
            assert pool.connections_by_id_["e"].open_count_ == 1

    run(scenario())


def test_the_pool_follows_a_share_that_changes():
    async def scenario():
        async with Endpoint(*[answer()] * 8) as endpoint:
            shares = [0.25]
            pool = ConnectionPool(
                codec=PlatformRequests(),
                loop=asyncio.get_running_loop(),
                share=lambda: shares[-1],
            )
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 5)
            waiting = [asyncio.ensure_future(pool.acquire(record, 5)) for _ in "abc"]
            await asyncio.sleep(0.05)
            assert not any(task.done() for task in waiting)
            shares.append(0.75)
            pool.apply_share()
            await asyncio.sleep(0.05)
            # Two of the three that waited fit into the larger share.
            assert sum(task.done() for task in waiting) == 2
            for connection in [first, *(t.result() for t in waiting if t.done())]:
                await connection.fetch(REQUEST, ID)
                pool.release(record, connection)
            await asyncio.sleep(0.05)
            in_use = waiting[2].result()
            assert pool.connections_by_id_["e"].open_count_ == 3
            shares.append(0.25)
            pool.apply_share()
            # Idle connections beyond the smaller share are closed, others go on.
            assert pool.connections_by_id_["e"].open_count_ == 1
            assert not in_use.stream.closed()

    run(scenario())


def test_a_connection_closes_with_a_refusal_without_an_id():
    """The endpoint could send it once more and work on the next request meanwhile."""

    async def scenario():
        refusal = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Not-Executed: 1\r\n\r\n"
        async with Endpoint(refusal, answer(request_id="r2")) as endpoint:
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(codec=PlatformRequests(), loop=loop)
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 1, request_id=ID)
            await first.fetch(REQUEST, ID)
            pool.release(record, first)
            assert first.stream.closed()
            other = await pool.acquire(record, 1, request_id=RequestId("r2"))
            assert other is not first
            assert pool.open_count == 1

    run(scenario())


def test_a_connection_that_may_not_carry_a_request_gives_way_at_the_limit():
    """A request that is sent again waited for a connection that it may not use."""

    async def scenario():
        async with Endpoint(answer(), answer()) as endpoint:
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(codec=PlatformRequests(), loop=loop)
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 1, request_id=ID)
            await first.fetch(REQUEST, ID)
            pool.release(record, first)
            other = await pool.acquire(record, 1, request_id=ID)
            assert other is not first and first.stream.closed()
            assert pool.open_count == 1

    run(scenario())


def test_a_connection_on_which_nothing_was_sent_is_used_again():
    """Each request that was not sent after all cost a connection."""

    async def scenario():
        async with Endpoint(answer(), answer()) as endpoint:
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(codec=PlatformRequests(), loop=loop)
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 9)
            pool.release(record, first)
            assert await pool.acquire(record, 9) is first
            await first.fetch(REQUEST, ID)
            pool.release(record, first)
            assert await pool.acquire(record, 9) is first
            first.idle_since_ -= 7.0
            pool.release(record, first)
            # Being lent does not lengthen how long it rests.
            first.idle_since_ -= 7.0
            assert await pool.acquire(record, 9) is not first

    run(scenario())


def test_a_connection_that_rested_too_long_is_not_used():
    async def scenario():
        rests = answer(extra="Keep-Alive: timeout=1\r\n")
        async with Endpoint(rests, answer(), answer()) as endpoint:
            loop = asyncio.get_running_loop()
            pool = ConnectionPool(codec=PlatformRequests(), loop=loop)
            record = record_at(endpoint.port)
            first = await pool.acquire(record, 9)
            await first.fetch(REQUEST, ID)
            pool.release(record, first)
            first.idle_since_ -= 0.5
            assert await pool.acquire(record, 9) is not first

    run(scenario())


@pytest.mark.parametrize(
    "sent",
    [
        pytest.param(b"no answer\r\n\r\n", id="head"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + b"X-A: 1\r\n" * 10_000, id="long-head"),
        pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" * 20, id="interim-heads"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\nxx\r\n",
            id="chunk",
        ),
    ],
)
def test_a_connection_closed_for_what_it_sent_did_not_end_with_its_endpoint(sent):
    # An endpoint that had sent such bytes counted as crashed under the request.
    async def scenario():
        async with Endpoint(sent, "hang") as endpoint:
            connection = await endpoint.connect()
            with pytest.raises(ExchangeBroken):
                await connection.fetch(REQUEST, ID)
            assert connection.end is ConnectionEnd.REJECTED

    run(scenario())


def test_a_connection_that_its_endpoint_closed_says_so():
    async def scenario():
        async with Endpoint(b"HTTP/1.1 200 OK\r\nContent-") as endpoint:
            connection = await endpoint.connect()
            with pytest.raises(ExchangeBroken):
                await connection.fetch(REQUEST, ID)
            assert connection.end is ConnectionEnd.CLOSED

    run(scenario())


def test_a_call_whose_answer_is_far_too_long_fails_before_its_end():
    # An endless answer to a call filled memory for as long as the call may take.
    async def scenario():
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {ID}\r\n"
        head += "Content-Length: 50000000\r\n\r\n"
        part = b"x" * (2 * 1024 * 1024)
        async with Endpoint(head.encode() + part, "hang") as endpoint:
            connection = await endpoint.connect()
            async with asyncio.timeout(5.0):
                with pytest.raises(ExchangeBroken):
                    await connection.fetch(REQUEST, ID)
            assert not connection.finish_exchange()

    run(scenario())


def test_a_body_of_tiny_chunks_fails_before_it_costs_much():
    # Chunks of one byte without end used a whole core until the attempt was given up.
    async def scenario():
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {ID}\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        async with Endpoint(head.encode() + b"1\r\nx\r\n" * 4_000, "hang") as endpoint:
            connection = await endpoint.connect()
            async with asyncio.timeout(5.0):
                with pytest.raises(ExchangeBroken):
                    await connection.fetch(REQUEST, ID)
            assert connection.end is ConnectionEnd.REJECTED

    run(scenario())
