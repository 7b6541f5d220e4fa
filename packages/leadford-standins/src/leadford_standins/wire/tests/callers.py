"""Send requests to the first entry, also by hand over connections of the test."""

import asyncio

from leadford_standins.wire import HOST, KEY, runs_of


async def start_request(deployment, *, work_s):
    """Return the answer to come of request `r`, which runs for this time by now."""
    for endpoint in deployment.plain:
        endpoint.work_s = work_s
    sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
    await deployment.until(lambda: runs_of(deployment.plain, "r"))
    return sent


def request_bytes(request_id, path="/unsafe/x", method="POST", headers=()):
    """Return a whole request without a body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        "X-Deadline-Ms: 3000",
        f"Authorization: Token {KEY}",
        "Content-Length: 0",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def open_connection(deployment):
    """Return a new connection to the first entry."""
    callers = deployment.entries_[0].settings.callers
    return await asyncio.open_connection(callers.host, callers.port)


def send_now(writer, data):
    """Send bytes so that they lie in the kernel of the entry when this returns."""
    writer.get_extra_info("socket")._sock.sendall(data)


async def read_status(reader):
    """Return the status of an answer, None if the connection ends without one."""
    try:
        async with asyncio.timeout(4.0):
            head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split()[1])


async def start_unconnected_request(deployment):
    """Return the answer to come of request `r`, which waits for a connection."""
    (entry,) = deployment.entries_
    waiting = asyncio.Event()

    async def acquire(*args, **fields):
        waiting.set()
        await asyncio.sleep(60.0)

    entry.state_.pool_.acquire = acquire
    sent = asyncio.ensure_future(deployment.send("/unsafe/x", request_id="r"))
    await waiting.wait()
    return sent


async def teach_usual_duration(deployment):
    """Let the first entry learn how long answers of plain endpoints usually take."""
    for number in range(12):
        answer = await deployment.send("/safe/x", request_id=f"u{number}")
        assert answer.code == 200


def spend_budget(deployment, service):
    """Leave no retry to any entry; return the budget of the first one."""
    budgets = [e.state_.retry_budgets_.budget(service) for e in deployment.entries_]
    for budget in budgets:
        budget.slack = -1_000.0
    return budgets[0]
