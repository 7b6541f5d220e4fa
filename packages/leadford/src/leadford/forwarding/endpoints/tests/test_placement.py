"""Prompts of many entries wait for each other less often if one entry places them.

Replays long prompts that arrive at 60 entries in front of 39 engines; each engine
prefills one prompt at a time.
"""

from random import Random

from leadford.common import EndpointId, EntryId, HallId
from leadford.forwarding.endpoints import (
    EngineChooser,
    PlacedId,
    PlacedPrompts,
    PromptPart,
    PromptShape,
)
from leadford.forwarding.endpoints._placement import PLACED_TIMEOUT_S
from leadford_standins.records import endpoint_record

ENGINES = 39
ENTRIES = 60
MEMORY_TOKENS = 266_000
TOKENS_PER_MS = 32.4
# Prompts per second, and the duration of the replay.
PROMPTS_PER_S = 28.0
REPLAY_S = 20.0
# Tokens of the parts: one of a few shared ones, one shared by the requests on the same
# subject, and the request's own.
FIRST_TOKENS, SUBJECT_TOKENS, OWN_TOKENS = 2_500, 3_800, 2_900


def record(number):
    return endpoint_record(f"e{number}", slots=48)


def prompt(random):
    return PromptShape(
        (
            PromptPart(f"first-{random.randrange(4)}", FIRST_TOKENS),
            PromptPart(f"subject-{random.randrange(900)}", SUBJECT_TOKENS),
            PromptPart(f"own-{random.random()}", OWN_TOKENS),
        ),
        FIRST_TOKENS + SUBJECT_TOKENS + OWN_TOKENS,
    )


class Engine:
    """Prefill one prompt at a time, and cache the parts of each."""

    def __init__(self):
        self.free_at = 0.0
        self.read = set()

    def take(self, shape, now):
        """Return when the prefill ends, and whether it had to wait."""
        tokens = OWN_TOKENS
        for part in shape.shared:
            if part.part_id not in self.read:
                tokens += part.tokens
                self.read.add(part.part_id)
        waits = self.free_at > now
        self.free_at = max(now, self.free_at) + tokens / TOKENS_PER_MS / 1_000.0
        return self.free_at, waits


def replay(*, placed):
    """Return the fraction of prompts that waited for another one at their engine."""
    random = Random(5)
    records = [record(number) for number in range(ENGINES)]
    engines = {r.listed.endpoint_id: Engine() for r in records}
    choosers = [EngineChooser(hall=HallId("h")) for _ in range(ENTRIES)]
    placing = choosers[0]
    ledger = PlacedPrompts(engines=placing)
    reading = []
    waited = count = 0
    now = 0.0
    while now < REPLAY_S:
        now += random.expovariate(PROMPTS_PER_S)
        for read_at, done in [item for item in reading if item[0] <= now]:
            done()
            reading.remove((read_at, done))
        shape = prompt(random)
        entry = random.randrange(ENTRIES)
        chooser = placing if placed else choosers[entry]
        chosen = chooser.choose(records, shape, places_for_all=placed, now=now)
        sent = chooser.record_sent(chosen, shape, MEMORY_TOKENS)
        read_at, waits = engines[chosen.listed.endpoint_id].take(shape, now)
        count += 1
        waited += waits
        if placed:
            placed_id = PlacedId(EntryId(f"n{entry}"), count)
            ledger.record_placed(placed_id, sent, now)
            reading.append((read_at, lambda i=placed_id: ledger.record_prefilled(i)))
        else:
            reading.append((read_at, lambda c=chooser, s=sent: c.record_prefilled(s)))
    return waited / count


def test_prompts_placed_by_one_entry_hardly_ever_meet():
    assert replay(placed=True) < 0.02


def test_prompts_that_each_entry_places_meet():
    assert replay(placed=False) > 0.1


def test_a_prompt_counts_until_it_is_read():
    engines = EngineChooser(hall=HallId("h"))
    ledger = PlacedPrompts(engines=engines)
    placed_id = PlacedId(EntryId("n"), 1)
    sent = engines.record_sent(record(0), prompt(Random(1)), MEMORY_TOKENS)
    ledger.record_placed(placed_id, sent, 0.0)
    assert engines.pending_by_id_
    ledger.record_prefilled(placed_id)
    ledger.record_prefilled(placed_id)
    assert not engines.pending_by_id_


def test_a_prompt_of_an_entry_that_is_gone_is_forgotten():
    engines = EngineChooser(hall=HallId("h"))
    ledger = PlacedPrompts(engines=engines)
    shape = prompt(Random(1))
    sent = engines.record_sent(record(0), shape, MEMORY_TOKENS)
    ledger.record_placed(PlacedId(EntryId("n"), 1), sent, 0.0)
    other = engines.record_sent(record(1), shape, MEMORY_TOKENS)
    ledger.record_placed(PlacedId(EntryId("m"), 1), other, PLACED_TIMEOUT_S + 0.1)
    assert set(engines.pending_by_id_) == {EndpointId("e1")}


def test_an_entry_that_was_started_again_leaves_nothing_waiting():
    engines = EngineChooser(hall=HallId("h"))
    ledger = PlacedPrompts(engines=engines)
    placed_id = PlacedId(EntryId("n"), 1)
    shape = prompt(Random(1))
    for number in range(2):
        sent = engines.record_sent(record(number), shape, MEMORY_TOKENS)
        ledger.record_placed(placed_id, sent, 0.0)
    ledger.record_prefilled(placed_id)
    assert not engines.pending_by_id_


def test_who_knows_all_does_not_guess_what_is_kept():
    engines = EngineChooser(hall=HallId("h"))
    records = [record(0), record(1)]
    shape = prompt(Random(1))
    guessed = engines.choose(records, shape, now=0.0)
    engines.record_sent(guessed, prompt(Random(2)), MEMORY_TOKENS)
    other = engines.choose(records, shape, places_for_all=True, now=0.0)
    assert other is not guessed
