"""What callers and endpoints see of an entry while things go wrong."""

import asyncio
import copy
import re

import pytest

from leadford_server.forwarding import _follow
from leadford_standins.wire import Deployment, Misbehaviour, StoreFault, run_calm

IDS = re.compile(rb"id: (\d+)\ndata: token \1\n\n")


def run(scenario, **fields):
    async def main():
        async with Deployment(**fields) as deployment:
            await scenario(deployment)

    asyncio.run(asyncio.wait_for(main(), 40))


def runs_of(endpoints, request_id):
    found = [run for endpoint in endpoints for run in endpoint.runs_]
    return [run for run in found if run.request_id == request_id]


def event_ids(body):
    assert IDS.sub(b"", body) == b""
    return [int(number) for number in IDS.findall(body)]


def test_requests_of_each_kind_are_served():
    async def scenario(deployment):
        answer = await deployment.send("/unsafe/x?y=z", request_id="r1")
        assert answer.code == 200 and answer.body.endswith(b" payload")
        assert answer.headers["X-Server-Stamp"].startswith("stamp.")
        sent = runs_of(deployment.plain, "r1")
        assert len(sent) == 1
        assert (sent[0].method, sent[0].target) == ("POST", "/unsafe/x?y=z")
        assert sent[0].headers["X-Tenant"] == "workspace-1"
        assert "Authorization" not in sent[0].headers
        assert int(sent[0].headers["X-Deadline-Ms"]) <= 3_000
        answer = await deployment.send("/safe/x", request_id="r2", method="GET")
        assert answer.code == 200
        for path in ("/resumed/x", "/once/x"):
            answer = await deployment.send(path, request_id=path)
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run(scenario)


def test_pieces_get_their_own_inputs_and_results_are_given_up():
    async def scenario(deployment):
        names = [f"s{number}" for number in range(8)]
        answers = await asyncio.gather(
            *(deployment.send("/resumed/x", request_id=name) for name in names)
        )
        assert [answer.code for answer in answers] == [200] * 8
        items = [item for stage in deployment.stage for item in stage.items_]
        made = {(item["id"], item["stage"], item["piece"]): item for item in items}
        assert len(made) == len(items) == 24
        for name in names:
            first = made[name, 0, 0]
            assert first["privateKey"] == f"pk-{name}" and "inputs" not in first
            second = made[name, 1, 0]
            assert len(second["inputs"]) == 2 and "privateKey" not in second
        # Calls carried pieces of several requests.
        assert max(max(stage.calls_) for stage in deployment.stage) > 2
        await deployment.until(
            lambda: not any(stage.results_ for stage in deployment.stage)
        )

    run(scenario)


@pytest.mark.parametrize("entry", [0, 1])
def test_inputs_are_given_up_while_the_call_that_reads_them_runs(entry):
    async def scenario(deployment):
        for stage in deployment.stage:
            stage.call_s = 0.25
        # The first request leaves reports of load behind.
        for name in ("r1", "r2"):
            answer = await deployment.send("/once/x", request_id=name, entry=entry)
            assert answer.code == 200
        assert sum(stage.freed_in_call_ for stage in deployment.stage) > 0
        # Nothing was given up before it had been fetched.
        assert sum(stage.gone_ for stage in deployment.stage) == 0
        assert sum(stage.results_read_ for stage in deployment.stage) == 4
        await deployment.until(
            lambda: not any(stage.results_ for stage in deployment.stage)
        )

    run(scenario, entries=2)


def test_prompts_of_a_template_go_to_the_same_engines_from_all_entries():
    async def scenario(deployment):
        for number in range(24):
            prompt = f"template:2000,session{number % 4}:800,own{number}:200"
            answer = await deployment.send(
                "/once/x",
                request_id=f"r{number}",
                entry=number % 2,
                headers={"X-Prefix-Hash": prompt, "X-Token-Counts": "3000,10"},
            )
            assert answer.code == 200
        kept = [engine.kept_ for engine in deployment.engines]
        used = [parts for parts in kept if parts.read_tokens_ > 0]
        assert len(used) <= 2
        assert sum(parts.read_again_tokens_ for parts in kept) == 0
        # The template once at each engine, each session at one, and the own parts.
        assert sum(parts.read_tokens_ for parts in kept) <= 2 * 2_000 + 3_200 + 4_800

    run(scenario, entries=2, endpoints=6)


def test_a_caller_that_is_refused_and_returns_is_served():
    async def scenario(deployment):
        refused = await deployment.send("/unsafe/x", request_id="r0", deadline_ms=2_000)
        assert refused.code == 200
        for endpoint in deployment.plain:
            endpoint.next_.append(Misbehaviour.REFUSE)
            endpoint.next_.append(Misbehaviour.REFUSE)
        answer = await deployment.send_with_retries("/unsafe/x", request_id="r1")
        assert answer.code == 200
        ran = [run for endpoint in deployment.plain for run in endpoint.runs_]
        assert len(ran) == 2

    run(scenario)


def test_an_unsafe_request_whose_answer_is_lost_runs_once_and_is_not_refused():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            endpoint.next_.append(Misbehaviour.LOSE_ANSWER)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 502
        assert len(runs_of(deployment.plain, "r1")) == 1

    run(scenario)


def test_an_unsafe_request_on_a_connection_that_went_stale_is_not_repeated():
    async def scenario(deployment):
        await deployment.send("/unsafe/x", request_id="r0")
        for endpoint in deployment.plain:
            endpoint.next_ += [Misbehaviour.LOSE_ANSWER]
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 502
        assert len(runs_of(deployment.plain, "r1")) == 1

    run(scenario)


def test_a_refusal_that_says_not_run_is_true_and_says_when_to_come_back():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            endpoint.next_.append(Misbehaviour.REFUSE)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 503
        assert float(answer.headers["Retry-After"]) > 0.0
        assert runs_of(deployment.plain, "r1") == []

    run(scenario)


@pytest.mark.parametrize(
    "misbehaviour",
    [
        Misbehaviour.LOSE_ANSWER,
        Misbehaviour.REFUSE,
        Misbehaviour.FAIL,
        Misbehaviour.OTHER_ANSWER,
        Misbehaviour.HANG,
    ],
)
def test_a_safe_request_is_tried_at_another_endpoint(misbehaviour):
    async def scenario(deployment):
        # The endpoint of the entry's own hall is asked first.
        first, second = deployment.plain
        first.next_.append(misbehaviour)
        answer = await deployment.send("/safe/x", request_id="r1", method="GET")
        assert answer.code == 200
        assert answer.headers["X-Attempt-Id"] == "r1"
        assert answer.headers["X-Server-Stamp"] == f"stamp.{second.endpoint_id}"
        assert (first.arrivals_, second.arrivals_) == (1, 1)

    run(scenario)


def test_a_failure_of_an_endpoint_is_passed_on_with_its_signature():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            endpoint.next_.append(Misbehaviour.FAIL)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert (answer.code, answer.body) == (500, b"failed")
        assert "X-Server-Stamp" in answer.headers

    run(scenario)


def test_a_broken_stream_goes_on_elsewhere_without_gap_or_double():
    async def scenario(deployment):
        await deployment.send("/resumed/x", request_id="r0")
        used, other = sorted(deployment.engines, key=lambda e: -len(e.runs_))
        used.next_.append(Misbehaviour.CUT)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        # The head stays that of the engine that began.
        assert answer.headers["X-Server-Stamp"] == f"stamp.{used.endpoint_id}"
        assert [run.headers.get("Last-Event-Id") for run in other.runs_] == ["2"]
        assert other.runs_[0].headers["X-Expect-Version"] == "1"

    run(scenario)


def test_a_stream_that_falls_silent_goes_on_elsewhere_and_ends_where_it_was():
    async def scenario(deployment):
        await deployment.send("/resumed/x", request_id="r0")
        used, other = sorted(deployment.engines, key=lambda e: -len(e.runs_))
        used.next_.append(Misbehaviour.STALL)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert [run.headers.get("Last-Event-Id") for run in other.runs_] == ["2"]
        assert used.left_early_ == 1

    run(scenario)


def test_a_stream_that_never_begins_begins_elsewhere():
    async def scenario(deployment):
        await deployment.send("/resumed/x", request_id="r0")
        used, other = sorted(deployment.engines, key=lambda e: -len(e.runs_))
        used.next_.append(Misbehaviour.HANG)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(other.runs_) == 1

    run(scenario)


def test_a_safe_request_does_not_wait_long_for_a_slow_endpoint():
    async def scenario(deployment):
        for number in range(8):
            await deployment.send("/safe/x", request_id=f"w{number}", method="GET")
        deployment.plain[0].next_.append(Misbehaviour.HANG)
        answer = await deployment.send("/safe/x", request_id="r1", method="GET")
        assert answer.code == 200
        assert answer.request_time < 1.0
        assert len(runs_of(deployment.plain, "r1")) == 2

    run(scenario)


def test_a_stream_that_breaks_at_every_engine_never_looks_complete():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.next_.append(Misbehaviour.CUT)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert answer.code == 599

    run(scenario)


def test_a_stream_that_may_not_be_resumed_never_looks_complete():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.next_.append(Misbehaviour.CUT)
        answer = await deployment.send("/once/x", request_id="r1")
        assert answer.code == 599
        assert len(runs_of(deployment.engines, "r1")) == 1

    run(scenario)


def test_inputs_that_are_gone_are_made_again():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.next_.append(Misbehaviour.GONE)
        answer = await deployment.send("/once/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert len(runs_of(deployment.engines, "r1")) == 1

    run(scenario)


def test_pieces_whose_inputs_are_gone_are_made_again():
    async def scenario(deployment):
        for stage in deployment.stage:
            stage.next_ += [Misbehaviour.NONE, Misbehaviour.GONE]
        answer = await deployment.send("/once/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run(scenario, endpoints=1)


@pytest.mark.parametrize(
    "misbehaviour", [Misbehaviour.LOSE_ANSWER, Misbehaviour.FAIL, Misbehaviour.REFUSE]
)
def test_a_call_for_pieces_that_fails_is_made_again(misbehaviour):
    async def scenario(deployment):
        deployment.stage[0].next_.append(misbehaviour)
        for number in range(3):
            answer = await deployment.send("/once/x", request_id=f"r{number}")
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run(scenario)


def test_a_piece_that_failed_at_the_only_endpoint_is_made_there_again():
    async def scenario(deployment):
        deployment.stage[0].next_.append(Misbehaviour.FAIL)
        answer = await deployment.send("/once/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run(scenario, endpoints=1)


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

    run(scenario)


def test_a_configuration_comes_in_force_and_never_goes_back():
    async def scenario(deployment):
        old = copy.deepcopy(deployment.config)
        deployment.config["version"] = 5
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        deployment.put_config()
        entry = deployment.entries_[0]
        await deployment.until(lambda: entry.state_.table_.config.version == 5)
        assert (await deployment.send("/safe/x", request_id="a")).code == 401
        answer = await deployment.send("/safe/x", request_id="b", key="key-2")
        assert answer.code == 200
        deployment.config = old
        deployment.put_config()
        deployment.store.forget_history()
        await asyncio.sleep(0.3)
        assert entry.state_.table_.config.version == 5

    run(scenario)


def test_a_store_that_forgets_every_endpoint_does_not_stop_requests():
    async def scenario(deployment):
        for endpoint in deployment.all_endpoints():
            deployment.store.delete("servers", endpoint.endpoint_id)
        entry = deployment.entries_[0]
        await deployment.until(lambda: not entry.state_.roster_.records_by_id_)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        await asyncio.sleep(1.2)
        answer = await deployment.send("/unsafe/x", request_id="r2")
        assert answer.code == 503
        assert runs_of(deployment.plain, "r2") == []

    run(scenario)


def test_endpoints_that_go_and_come_back_in_one_answer_of_the_store_are_used():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        # Both changes of each endpoint reach the watch together.
        for endpoint in deployment.all_endpoints():
            deployment.store.delete("servers", endpoint.endpoint_id)
        for endpoint in deployment.all_endpoints():
            deployment.store.put("servers", endpoint.endpoint_id, endpoint.spec())
        await asyncio.sleep(1.5)
        assert deployment.knows_all(entry)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]

    run(scenario)


def test_a_draining_endpoint_gets_nothing_new():
    async def scenario(deployment):
        leaving = deployment.plain[0]
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        await asyncio.sleep(0.2)
        before = leaving.arrivals_
        for number in range(10):
            await deployment.send("/safe/x", request_id=f"r{number}", method="GET")
        assert leaving.arrivals_ == before

    run(scenario)


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET])
def test_an_outage_of_the_store_changes_nothing_for_requests(fault):
    async def scenario(deployment):
        deployment.store.fault = fault
        await asyncio.sleep(0.2)
        answer = await deployment.send("/resumed/x", request_id="r1")
        assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        deployment.store.fault = StoreFault.NONE
        deployment.config["version"] = 2
        deployment.put_config()
        entry = deployment.entries_[0]
        await deployment.until(lambda: entry.state_.table_.config.version == 2)

    run(scenario)


def test_watches_that_hear_nothing_do_not_hold_up_a_configuration():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        # The watch that waits now is never answered; those after it are.
        deployment.store.has_deaf_watches = True
        await asyncio.sleep(_follow.WATCH_MS / 1_000.0 + 0.2)
        deployment.store.has_deaf_watches = False
        deployment.config["version"] = 2
        deployment.put_config()
        deployment.store.forget_history()
        await deployment.until(
            lambda: entry.state_.table_.config.version == 2, timeout_s=3.0
        )

    run(scenario)


def test_an_entry_that_the_store_turns_away_follows_its_peers(monkeypatch):
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(lambda: second.links_.peers_by_id_)
        cut_off = second.client_

        async def refuse(*args, **fields):
            await asyncio.sleep(0.05)
            return _follow.Failure(_follow.StoreFailure.UNAVAILABLE)

        monkeypatch.setattr(cut_off, "call", refuse)
        leaving = deployment.plain[0]
        deployment.config["version"] = 9
        deployment.config["tenants"][0]["apiKeys"] = ["key-2"]
        deployment.put_config()
        deployment.store.put("servers", leaving.endpoint_id, leaving.spec("draining"))
        await deployment.until(lambda: second.state_.table_.config.version == 9)
        answer = await deployment.send("/safe/x", request_id="a", entry=1)
        assert answer.code in (401, 503)
        await deployment.until(lambda: len(second.state_.usable("plain")) == 1)

    run(scenario, entries=2)


def test_entries_that_restart_in_turn_find_each_other_without_the_store():
    async def scenario(deployment):
        for entry in deployment.entries_:
            await deployment.until(
                lambda entry=entry: len(entry.members_.entries_by_id_) == 3
            )
        deployment.store.fault = StoreFault.SILENT
        for number in (0, 1, 2, 0):
            entry = await deployment.restart_entry(number)
            assert not entry.is_ready
            await deployment.until(lambda entry=entry: entry.is_ready)
            assert entry.state_.entry_count_ == 3
            answer = await deployment.send("/safe/x", request_id="a", entry=number)
            assert answer.code == 200

    run(scenario, entries=3)


def test_pieces_of_a_lost_scheduler_are_made_elsewhere():
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(
            lambda: (
                first.links_.halls_by_live_entry()
                and second.links_.halls_by_live_entry()
            )
        )
        for stage in deployment.stage:
            stage.call_s = 0.3
        sent = [
            asyncio.ensure_future(deployment.send("/once/x", request_id=f"r{number}"))
            for number in range(6)
        ]
        await asyncio.sleep(0.15)
        await second.stop()
        answers = await asyncio.gather(*sent)
        assert [answer.code for answer in answers] == [200] * 6
        for answer in answers:
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        for number in range(6):
            assert len(runs_of(deployment.engines, f"r{number}")) == 1

    run(scenario, entries=2)


def test_entries_that_list_different_endpoints_do_not_send_pieces_in_circles():
    async def scenario(deployment):
        first, second = deployment.entries_
        await deployment.until(lambda: first.links_.halls_by_live_entry())
        # Only the second hall has a stage left, and its scheduler does not know it.
        near, far = deployment.stage
        deployment.store.delete("servers", near.endpoint_id)
        known = second.state_.roster_.record(far.endpoint_id)
        second.state_.roster_.remove(
            far.endpoint_id, known.listed.revision, first.state_.now() - 10.0
        )
        await asyncio.sleep(1.2)
        before = first.stages_.sent.next_id_
        sent = asyncio.ensure_future(deployment.send("/once/x", request_id="r1"))
        await asyncio.sleep(0.5)
        assert 0 < first.stages_.sent.next_id_ - before < 20
        deployment.store.put("servers", far.endpoint_id, far.spec())
        assert event_ids((await sent).body) == [1, 2, 3, 4, 5]

    run(scenario, entries=2)


def test_a_caller_that_leaves_ends_the_work_for_it():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.pause_s = 0.3
        sent = asyncio.ensure_future(
            deployment.send("/resumed/x", request_id="r1", deadline_ms=20_000)
        )
        await deployment.until(lambda: any(e.runs_ for e in deployment.engines))
        reader = deployment.entries_[0].caller_server_.exchanges_
        for exchange in list(reader):
            exchange._on_caller_left()
        await deployment.until(lambda: any(e.left_early_ for e in deployment.engines))
        sent.cancel()
        assert deployment.entries_[0].stages_.sent.sent_by_id_ == {}

    run(scenario)


def test_a_planned_stop_ends_what_runs_and_announces_itself_at_once():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        for engine in deployment.engines:
            engine.pause_s = 0.2
        sent = asyncio.ensure_future(deployment.send("/once/x", request_id="r1"))
        await deployment.until(lambda: any(e.runs_ for e in deployment.engines))
        stopping = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(0.01)
        assert entry.is_ready is False
        late = await deployment.send("/unsafe/x", request_id="r2")
        assert late.code == 200 and late.headers["Connection"] == "close"
        assert event_ids((await sent).body) == [1, 2, 3, 4, 5]
        await stopping
        assert "entry-0" not in deployment.store.objects_by_kind_["leadford-entries"]

    run(scenario)


def test_a_process_about_to_stop_begins_no_stream_that_it_would_cut():
    async def scenario(deployment):
        entry = deployment.entries_[0]
        stopping = asyncio.ensure_future(entry.drain())
        await asyncio.sleep(2.8)
        answer = await deployment.send("/once/x", request_id="r1")
        assert answer.code == 503
        assert float(answer.headers["Retry-After"]) < 0.5
        assert runs_of(deployment.engines, "r1") == []
        answer = await deployment.send("/unsafe/x", request_id="r2")
        assert answer.code == 200
        await stopping

    run(scenario)


def test_a_request_gets_its_final_answer_by_the_timeout_of_its_route():
    async def scenario(deployment):
        deployment.config["version"] = 2
        deployment.config["routes"][1]["timeoutMs"] = 300
        deployment.put_config()
        entry = deployment.entries_[0]
        await deployment.until(lambda: entry.state_.table_.config.version == 2)
        for endpoint in deployment.plain:
            endpoint.next_.append(Misbehaviour.HANG)
        answer = await deployment.send("/unsafe/x", request_id="r1")
        assert answer.code == 504
        assert answer.request_time < 1.0

    run(scenario)


def test_malformed_requests_get_a_clear_answer():
    async def scenario(deployment):
        bad = {"X-Pieces": "1"}
        answer = await deployment.send("/once/x", request_id="r1", headers=bad)
        assert answer.code == 400
        bad = {"X-Deadline-Ms": "soon"}
        answer = await deployment.send("/safe/x", request_id="r2", headers=bad)
        assert answer.code == 400
        assert (await deployment.send("/safe/x", request_id="r3")).code == 200

    run(scenario)


async def exchange_bytes(entry, request):
    """Send bytes and return the first line of the answer, or nothing."""
    callers = entry.settings.callers
    reader, writer = await asyncio.open_connection(callers.host, callers.port)
    writer.write(request)
    await writer.drain()
    try:
        return await asyncio.wait_for(reader.readline(), 2.0)
    finally:
        writer.close()


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

    run(scenario)


def test_a_calm_stretch_breaks_no_promise():
    assert run_calm(duration_s=1.0) == 0
