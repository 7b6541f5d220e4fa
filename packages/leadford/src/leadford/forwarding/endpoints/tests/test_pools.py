"""Many engines are split into pools, each of which serves the prompts of some parts.

Replays prompts of a service with 1,200 engines, of which each prompt considers 150.
"""

from collections import Counter
from random import Random

import pytest

from leadford.common import EndpointId, HallId
from leadford.forwarding.endpoints import (
    EngineChooser,
    PromptPart,
    PromptShape,
    pool_count,
)
from leadford.forwarding.endpoints._pools import MAX_POOL_ENGINES, EnginePools
from leadford_standins.records import endpoint_record

ENGINES = 1_200
MEMORY_TOKENS = 266_000


def record(number):
    return endpoint_record(f"e{number}", hall=f"h{number % 6}", slots=48)


def prompt(subject):
    parts = (
        PromptPart(f"first-{subject % 4}", 2_500),
        PromptPart(f"subject-{subject}", 3_800),
        PromptPart("own", 2_900),
    )
    return PromptShape(parts, 9_200)


@pytest.mark.parametrize(
    ("engines", "count"),
    [(39, 1), (MAX_POOL_ENGINES, 1), (MAX_POOL_ENGINES + 1, 2), (1_200, 8)],
)
def test_pools_are_a_power_of_two(engines, count):
    assert pool_count(engines) == count


def test_prompts_of_a_subject_look_at_one_pool_and_all_pools_are_used():
    records = [record(number) for number in range(ENGINES)]
    pools = EnginePools()
    seen = Counter()
    for subject in range(400):
        members = pools.members(records, prompt(subject).pool_key)
        assert list(members) == list(pools.members(records, prompt(subject).pool_key))
        assert len(members) < MAX_POOL_ENGINES
        seen.update(member.listed.endpoint_id for member in members)
    assert len(seen) == ENGINES


def test_engines_of_a_pool_stay_together_when_the_service_grows():
    few = [record(number) for number in range(MAX_POOL_ENGINES)]
    more = [record(number) for number in range(MAX_POOL_ENGINES * 3)]
    key = prompt(5).pool_key
    before = {r.listed.endpoint_id for r in EnginePools().members(more, key)}
    grown = [*more, *(record(number) for number in range(600, 1_000))]
    after = {r.listed.endpoint_id for r in EnginePools().members(grown, key)}
    assert len(EnginePools().members(few, key)) == MAX_POOL_ENGINES
    assert {name for name in after if int(name[1:]) < 600} <= before


def test_a_prompt_without_parts_may_go_anywhere():
    records = [record(number) for number in range(ENGINES)]
    assert len(EnginePools().members(records, "")) == ENGINES


def test_a_prompt_leaves_its_pool_only_when_nobody_there_is_left():
    records = [record(number) for number in range(ENGINES)]
    chooser = EngineChooser(hall=HallId("h0"))
    shape = prompt(7)
    pool = {
        r.listed.endpoint_id for r in EnginePools().members(records, shape.pool_key)
    }
    chosen = chooser.choose(records, shape, places_for_all=True, now=0.0)
    assert chosen.listed.endpoint_id in pool
    other = chooser.choose(records, shape, excluded=pool, places_for_all=True, now=0.0)
    assert other is not None
    assert other.listed.endpoint_id not in pool


def test_what_is_read_again_finds_its_engine():
    random = Random(3)
    records = [record(number) for number in range(ENGINES)]
    chooser = EngineChooser(hall=HallId("h0"))
    subjects = [random.randrange(900) for _ in range(60)]
    first = {}
    for subject in subjects + subjects:
        shape = prompt(subject)
        chosen = chooser.choose(records, shape, places_for_all=True, now=0.0)
        sent = chooser.record_sent(chosen, shape, MEMORY_TOKENS)
        chooser.record_prefilled(sent)
        assert first.setdefault(subject, chosen) is chosen


def test_engines_that_left_are_forgotten():
    chooser = EngineChooser(hall=HallId("h0"))
    records = [record(number) for number in range(ENGINES)]
    chooser.choose(records, prompt(1), now=0.0)
    chooser.retain({EndpointId("e1")})
    assert set(chooser.pools.hash_by_id_) == {EndpointId("e1")}
