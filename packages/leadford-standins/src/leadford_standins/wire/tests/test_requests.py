"""Answer callers of each kind with complete answers, true refusals or denials."""

import asyncio

from leadford_standins.wire import (
    KEY,
    Misbehaviour,
    StoreFault,
    event_ids,
    plan_misbehaviour,
    run_scenario,
    run_without_faults,
    runs_of,
)


def test_requests_of_each_kind_are_served():
    async def scenario(deployment):
        answer = await deployment.send("/unsafe/x?y=z", request_id="r1")
        assert answer.code == 200 and answer.body.endswith(b" payload")
        assert answer.headers["X-Server-Stamp"].startswith("stamp.")
        runs = runs_of(deployment.plain, "r1")
        assert len(runs) == 1
        assert (runs[0].method, runs[0].target) == ("POST", "/unsafe/x?y=z")
        assert runs[0].headers["X-Tenant"] == "workspace-1"
        assert "Authorization" not in runs[0].headers
        assert int(runs[0].headers["X-Deadline-Ms"]) <= 3_000
        answer = await deployment.send("/safe/x", request_id="r2", method="GET")
        assert answer.code == 200
        for path in ("/resumed/x", "/once/x"):
            answer = await deployment.send(path, request_id=path)
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(scenario)


def test_a_caller_that_is_refused_and_returns_is_served():
    async def scenario(deployment):
        refused = await deployment.send("/unsafe/x", request_id="r0", deadline_ms=2_000)
        assert refused.code == 200
        plan_misbehaviour(deployment.plain, Misbehaviour.REFUSE, count=2)
        answer = await deployment.send_with_retries("/unsafe/x", request_id="r1")
        assert answer.code == 200
        runs = [run for endpoint in deployment.plain for run in endpoint.runs_]
        assert len(runs) == 2

    run_scenario(scenario)


def test_unknown_routes_and_keys_are_denied_and_never_before_a_configuration():
    async def scenario(deployment):
        denied = [
            await deployment.send("/none/x", request_id="a"),
            await deployment.send("/safe/x", request_id="b", key=None),
            await deployment.send("/safe/x", request_id="c", key="other"),
        ]
        assert [answer.code for answer in denied] == [404, 401, 401]
        deployment.store.fault = StoreFault.BUSY
        await deployment.start_entry(1, wait=False)
        answer = await deployment.send("/none/x", request_id="d", entry=1)
        assert answer.code == 503
        assert deployment.entries_[1].is_ready is False

    run_scenario(scenario)


def test_a_request_gets_its_final_answer_by_the_timeout_of_its_route():
    async def scenario(deployment):
        deployment.config["routes"][1]["timeoutMs"] = 300
        await deployment.apply_config()
        plan_misbehaviour(deployment.plain, Misbehaviour.HANG)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 504
        assert answer.request_time < 1.0

    run_scenario(scenario)


def test_a_caller_that_leaves_ends_the_work_for_it():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.pause_s = 0.3
        sent = asyncio.ensure_future(
            deployment.send("/resumed/x", request_id="r1", deadline_ms=20_000)
        )
        await deployment.until(lambda: any(e.runs_ for e in deployment.engines))
        exchanges = deployment.entries_[0].caller_server_.exchanges_
        for exchange in list(exchanges):
            exchange._on_caller_disconnected()
        await deployment.until(lambda: any(e.left_early_ for e in deployment.engines))
        sent.cancel()
        assert deployment.entries_[0].stages_.sent.sent_by_id_ == {}

    run_scenario(scenario)


def test_malformed_requests_get_a_clear_answer():
    async def scenario(deployment):
        bad = {"X-Pieces": "1"}
        answer = await deployment.send("/once/x", request_id="r1", headers=bad)
        assert answer.code == 400
        bad = {"X-Deadline-Ms": "soon"}
        answer = await deployment.send("/safe/x", request_id="r2", headers=bad)
        assert answer.code == 400
        assert (await deployment.send("/safe/x", request_id="r3")).code == 200

    run_scenario(scenario)


async def exchange_bytes(entry, request):
    """Send bytes and return the first line of the answer; empty if there is none."""
    callers = entry.settings.callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    writer.write(request)
    await writer.drain()
    try:
        return await asyncio.wait_for(reader.readline(), 2.0)
    finally:
        writer.close()


def test_a_path_with_bytes_beyond_ascii_reaches_the_endpoint_unaltered():
    """Each byte over 127 of a path reached the endpoint as two."""

    async def scenario(deployment):
        # The second byte alone is not valid UTF-8.
        for number, path in enumerate([b"/unsafe/\xc3\xa9?\xe9", b"/unsafe/\xff"]):
            name = f"r{number}"
            head = b"POST " + path + b" HTTP/1.1\r\nHost: rooms.example\r\n"
            head += b"Authorization: Token " + KEY.encode() + b"\r\n"
            head += b"X-Attempt-Id: " + name.encode() + b"\r\nContent-Length: 0\r\n\r\n"
            first_line = await exchange_bytes(deployment.entries_[0], head)
            assert b" 200 " in first_line
            (run,) = runs_of(deployment.plain, name)
            assert run.target.encode("latin-1") == path

    run_scenario(scenario)


def test_requests_beyond_the_limits_get_their_own_statuses():
    async def scenario(deployment):
        deployment.config["version"] += 1
        deployment.config["limits"] = {"maxHeaderBytes": 2_000, "maxBodyBytes": 1_000}
        deployment.put_config()
        entry = deployment.entries_[0]
        await deployment.until(lambda: entry.caller_server_.limits_.body_bytes == 1_000)
        long_head = {"X-Filler": "f" * 2_500}
        answer = await deployment.send("/safe/x", request_id="r1", headers=long_head)
        assert answer.code == 431
        head = b"POST /unsafe/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r2\r\n"
        announced = head + b"Content-Length: 1001\r\n\r\n"
        assert b" 413 " in await exchange_bytes(entry, announced)
        chunk = b"258\r\n" + b"b" * 600 + b"\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 2
        assert b" 413 " in await exchange_bytes(entry, chunked)
        assert runs_of(deployment.plain, "r2") == []
        assert entry.caller_server_.exchanges_ == set()
        whole = await deployment.send("/unsafe/x", request_id="r3", body=b"b" * 1_000)
        assert whole.code == 200

    run_scenario(scenario)


def test_a_calm_stretch_breaks_no_promise():
    assert run_without_faults(duration_s=1.0) == 0
