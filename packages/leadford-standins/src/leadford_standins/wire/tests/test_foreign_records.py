"""A record of another writer names no endpoint to use, and the others hold.

Listings held records whose address was a number or no address: nine of ten requests got
no answer at all, because the error of each try to connect ended the request. A number
without bounds (`1e400`) ended the reading of the whole list, and an entry that started
was never ready.
"""

import asyncio
import json

import pytest

from leadford_standins.wire import play

GOOD = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "hall-0",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 1,
}
INFINITE = json.loads("1e400")
FOREIGN = [
    {**GOOD, "address": 5},
    {**GOOD, "address": "nowhere"},
    {**GOOD, "address": "127.0.0.1:99999"},
    {**GOOD, "address": "127.0.0.1:-1"},
    {**GOOD, "slots": INFINITE},
    {**GOOD, "coldLeftMs": INFINITE},
    {**GOOD, "slots": -3},
    {**GOOD, "slots": "many"},
    {**GOOD, "service": 5},
    {**GOOD, "state": "resting"},
    {**GOOD, "zone": ["hall-0"]},
    {**GOOD, "born": 1.5},
    {**GOOD, "born": "yesterday"},
    {"service": "plain"},
    {},
    [],
    "text",
    None,
]


@pytest.mark.parametrize("spec", FOREIGN, ids=lambda spec: json.dumps(spec)[-40:])
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
        again = await deployment.restart_entry(0)
        await deployment.until(lambda: again.is_ready and deployment.knows_all(again))
        assert "foreign" not in again.state_.roster_.records_by_id_

    play(scenario)


def test_an_endpoint_whose_record_cannot_be_read_any_more_is_not_used():
    async def scenario(deployment):
        first, second = deployment.plain
        deployment.store.put("servers", first.endpoint_id, {**GOOD, "address": 5})
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

    play(scenario)


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

    play(scenario)


def test_news_of_an_earlier_start_end_no_later_one():
    async def scenario(deployment):
        first = deployment.plain[0]
        deployment.store.put(
            "servers", first.endpoint_id, {**first.spec(), "born": 2_000}
        )
        await asyncio.sleep(0.4)
        # A write that the store took long after it was sent.
        deployment.store.put(
            "servers", first.endpoint_id, {**first.spec("draining"), "born": 1_000}
        )
        await asyncio.sleep(0.4)
        for number in range(60):
            answer = await deployment.send("/safe/x", request_id=f"r{number}")
            assert answer.code == 200
        assert len(first.runs_) > 0

    play(scenario)
