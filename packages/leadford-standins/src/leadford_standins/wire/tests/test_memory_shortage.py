"""No request that goes on is cut off as memory for callers runs short."""

import asyncio
import socket
import threading
import time

import pytest

from leadford.forwarding.memory import HeldCause
from leadford_standins.wire import run_scenario, runs_of
from leadford_standins.wire.tests.callers import (
    open_connection,
    read_status,
    request_bytes,
    send_now,
)

MEMORY_BYTES = 160_000_000
LARGE_BYTES = 24_000_000
# Longer than a caller at the slow rate was borne for.
READING_S = 6.0


class ReadingThread(threading.Thread):
    """Read a large answer beside the event loop, at a rate if there is one.

    It begins to read when `may_read_` is set.
    """

    def __init__(self, address, read_per_s):
        super().__init__(daemon=True)
        self.address = address
        self.read_per_s = read_per_s
        self.count_ = 0
        self.ended_ = False
        self.is_stopped_ = False
        self.may_read_ = threading.Event()

    def run(self):
        sock = socket.create_connection((self.address.host, self.address.port))
        sock.sendall(request_bytes("r", "/safe/x", "GET"))
        self.may_read_.wait()
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
        self.may_read_.set()
        self.join(timeout=2.0)


def limit_memory(deployment):
    """Give the only entry `MEMORY_BYTES`, and return its memory."""
    (entry,) = deployment.entries_
    entry.state_.memory_.set_limit(MEMORY_BYTES)
    return entry.state_.memory_


async def until_unsent(deployment, memory):
    """Wait until the entry holds a part of an answer that its caller has not read."""
    held = memory.account_.bytes_by_cause_
    await deployment.until(lambda: held[HeldCause.UNSENT_ANSWER] > 0)


async def finish_large(handler):
    handler.record_run()
    handler.finish(b"x" * LARGE_BYTES)


async def finish_later(handler):
    handler.record_run()
    await asyncio.sleep(0.3)
    handler.finish(b"done")


def test_a_body_that_arrived_while_the_loop_was_held_up_is_not_cut_off():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        memory = limit_memory(deployment)
        body = b"x" * 60_000
        refuse_bytes = memory.account_.budget.refuse_bytes
        memory.hold(HeldCause.ANSWER).set(refuse_bytes - 100_000)
        reader, writer = await open_connection(deployment)
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
        memory = limit_memory(deployment)
        for endpoint in deployment.plain:
            endpoint.serve = finish_large
        caller = ReadingThread(entry.settings.callers, read_per_s)
        caller.start()
        await until_unsent(deployment, memory)
        caller.may_read_.set()
        time.sleep(held_up_s)
        until = asyncio.get_running_loop().time() + READING_S
        while not caller.ended_ and asyncio.get_running_loop().time() < until:
            memory.admit(memory.account_.budget.refuse_bytes)
            await asyncio.sleep(0.1)
        is_cut = caller.ended_ and caller.count_ < LARGE_BYTES
        caller.stop()
        assert not is_cut

    run_scenario(scenario)


def test_memory_that_was_released_since_the_last_sweep_cuts_off_no_request():
    async def scenario(deployment):
        memory = limit_memory(deployment)
        for endpoint in deployment.plain:
            endpoint.serve = finish_large
        reader, writer = await open_connection(deployment)
        writer.write(request_bytes("r1", "/safe/x", "GET"))
        await until_unsent(deployment, memory)
        await asyncio.sleep(1.2)
        head = await reader.readuntil(b"\r\n\r\n")
        assert b" 200 " in head
        await reader.readexactly(LARGE_BYTES)
        for endpoint in deployment.plain:
            endpoint.serve = finish_later
        writer.write(request_bytes("r2"))
        await deployment.until(lambda: runs_of(deployment.plain, "r2"))
        # Another caller announces more than there is room for.
        memory.admit(memory.account_.budget.refuse_bytes)
        assert await read_status(reader) == 200
        writer.close()

    run_scenario(scenario)
