"""Operators ask, change, race, repeat and undo; every process follows."""

import json
import time
import urllib.request
from random import Random

import pytest

from leadford_standins.fleet import operator_token
from leadford_standins.tests.conftest import (
    ENGINES,
    SSE,
    read_events,
    set_endpoint_faults,
    wait_until,
)

TOKEN = {"Authorization": f"Bearer {operator_token('ops')}"}


def ask(client, statement, entry=0, **more):
    body = {"statement": statement, **more}
    answer = client.open("POST", "/v1/operator/statements", body, entry=entry, **TOKEN)
    return answer.status, json.load(answer)


def rows_of(client, statement, entry=0):
    status, table = ask(client, statement, entry)
    assert status == 200, table
    return [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]


def version_of(client, entry=0):
    return ask(client, "show pools", entry)[1]["version"]


@pytest.mark.parametrize(
    "statement",
    [
        "show endpoints where state = active",
        "show halls",
        "show entries",
        "show workspaces where share >= 1 limit 2",
        "show pipelines",
        "show pools where kind = engine",
        "show versions",
        "show events limit 5",
        "show cost by workspace",
    ],
)
def test_queries_are_answered_by_the_whole_fleet(client, statement):
    client.post("hint").read()
    status, table = ask(client, statement, entry=1)
    assert status == 200
    assert table["rows"]
    assert table["coverage"] in ("", "3 of 3 entries answered")


def test_what_runs_and_waits_is_shown_and_explained(fleet, client):
    set_endpoint_faults(fleet, ENGINES, speed=0.05)
    answer = client.post("review", Leadford_Deadline_Ms="60000", **SSE)
    request_id = answer.headers["Leadford-Request-Id"]
    running = rows_of(client, f"show requests where request = {request_id}", 2)
    assert [row["state"] for row in running] == ["streaming"]
    queued = rows_of(client, f"show queue where request = {request_id}", 1)
    assert [row["state"] for row in queued] == ["running"]
    steps = rows_of(client, f"explain request {request_id}", 1)
    assert any(step["step"].startswith("generate: chose") for step in steps)
    client.open("DELETE", f"/v1/requests/{request_id}").read()
    read_events(answer)


def test_a_refusal_is_explained(fleet, client):
    refused = client.post("review", Leadford_Deadline_Ms="5")
    assert refused.status == 503
    request_id = refused.headers["Leadford-Request-Id"]
    steps = rows_of(client, f"explain request {request_id}", 2)
    assert "deadline" in steps[-1]["step"]


def test_a_command_is_in_force_everywhere_and_audited(client):
    before = version_of(client)
    status, answer = ask(client, "set share of workspace juniors to 3", wait=True)
    assert (status, answer["version"], answer["behind"]) == (200, before + 1, [])
    versions = rows_of(client, "show versions", 2)
    assert {row["version"] for row in versions} == {before + 1}
    record = rows_of(client, "show audit limit 1", 1)[0]
    assert record["operator"] == "ops"
    assert record["command"] == "set share of workspace juniors to 3"
    assert (record["from_version"], record["version"]) == (before, before + 1)


def test_a_repeated_command_changes_once(client):
    first = ask(client, "set objective to cost", command_id="once", wait=True)[1]
    again = ask(client, "set objective to cost", 1, command_id="once", wait=True)[1]
    assert again["version"] == first["version"]
    assert again["repeated"]


def test_of_two_conflicting_commands_one_wins_and_one_is_told(client):
    version = version_of(client)
    calls = [
        lambda entry=entry, share=share: client.open(
            "POST",
            "/v1/operator/statements",
            {
                "statement": f"set share of workspace juniors to {share}",
                "if_version": version,
            },
            entry=entry,
            **TOKEN,
        )
        for entry, share in ((0, 5), (1, 7))
    ]
    answers = sorted(
        (document for _, document in client.together(calls)),
        key=lambda document: "detail" in document,
    )
    assert answers[0]["version"] == version + 1
    assert answers[1]["status"] == 409
    assert "set share of workspace juniors to" in answers[1]["detail"]


def test_a_lost_store_answer_of_a_command_is_settled(fleet, client):
    version = version_of(client)
    # The first write is a chunk; the second is the head, whose answer is lost too.
    fleet.set_faults(fleet.store_url, lose_answers=2)
    command = "set share of workspace club-a to 2"
    status, answer = ask(client, command, command_id="lost-1")
    if status != 200:
        status, answer = ask(client, command, 1, command_id="lost-1")
    assert (status, answer["version"]) == (200, version + 1)
    records = rows_of(client, f"show audit where version > {version}")
    assert len(records) == 1


def test_undo_restores_what_was(client):
    version = version_of(client)
    ask(client, "pause pipeline lobby", wait=True)
    paused = client.post("lobby")
    assert paused.status == 503
    assert paused.headers["Leadford-Outcome"] == "not-run"
    status, answer = ask(client, f"undo {version}", 1, wait=True)
    assert (status, answer["behind"]) == (200, [])
    assert client.post("lobby").status == 200


def test_commands_fail_clearly_while_the_store_is_down(fleet, client):
    fleet.set_faults(fleet.store_url, down=True)
    status, answer = ask(client, "set objective to cost")
    assert status == 503
    assert "store" in answer["detail"]
    assert rows_of(client, "show endpoints")
    fleet.set_faults(fleet.store_url)
    assert ask(client, "set objective to cost")[0] == 200
    names = [row["event"] for row in rows_of(client, "show events")]
    assert names.index("store_back") < names.index("store_unavailable")


def test_an_entry_that_starts_in_an_outage_takes_its_peers_version(fleet, client):
    version = ask(client, "set share of workspace club-a to 4", wait=True)[1]["version"]
    fleet.kill("entry-3")
    fleet.set_faults(fleet.store_url, down=True)
    fleet.restart("entry-3")
    assert version_of(client, 2) == version
    fleet.set_faults(fleet.store_url)


def test_a_drained_endpoint_gets_no_new_work_within_two_seconds(fleet, client):
    answer = ask(client, "drain endpoint lobby-1", wait=True)[1]
    assert answer["behind"] == []
    time.sleep(0.2)
    before = len(client.records("lobby-1"))
    for entry in (0, 1, 2) * 4:
        assert client.post("lobby", entry=entry).status == 200
    assert len(client.records("lobby-1")) == before
    ask(client, "restore endpoint lobby-1", wait=True)
    wait_until(
        lambda: (
            rows_of(client, "show endpoints where endpoint = lobby-1")[0]["state"]
            == "active"
        )
    )


def test_a_leaving_host_gets_no_new_work_once_the_list_shows_it(fleet, client):
    url = f"http://127.0.0.1:{fleet.spec.hosts_port}/hosts"
    body = json.dumps({"host-lobby-2": "leaving"}).encode()
    urllib.request.urlopen(url, body, timeout=5).read()
    wait_until(
        lambda: all(
            rows_of(client, "show endpoints where endpoint = lobby-2", e)[0]["state"]
            == "leaving"
            for e in (0, 1, 2)
        )
    )
    before = len(client.records("lobby-2"))
    for entry in (0, 1, 2) * 3:
        assert client.post("lobby", entry=entry).status == 200
    assert len(client.records("lobby-2")) == before
    urllib.request.urlopen(url, json.dumps({"host-lobby-2": "live"}).encode()).read()


def test_no_process_ever_goes_back_while_relays_die(fleet, client):
    random = Random(1)
    seen = dict.fromkeys(fleet.entry_names, 0)
    for number in range(6):
        if number % 2:
            victim = random.choice(fleet.entry_names[1:])
            fleet.kill(victim)
            fleet.restart(victim)
            seen[victim] = 0
        share = 1 + number
        status, answer = ask(client, f"set share of workspace club-b to {share}")
        assert status == 200, answer
        for entry, name in enumerate(fleet.entry_names):
            version = version_of(client, entry)
            assert version >= seen[name]
            seen[name] = version
    wait_until(lambda: len({version_of(client, entry) for entry in (0, 1, 2)}) == 1)


@pytest.mark.parametrize(
    ("statement", "status", "text"),
    [
        ("shwo endpoints", 400, "column 1"),
        ("show endpoints where colour = red", 400, "no column 'colour'"),
        ("drain endpoint nothing", 422, "no endpoint"),
        ("undo 999999", 422, "expected a version"),
        ("set tuning claim_shards to 4", 422, "must stay 1"),
        ("explain request r404", 404, "remembers"),
    ],
)
def test_bad_statements_are_told_why(client, statement, status, text):
    answered, document = ask(client, statement)
    assert answered == status
    assert text in document["detail"]


def test_only_operators_may_ask(client):
    answer = client.open("POST", "/v1/operator/statements", {"statement": "show pools"})
    assert answer.status == 401


def test_a_whole_configuration_is_checked_before_it_is_taken(fleet, client):
    document = fleet.spec.config_document()
    document["pools"]["engines"]["concurrency"] = 0
    answer = client.open("POST", "/v1/operator/config", {"document": document}, **TOKEN)
    assert answer.status == 422
    faults = json.load(answer)["faults"]
    assert any(fault.startswith("pools.engines.concurrency") for fault in faults)
    document["pools"]["engines"]["concurrency"] = 8
    answer = client.open(
        "POST", "/v1/operator/config", {"document": document, "wait": True}, **TOKEN
    )
    assert json.load(answer)["behind"] == []


def orders(fleet, name):
    url = f"{fleet.endpoint_url(name)}/orders"
    return json.load(urllib.request.urlopen(url, timeout=5))


def holders(fleet, model, version):
    names = ("engines-1", "engines-2")
    return [n for n in names if orders(fleet, n)["models"].get(model) == version]


def test_models_follow_the_plan_through_a_planner_that_dies(fleet, client):
    ask(client, "load model go version 1 in pool engines copies 1", wait=True)
    wait_until(lambda: len(holders(fleet, "go", "1")) == 1)
    planners = [
        row["process"]
        for row in rows_of(client, "show events where event = planner_changed")
    ]
    fleet.kill(planners[0])
    alive = (fleet.entry_names.index(planners[0]) + 1) % 3
    ask(client, "load model go version 2 in pool engines copies 2", alive)
    wait_until(lambda: len(holders(fleet, "go", "2")) == 2)
    assert not holders(fleet, "go", "1")
    given = orders(fleet, "engines-1")["orders"] + orders(fleet, "engines-2")["orders"]
    assert all(order["fence"] > 0 for order in given)
    ask(client, "unload model go", alive)
    wait_until(lambda: not holders(fleet, "go", "2"))
