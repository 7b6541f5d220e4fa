"""An invalid record of another writer is skipped, and all other records stay in use.

Listings may contain records whose address is a number or not an address. If such a
record counts as an endpoint, the error of each attempt to connect ends a request: nine
of ten requests got no answer at all. If an infinite number (`1e400`) ends the reading
of the whole list, an entry that starts never becomes ready.
"""

import asyncio
import json

import pytest

from leadford_standins.wire import run_scenario

VALID_SPEC = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "hall-0",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
}
INFINITY = json.loads("1e400")
INVALID_SPECS = [
    {**VALID_SPEC, "address": 5},
    {**VALID_SPEC, "address": "nowhere"},
    {**VALID_SPEC, "address": "127.0.0.1:99999"},
    {**VALID_SPEC, "address": "127.0.0.1:-1"},
    {**VALID_SPEC, "slots": INFINITY},
    {**VALID_SPEC, "coldLeftMs": INFINITY},
    {**VALID_SPEC, "slots": -3},
    {**VALID_SPEC, "slots": "many"},
    {**VALID_SPEC, "service": 5},
    {**VALID_SPEC, "state": "resting"},
    {**VALID_SPEC, "zone": ["hall-0"]},
    {**VALID_SPEC, "born": 1.5},
    {**VALID_SPEC, "born": "yesterday"},
    {"service": "plain"},
    {},
    [],
    "text",
    None,
]


@pytest.mark.parametrize("spec", INVALID_SPECS, ids=lambda spec: json.dumps(spec)[-40:])
def test_a_record_of_another_writer_costs_no_request(spec):
    async def scenario(deployment):
        deployment.store.put("servers", "foreign", spec)
        deployment.store.put("leadford-entries", "foreign", spec)
        await asyncio.sleep(0.3)
        for number in range(10):
            answer = await deployment.send("/safe/x", request_id=f"r{number}")
            assert answer.code == 200
        records = deployment.entries_[0].state_.roster_.records_by_id_
        assert "foreign" not in records
        restarted = await deployment.restart_entry(0)
        await deployment.until(
            lambda: restarted.is_ready and deployment.knows_all_endpoints(restarted)
        )
        assert "foreign" not in restarted.state_.roster_.records_by_id_

    run_scenario(scenario)


def test_an_endpoint_whose_record_cannot_be_read_any_more_is_not_used():
    async def scenario(deployment):
        first, second = deployment.plain
        deployment.store.put("servers", first.endpoint_id, {**VALID_SPEC, "address": 5})
        await asyncio.sleep(0.4)
        for number in range(10):
            answer = await deployment.send("/safe/x", request_id=f"r{number}")
            assert answer.code == 200
        assert (len(first.runs_), len(second.runs_)) == (0, 10)
        deployment.store.put("servers", first.endpoint_id, first.spec())
        await asyncio.sleep(0.4)
        for number in range(30):
            await deployment.send("/safe/x", request_id=f"s{number}")
        assert len(first.runs_) > 0

    run_scenario(scenario)


def test_an_endpoint_that_drained_and_starts_again_under_its_id_is_used():
    async def scenario(deployment):
        first = deployment.plain[0]
        deployment.store.put(
            "servers", first.endpoint_id, {**first.spec("draining"), "born": 1_000}
        )
        await asyncio.sleep(0.4)
        deployment.store.put(
            "servers", first.endpoint_id, {**first.spec(), "born": 2_000}
        )
        await asyncio.sleep(0.4)
        for number in range(60):
            answer = await deployment.send("/safe/x", request_id=f"r{number}")
            assert answer.code == 200
        assert len(first.runs_) > 0

    run_scenario(scenario)


def test_news_of_an_earlier_start_end_no_later_one():
    async def scenario(deployment):
        first = deployment.plain[0]
        deployment.store.put(
            "servers", first.endpoint_id, {**first.spec(), "born": 2_000}
        )
        await asyncio.sleep(0.4)
        # The store applies this write long after it was sent.
        deployment.store.put(
            "servers", first.endpoint_id, {**first.spec("draining"), "born": 1_000}
        )
        await asyncio.sleep(0.4)
        for number in range(60):
            answer = await deployment.send("/safe/x", request_id=f"r{number}")
            assert answer.code == 200
        assert len(first.runs_) > 0

    run_scenario(scenario)


DEEP = "a value that is nested deeply"


def nested_lists(depth):
    return "[" * depth + "]" * depth


def nested_objects(depth):
    return '{"a":' * depth + "1" + "}" * depth


async def serves(deployment, name):
    answer = await deployment.send("/safe/x", request_id=name)
    return answer.code == 200


# One such record ended the reading of its page: an entry that started served nothing.
@pytest.mark.parametrize(
    ("kind", "nested", "depth"),
    [
        # Below and above what the parser of the interpreter reads.
        ("servers", nested_objects, 900),
        ("servers", nested_lists, 1_100),
        ("servers", nested_objects, 100_000),
        ("leadford-entries", nested_objects, 100_000),
        ("leadford-software", nested_objects, 100_000),
        ("leadford-streams", nested_objects, 100_000),
        ("evacuations", nested_objects, 100_000),
    ],
)
def test_a_deeply_nested_record_stops_entries_from_following_the_others(
    kind, nested, depth
):
    async def scenario(deployment):
        first, second = deployment.plain
        deployment.store.json_by_text[DEEP] = nested(depth)
        deployment.store.put(kind, "foreign", {**VALID_SPEC, "address": DEEP})
        deployment.store.put(kind, "foreign-2", DEEP)
        await deployment.set_software(first, "v2")
        restarted = await deployment.restart_entry(0)
        await deployment.until(
            lambda: restarted.is_ready and deployment.knows_all_endpoints(restarted)
        )
        assert "foreign" not in restarted.state_.roster_.records_by_id_
        assert await serves(deployment, "r0")
        await deployment.set_software(second, "v2")

    run_scenario(scenario)


def test_a_deeply_nested_field_of_no_interest_hides_an_endpoint():
    async def scenario(deployment):
        (endpoint, *_) = deployment.plain
        deployment.store.json_by_text[DEEP] = nested_objects(2_000)
        spec = {**endpoint.spec(), "note": DEEP, "version": "v2"}
        deployment.store.put("servers", endpoint.endpoint_id, spec)
        records = deployment.entries_[0].state_.roster_.records_by_id_
        await deployment.until(
            lambda: records[endpoint.endpoint_id].listed.software == "v2"
        )

    run_scenario(scenario)


def test_a_configuration_with_a_deeply_nested_value_replaces_the_one_in_force():
    async def scenario(deployment):
        deployment.store.json_by_text[DEEP] = nested_lists(2_000)
        version = deployment.config["version"]
        broken = {**deployment.config, "version": version + 1, "limits": DEEP}
        deployment.store.put("config", "main", broken)
        await asyncio.sleep(0.4)
        (entry,) = deployment.entries_
        assert entry.state_.config_version() == version
        assert await serves(deployment, "r0")
        deployment.config["version"] = version + 1
        await deployment.apply_config()

    run_scenario(scenario)
