"""Provoke the failures that the promises are made against."""

import http.client
import json
import socket
import threading
import time
from urllib.parse import urlsplit

import pytest

from leadford_standins.endpoints import expected_result
from leadford_standins.fleet import api_key
from leadford_standins.tests.conftest import (
    BODY,
    ENGINES,
    LIVE,
    SSE,
    read_events,
    set_endpoint_faults,
    wait_until,
)

RESULT = expected_result("confirm", json.dumps(BODY))


def text_of(events):
    return "".join(data["text"] for name, _, data in events if name == "token")


def engine_records(client):
    """Return what the engines recorded of their executions."""
    return [record for name in ENGINES for record in client.records(name)]


@pytest.mark.parametrize("body", [BODY])
def test_a_stream_resumes_at_another_entry_with_an_equal_answer(fleet, client, body):
    whole = text_of(read_events(client.post("review", body, entry=0, **SSE)))
    answer = client.post("review", body, entry=1, **SSE)
    begun = read_events(answer, 4)
    request_id = answer.headers["Leadford-Request-Id"]
    fleet.kill("entry-2")
    path = f"/v1/requests/{request_id}"
    resumed = client.open("GET", path, entry=2, Last_Event_ID=begun[-1][1], **SSE)
    rest = read_events(resumed)
    assert text_of(begun) + text_of(rest) == whole
    assert rest[-1][2]["outcome"] == "complete"


def test_another_workspace_cannot_read_an_answer(client):
    answer = client.post("hint", BODY)
    answer.read()
    path = f"/v1/requests/{answer.headers['Leadford-Request-Id']}"
    again = client.open("GET", path, entry=1)
    assert json.load(again)["text"]
    other = client.open("GET", path, entry=2, Authorization="Bearer key-of-club-b")
    assert other.status == 404


def test_a_request_that_ends_its_endpoints_is_soon_sent_to_none(fleet, client):
    set_endpoint_faults(fleet, LIVE, ends_on="ends whoever runs it")
    body = {"prompt": "ends whoever runs it"}
    ran = 0
    for number in range(12):
        answer = client.post("move", body, entry=number % 3)
        document = json.load(answer)
        ran += client.executions(answer.headers["Leadford-Request-Id"], LIVE)
        time.sleep(0.1)
    assert 3 <= ran <= 4
    assert answer.headers["Leadford-Outcome"] == "not-run"
    assert document["type"] == "urn:leadford:problem:quarantined"
    other = client.post("move", {"prompt": "another one"})
    assert other.headers["Leadford-Outcome"] == "complete"


@pytest.mark.parametrize("moment", ["dispatched", "streaming"])
def test_a_killed_agent_costs_a_retry_not_an_answer(fleet, client, moment):
    whole = text_of(read_events(client.post("hint", BODY, **SSE)))
    set_endpoint_faults(fleet, ENGINES, speed=0.3, frozen=moment == "dispatched")
    answers = []

    def call():
        answer = client.post("hint", BODY, Leadford_Deadline_Ms="9000", **SSE)
        answers.append(read_events(answer))

    before = {name: len(client.records(name)) for name in ENGINES}
    threads = [threading.Thread(target=call) for _ in range(4)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    fleet.kill("engines-1")
    set_endpoint_faults(fleet, ENGINES)
    for thread in threads:
        thread.join()
    assert [text_of(events) for events in answers] == [whole] * 4
    assert all(len(client.records(name)) > before[name] for name in ENGINES)


@pytest.mark.parametrize("moment", ["queued", "dispatched"])
def test_a_killed_agent_never_doubles_a_move(fleet, client, moment):
    set_endpoint_faults(fleet, LIVE, delay_ms=400.0)
    count = 40 if moment == "queued" else 4
    calls = [
        lambda number=number: client.post(
            "move",
            {"prompt": f"{moment}{number}"},
            entry=number % 3,
            Leadford_Deadline_Ms="3000",
            Idempotency_Key=f"{moment}-{number}",
        )
        for number in range(count)
    ]
    killer = threading.Timer(0.5, fleet.kill, ["live-play-1"])
    killer.start()
    answers = client.together(calls)
    killer.join()
    time.sleep(0.5)
    for headers, _ in answers:
        runs = client.executions(headers["Leadford-Request-Id"], LIVE)
        assert runs <= 1
        if headers["Leadford-Outcome"] == "complete":
            assert runs == 1
        if headers["Leadford-Outcome"] == "not-run":
            assert runs == 0
    assert any(headers["Leadford-Outcome"] == "complete" for headers, _ in answers)


def test_one_key_through_three_entries_runs_once(client):
    calls = [
        lambda entry=entry: client.post(
            "move", BODY, entry=entry, Idempotency_Key="together"
        )
        for entry in (0, 1, 2, 0, 1, 2)
    ]
    answers = client.together(calls)
    ids = {headers["Leadford-Request-Id"] for headers, _ in answers}
    # A failure shows what the others were told instead.
    results = [document.get("result", document) for _, document in answers]
    assert results == [RESULT] * 6
    assert len(ids) == 1
    assert client.executions(ids.pop(), LIVE) == 1


def test_a_key_with_another_body_is_refused(client):
    client.post("move", BODY, Idempotency_Key="same").read()
    for entry in (0, 1):
        other = client.post(
            "move", {"prompt": "d4"}, entry=entry, Idempotency_Key="same"
        )
        assert other.status == 422
        assert other.headers["Leadford-Outcome"] == "not-run"


@pytest.mark.parametrize("paused", ["entry-1", "entry-2", "entry-3"])
def test_a_paused_entry_that_wakes_doubles_nothing(fleet, client, paused):
    index = int(paused[-1]) - 1
    key = f"paused-{paused}"
    client.post("move", BODY, entry=index, Idempotency_Key=f"first-{key}").read()
    fleet.freeze(paused)
    answer = client.post(
        "move",
        BODY,
        entry=(index + 1) % 3,
        Idempotency_Key=key,
        Leadford_Deadline_Ms="4000",
    )
    assert json.load(answer)["result"] == RESULT
    fleet.thaw(paused)
    again = client.post("move", BODY, entry=index, Idempotency_Key=key)
    assert json.load(again)["result"] == RESULT
    request_id = answer.headers["Leadford-Request-Id"]
    assert client.executions(request_id, LIVE) == 1


def test_a_lost_store_answer_is_settled(fleet, client):
    fleet.set_faults(fleet.store_url, lose_answers=1)
    answer = client.post("move", BODY, Idempotency_Key="lost answer")
    assert json.load(answer)["result"] == RESULT
    assert client.executions(answer.headers["Leadford-Request-Id"], LIVE) == 1


def test_an_outage_of_the_store_stops_only_keyed_work(fleet, client):
    fleet.set_faults(fleet.store_url, down=True)
    started = time.monotonic()
    refused = client.post("move", BODY, Idempotency_Key="outage")
    assert refused.status == 503
    assert refused.headers["Leadford-Outcome"] == "not-run"
    assert refused.headers["Retry-After"]
    assert time.monotonic() - started < 5.0
    assert client.executions(refused.headers["Leadford-Request-Id"], LIVE) == 0
    assert client.post("hint", BODY).headers["Leadford-Outcome"] == "complete"
    assert client.post("move", BODY).headers["Leadford-Outcome"] == "complete"
    fleet.set_faults(fleet.store_url)
    again = client.post("move", BODY, Idempotency_Key="outage")
    assert again.headers["Leadford-Outcome"] == "complete"


def test_swapped_answers_reach_nobody(fleet, client):
    set_endpoint_faults(fleet, LIVE, swap_answers=100)
    calls = [
        lambda number=number: client.post("move", {"prompt": f"swap{number}"})
        for number in range(4)
    ]
    for headers, document in client.together(calls):
        assert headers["Leadford-Outcome"] == "unknown"
        assert "result" not in document


def test_a_failing_endpoint_is_passed_over_for_repeatable_work(fleet, client):
    fleet.set_faults(fleet.endpoint_url("lobby-1"), error_rate=1.0)
    outcomes = [
        client.post("lobby", BODY, entry=number % 3).headers["Leadford-Outcome"]
        for number in range(30)
    ]
    assert outcomes == ["complete"] * 30


@pytest.mark.parametrize("name", ["engines-1", "entry-1", "live-play-1"])
def test_a_planned_stop_cuts_nothing(fleet, client, name):
    set_endpoint_faults(fleet, ENGINES, speed=0.4)
    set_endpoint_faults(fleet, LIVE, delay_ms=300.0)
    pipeline = "move" if name == "live-play-1" else "hint"
    begun = []

    def post(entry):
        begun.append(entry)
        return client.post(pipeline, BODY, entry=entry, Leadford_Deadline_Ms="9000")

    calls = [lambda entry=entry: post(entry) for entry in (0, 1, 2, 0, 1, 2)]
    statuses = []

    def stop():
        # A call that begins after the stop may be refused.
        wait_until(lambda: len(begun) == len(calls))
        time.sleep(0.2)
        statuses.append(fleet.terminate(name))

    stopper = threading.Thread(target=stop)
    stopper.start()
    answers = client.together(calls)
    stopper.join()
    assert statuses == [0]
    assert [headers["Leadford-Outcome"] for headers, _ in answers] == ["complete"] * 6


def test_a_request_that_crosses_a_planned_stop_is_answered(fleet, client):
    set_endpoint_faults(fleet, ENGINES, speed=0.4)
    address = urlsplit(fleet.entry_urls()[0])
    connection = http.client.HTTPConnection(address.hostname, address.port, timeout=20)
    connection.connect()
    statuses = []
    stopper = threading.Thread(
        target=lambda: statuses.append(fleet.terminate("entry-1"))
    )
    stopper.start()
    time.sleep(0.15)
    headers = {"Authorization": f"Bearer {api_key('club-a')}"}
    path = "/v1/pipelines/hint/requests"
    connection.request("POST", path, json.dumps(BODY).encode(), headers)
    answer = connection.getresponse()
    assert answer.headers["Leadford-Outcome"] == "complete"
    assert json.load(answer)
    stopper.join()
    assert statuses == [0]


def test_a_caller_that_leaves_frees_the_engine(fleet, client):
    set_endpoint_faults(fleet, ENGINES, speed=0.1)
    before = len(engine_records(client))
    answer = client.post("review", BODY, Leadford_Deadline_Ms="60000", **SSE)
    read_events(answer, 1)
    answer.close()
    wait_until(lambda: len(engine_records(client)) > before)
    last = max(engine_records(client), key=lambda record: record["at_s"])
    assert not last["finished"]


def test_delete_cancels(fleet, client):
    set_endpoint_faults(fleet, ENGINES, speed=0.1)
    answer = client.post("review", BODY, Leadford_Deadline_Ms="60000", **SSE)
    request_id = answer.headers["Leadford-Request-Id"]
    read_events(answer, 1)
    assert client.open("DELETE", f"/v1/requests/{request_id}").status == 202
    name, _, data = read_events(answer)[-1]
    assert name == "problem"
    assert data["type"].endswith("cancelled")


def test_a_slow_reader_hurts_no_neighbour(client):
    slow = client.post("review", BODY, **SSE)
    answer = client.post("hint", BODY)
    assert answer.headers["Leadford-Outcome"] == "complete"
    time.sleep(1.5)
    assert read_events(slow)[-1][2]["outcome"] == "complete"


@pytest.mark.parametrize(
    ("body", "headers", "status"),
    [
        (b"{not json", {}, 400),
        (b'"\xff"', {}, 400),
        (BODY, {"Leadford_Deadline_Ms": "soon"}, 400),
        (BODY, {"Leadford_Deadline_Ms": "-1"}, 400),
        (BODY, {"Idempotency_Key": "k" * 300}, 400),
        (BODY, {"Authorization": "Bearer nobody"}, 401),
    ],
)
def test_bad_requests_are_told_why(client, body, headers, status):
    answer = client.post("move", body, **headers)
    assert answer.status == status
    assert answer.headers["Content-Type"] == "application/problem+json"
    assert answer.headers["Leadford-Outcome"] == "not-run"
    assert json.load(answer)["detail"]


def test_an_unknown_pipeline_or_request_is_not_found(client):
    assert client.post("nothing").status == 404
    assert client.open("GET", "/v1/requests/r0").status == 404


def test_oversized_calls_are_cut_off_and_neighbours_served(client):
    try:
        status = client.post("move", b'"' + b"x" * (2 << 20) + b'"').status
    except ConnectionError:
        status = 400
    assert status in (400, 413)
    try:
        status = client.post("move", BODY, X_Long="x" * 40_000).status
    except ConnectionError:
        status = 431
    assert status in (400, 431)
    assert client.post("move", BODY).status == 200


@pytest.mark.parametrize("data", [b"\x00" * 100, b"GET / HTTP/1.1\r\n\r\n", b""])
def test_noise_on_the_peer_port_hurts_no_one(fleet, client, data):
    endpoint = fleet.spec.endpoints[0]
    with socket.create_connection(("127.0.0.1", endpoint.agent_port)) as noise:
        noise.sendall(data)
    assert client.post("hint", BODY).status == 200
