"""Let one entry choose the engines for the prompts of a whole fleet.

Without it, each entry chooses for its own requests.
"""

import asyncio
import time

import msgspec
from prometheus_client import REGISTRY

from leadford.forwarding.endpoints import PromptShape
from leadford.forwarding.routes import ServiceId
from leadford.protocol import PROTOCOL_UNTOLD
from leadford_standins.wire import event_ids, run_scenario

ENTRIES = 9
ENGINE = ServiceId("engine")
PROMPT = PromptShape((), 100)
ENDS = ("placed", "no answer", "not usable")
# Time for which no entry runs: longer than an entry counts as alive after its last
# message.
PAUSE_S = 1.2


def placing_entry_number(deployment):
    """Return the number of the placing entry."""
    (number,) = [
        number
        for number, entry in enumerate(deployment.entries_)
        if entry.links_.placing.places_for_all(ENGINE, PROMPT)
    ]
    return number


async def wait_until_placing(deployment):
    """Wait until all entries agree on the placing entry and are connected to it."""

    def is_agreed():
        placing_numbers = [
            number
            for number, entry in enumerate(deployment.entries_)
            if entry.links_.placing.places_for_all(ENGINE, PROMPT)
        ]
        if len(placing_numbers) != 1:
            return False
        name = deployment.entries_[placing_numbers[0]].settings.entry_id
        return all(
            name in entry.links_.peers_by_id_
            for number, entry in enumerate(deployment.entries_)
            if number != placing_numbers[0]
        )

    await deployment.until(is_agreed)


def placed_total(end):
    """Return the number of prompts that are counted with an end."""
    return REGISTRY.get_sample_value("leadford_placed_total", {"end": end}) or 0.0


def placed_by_id(deployment):
    return deployment.entries_[
        placing_entry_number(deployment)
    ].links_.placing.placed.placed_by_id_


def record_choices(placing, chosen):
    """Append each engine that an entry chooses for another entry to a list."""
    choose = placing._choose

    def choose_and_record(service, message):
        record = choose(service, message)
        chosen.append(record.listed.endpoint_id)
        return record

    placing._choose = choose_and_record


def test_streams_are_served_by_engines_that_one_entry_chose():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        chosen = []
        # An entry that a busy machine delays twice in a row asks the next candidate,
        # as it does when the first one is silent.
        for entry in deployment.entries_:
            record_choices(entry.links_.placing, chosen)
        others = [n for n in range(ENTRIES) if n != placing_entry_number(deployment)]
        before = {end: placed_total(end) for end in ENDS}
        for number in others:
            answer = await deployment.send(
                "/once/x", request_id=f"r{number}", entry=number
            )
            assert answer.code == 200
            assert event_ids(answer.body)
        assert len(chosen) == len(others)
        # On a busy machine an answer may arrive after the timeout.
        count_by_end = {end: placed_total(end) - before[end] for end in ENDS}
        assert sum(count_by_end.values()) == len(others)
        assert count_by_end["placed"] > 0
        # The placing entry was notified that each prompt was read.
        await deployment.until(lambda: not placed_by_id(deployment))

    run_scenario(scenario, entries=ENTRIES)


def test_entries_that_were_held_up_still_know_who_places():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        number = placing_entry_number(deployment)
        # No entry runs, so none reads the messages of the others.
        time.sleep(PAUSE_S)
        assert placing_entry_number(deployment) == number
        before = placed_total("placed")
        answer = await deployment.send(
            "/once/x", request_id="r", entry=(number + 1) % ENTRIES
        )
        assert answer.code == 200
        assert placed_total("placed") == before + 1

    run_scenario(scenario, entries=ENTRIES)


async def enable_cold_limits(deployment, per_s):
    """Configure the requests per second that a cold engine may receive."""
    for service in deployment.config["services"]:
        if service["name"] == ENGINE:
            service.update(coldPerS=per_s, coldS=30.0)
    await deployment.apply_config()


def test_streams_are_placed_too_where_engines_may_be_cold():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        await enable_cold_limits(deployment, 9.0)
        others = [n for n in range(ENTRIES) if n != placing_entry_number(deployment)]
        before = placed_total("placed")
        for number in others:
            answer = await deployment.send(
                "/once/x", request_id=f"r{number}", entry=number
            )
            assert answer.code == 200
        assert placed_total("placed") - before > len(others) / 2

    run_scenario(scenario, entries=ENTRIES)


def test_a_cold_engine_gets_no_more_than_it_bears_where_streams_are_placed():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        await enable_cold_limits(deployment, 2.0)
        cold, warm = deployment.engines
        for entry in deployment.entries_:
            entry.state_.roster_.record(cold.endpoint_id).cold_until_ = float("inf")
        answers = await asyncio.gather(
            *(
                deployment.send("/once/x", request_id=f"r{n}", entry=n % ENTRIES)
                for n in range(4 * ENTRIES)
            )
        )
        assert [answer.code for answer in answers] == [200] * len(answers)
        # Two entries share the rate, and each may send one request at once.
        assert len(cold.runs_) <= 3
        assert len(warm.runs_) >= len(answers) - 3

    run_scenario(scenario, entries=ENTRIES)


def test_each_entry_chooses_by_itself_while_one_of_an_older_build_lives():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        await enable_cold_limits(deployment, 9.0)
        number = placing_entry_number(deployment)
        old_number, asking_number = [n for n in range(ENTRIES) if n != number][:2]
        entry = deployment.entries_[asking_number]
        service = entry.state_.service(ENGINE)
        is_placed = entry.links_.placing.places_service
        await deployment.until(lambda: is_placed(service))
        # The protocol version that the placing entry receives from an older build.
        placing_links = deployment.entries_[number].links_
        peer = placing_links.peers_by_id_[
            deployment.entries_[old_number].settings.entry_id
        ]
        info = peer.info
        peer.info = msgspec.structs.replace(info, protocol_version=PROTOCOL_UNTOLD)
        await deployment.until(lambda: not is_placed(service))
        before = placed_total("placed")
        answer = await deployment.send("/once/x", request_id="r", entry=asking_number)
        assert answer.code == 200
        assert placed_total("placed") == before
        # A current build replaces the old entry.
        peer.info = info
        await deployment.until(lambda: is_placed(service))

    run_scenario(scenario, entries=ENTRIES)


def test_the_rule_holds_on_where_one_of_two_links_to_an_entry_ends():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        await enable_cold_limits(deployment, 9.0)
        entry = deployment.entries_[0]
        service = entry.state_.service(ENGINE)
        is_placed = entry.links_.placing.places_service
        await deployment.until(lambda: is_placed(service))
        # Entries that connect to each other at once hold two links; the first one ends.
        links = entry.links_
        for peer in list(links.peers_by_id_.values()):
            links.peer_lost(peer)
        await deployment.until(
            lambda: links.fleet.peers_to_link() <= set(links.peers_by_id_)
        )
        await deployment.until(lambda: is_placed(service))

    run_scenario(scenario, entries=ENTRIES)


def test_an_entry_that_is_told_nothing_chooses_by_itself():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        number = placing_entry_number(deployment)
        placing = deployment.entries_[number].links_.placing

        def ignore(peer, message):
            """Drop the message without an answer."""

        links = deployment.entries_[number].links_
        for kind in placing.handlers():
            links.handlers_[kind] = ignore
        other = (number + 1) % ENTRIES
        before = placed_total("no answer")
        answer = await deployment.send("/once/x", request_id="r", entry=other)
        assert answer.code == 200
        waiting = deployment.entries_[other].links_.placing.answers_by_id_
        assert waiting == {}
        assert placed_total("no answer") == before + 1

    run_scenario(scenario, entries=ENTRIES)


def test_streams_go_on_while_the_entry_that_places_is_lost():
    async def scenario(deployment):
        await wait_until_placing(deployment)
        number = placing_entry_number(deployment)
        deployment.entries_[number].stop()
        others = [n for n in range(ENTRIES) if n != number]
        answers = await asyncio.gather(
            *(
                deployment.send_with_retries("/once/x", request_id=f"r{n}", entry=n)
                for n in others
            )
        )
        assert [answer.code for answer in answers] == [200] * len(others)

    run_scenario(scenario, entries=ENTRIES)
