"""Endpoints of one service are compared by pace, and only where they report one."""

from random import Random

import msgspec
import pytest

from leadford.common import EndpointId, HallId
from leadford.forwarding.batching import CapacityTable
from leadford.forwarding.batching.tests.conftest import piece_limits
from leadford.forwarding.endpoints import (
    EndpointChooser,
    EndpointRoster,
    EngineChooser,
    PaceMeter,
    PromptPart,
    PromptShape,
    ReportedLoad,
    effective_count,
    estimate_paces,
    reportable_paces,
)
from leadford.forwarding.endpoints._paces import without_busy_untried
from leadford.forwarding.retries import usual_duration_s
from leadford_standins.records import endpoint_record

HALL = HallId("near")


def record(name, pace=None, *, reported=1.0, hall="near", slots=6, now=0.0):
    """Return an endpoint whose long-term pace was measured, if one is given."""
    found = endpoint_record(name, hall=hall, slots=slots)
    if pace is not None:
        for _ in range(20):
            found.pace_.record_reported(reported, now)
            found.pace_.record_measured(pace * reported, now)
    return found


def test_without_a_reported_pace_there_are_no_paces():
    records = [record("a"), record("b")]
    for each in records:
        each.record_load(ReportedLoad(3, 0, 6), 0.0)
        each.record_slowness(2.0, 0.0)
        PaceMeter().record_call(each, 2.0, 0.0, waited=False)
    assert estimate_paces(records, 0.1) is None
    assert effective_count(records, 0.1) == 2
    assert reportable_paces(records, 0.1) == []


def test_an_unmeasured_endpoint_begins_at_the_median():
    records = [record("a", 0.7), record("b", 1.5), record("c", 1.6), record("d")]
    paces = estimate_paces(records, 0.1)
    assert paces["d"] == pytest.approx(1.5, rel=0.03)
    assert paces["a"] < 0.8
    # One of many endpoints does not tell what is usual.
    few = [record("a", 3.0), record("b"), record("c"), record("d")]
    assert estimate_paces(few, 0.1)["d"] == 1.0


def test_capacity_is_counted_in_endpoints_of_the_usual_pace():
    records = [record("a", 0.5), record("b", 2.0), record("c", 1.0, reported=2.0)]
    assert effective_count(records, 0.1) == pytest.approx(2.0 + 0.5 + 0.5, rel=0.1)


def test_a_restarted_endpoint_under_the_same_name_begins_anew():
    def listed(endpoint_id, born):
        return msgspec.structs.replace(
            endpoint_record(endpoint_id).listed, listed_as="e", born=born, revision=born
        )

    roster = EndpointRoster()
    roster.record_listed(listed("e-1", 1))
    slow = roster.record(EndpointId("e-1")).pace_
    slow.record_reported(2.0, 0.0)
    slow.record_measured(5.0, 0.0)
    roster.record_listed(listed("e-2", 2))
    restarted = roster.record(EndpointId("e-2")).pace_
    assert not restarted.is_tried(0.1)
    assert restarted.estimate(0.1) == 1.0


def test_an_untried_endpoint_gets_one_request_at_a_time():
    def is_busy(found):
        return found.in_flight_ > 0

    tried, new = record("a", 1.0), record("b")
    tried.in_flight_ = 5
    assert without_busy_untried([tried, new], is_busy, 0.1) == [tried, new]
    new.in_flight_ = 1
    assert without_busy_untried([tried, new], is_busy, 0.1) == [tried]
    # While most endpoints are new, the few others would get everything.
    others = [record(name) for name in "cd"]
    for other in others:
        other.in_flight_ = 1
    everything = [tried, new, *others]
    assert without_busy_untried(everything, is_busy, 0.1) == everything


def test_news_hold_the_newest_paces_that_differ():
    records = [record(f"e{n:03d}", 1.7, now=n / 100) for n in range(100)]
    records += [record("usual", 1.1, now=1.0), record("fast", 0.7, now=1.0)]
    reported = reportable_paces(records, 1.0)
    assert len(reported) == 64
    assert reported[0].endpoint_id == "fast"
    assert [item.endpoint_id for item in reported[1:]] == [
        f"e{n:03d}" for n in range(99, 36, -1)
    ]
    assert reportable_paces(records, 5.0) == []


def test_prefills_are_compared_by_tokens():
    meter = PaceMeter()
    fast, slow = record("a", 1.0), record("b", 1.0)
    for step in range(200):
        now = step / 10
        for each, ms_per_token in ((fast, 0.02), (slow, 0.05)):
            each.pace_.record_reported(1.0, now)
            tokens = 1_000.0 + 37.0 * (step % 100)
            meter.record_prefill(each, tokens, tokens * ms_per_token, now)
            meter.record_prefill(each, 10.0, 1_000.0, now)
    paces = estimate_paces([fast, slow], 20.0)
    assert paces["b"] / paces["a"] == pytest.approx(2.5, rel=0.1)


def test_answers_that_waited_at_the_endpoint_are_not_measured():
    meter = PaceMeter()
    found = record("a", 1.0)
    for step in range(40):
        now = step / 10
        waiting = 9 if step >= 20 else 0
        found.record_load(ReportedLoad(6, waiting, 6), now)
        meter.record_answer(found, 200.0 if waiting else 20.0, "route", now)
    assert found.pace(4.0) == pytest.approx(1.0)
    meter.record_call(found, 9.0, 4.0, waited=True)
    assert found.pace(4.0) == pytest.approx(1.0)


def test_a_slow_plain_endpoint_gets_less_work_but_is_not_starved():
    """Endpoints at 0.7, 0.7 and 1.7 of the usual time; requests stay in flight."""
    records = [record("a", 0.7), record("b", 0.7), record("c", 1.7)]
    chooser = EndpointChooser(hall=HALL, random=Random(1))
    for _ in range(24):
        chooser.choose(records, now=0.1).in_flight_ += 1
    fast = (records[0].in_flight_ + records[1].in_flight_) / 2
    assert 2.0 < fast / records[2].in_flight_ < 3.0


def test_a_slow_plain_endpoint_that_recovers_is_used_again():
    """One request at a time; the slow endpoint answers as usual from 1 s on."""
    slow, other = record("a", 3.0, slots=1), record("b", 1.3, slots=1)
    chooser = EndpointChooser(hall=HALL, random=Random(1))
    assert chooser.choose([slow, other], now=0.1) is other
    for step in range(20):
        slow.pace_.record_reported(1.0, 1.0 + step / 20)
        slow.pace_.record_measured(1.0, 1.0 + step / 20)
    assert chooser.choose([slow, other], now=2.0) is slow


def test_a_slow_plain_endpoint_that_got_no_work_is_tried_again():
    unused, other = record("a", 3.0, slots=1), record("b", 1.3, slots=1, now=300.0)
    chooser = EndpointChooser(hall=HALL, random=Random(1))
    assert chooser.choose([unused, other], now=5.0) is other
    assert chooser.choose([unused, other], now=300.1) is unused


def test_a_call_at_a_slow_endpoint_is_expected_to_last_longer():
    limits = piece_limits()
    calls = CapacityTable()
    capacity = calls.capacity(EndpointId("a"), limits)
    capacity.begin(2, 0, 0.0, pace=2.0)
    assert capacity.busy_until_ == pytest.approx(2.0 * limits.duration_ms(2) / 1_000.0)
    slow, fast = record("b", 1.7), record("c", 0.7)
    ranked = calls.rank_endpoints([slow, fast], limits, waiting=1, now=0.1)
    assert ranked == [fast]


def test_plain_choice_without_paces_is_as_before():
    """The same requests with and without the figure; only the figure makes a change."""

    def chosen(*, reports_pace):
        records = [record("a"), record("b")]
        for each, latency_ms in zip(records, (30.0, 20.0), strict=True):
            each.record_load(ReportedLoad(2, 0, 6), 0.0)
            for _ in range(5):
                each.record_success(latency_ms)
        if reports_pace:
            records[0].pace_.record_reported(0.5, 0.0)
            records[1].pace_.record_reported(2.0, 0.0)
        chooser = EndpointChooser(hall=HALL, random=Random(1))
        return chooser.choose(records, now=0.1).listed.endpoint_id

    assert chosen(reports_pace=False) == "b"
    assert chosen(reports_pace=True) == "a"


def most_at_the_idle_endpoint(*, reports_pace):
    """Four entries get three requests each after the same report of idle endpoints."""
    at_near = 0
    for number in range(4):
        records = [record("near")] + [record(n, hall="far") for n in ("b", "c")]
        for each in records:
            each.record_load(ReportedLoad(0, 0, 6), 0.0)
            if reports_pace:
                each.pace_.record_reported(1.0, 0.0)
        chooser = EndpointChooser(hall=HALL, random=Random(number))
        chooser.entry_count_ = 4
        for _ in range(3):
            found = chooser.choose(records, now=0.1)
            found.in_flight_ += 1
            found.sent_since_report_ += 1
        at_near += records[0].in_flight_
    return at_near


def test_entries_that_see_the_same_idle_endpoint_do_not_overfill_it():
    assert most_at_the_idle_endpoint(reports_pace=True) <= 6
    assert most_at_the_idle_endpoint(reports_pace=False) > 6


def test_own_requests_in_flight_at_the_report_are_not_counted_twice():
    found = record("a")
    found.in_flight_ = 3
    found.record_load(ReportedLoad(5, 0, 6), 0.0)
    found.in_flight_ = 2
    assert found.assumed_work(0.1, senders=1) == 5
    found.in_flight_, found.sent_since_report_ = 4, 2
    assert found.assumed_work(0.1, senders=1) == 7
    assert found.assumed_work(0.1, senders=4) == 13
    assert found.assumed_work(2.0, senders=4) == 4


def test_attempts_wait_by_the_median_only_where_endpoints_report_a_pace():
    records = [record(name) for name in "abc"]
    for each, latency_ms in zip(records, (10.0, 20.0, 50.0), strict=True):
        for _ in range(60):
            each.record_success(latency_ms)
    assert usual_duration_s(records) == pytest.approx(0.010)
    records[0].pace_.record_reported(1.0, 0.0)
    assert usual_duration_s(records) == pytest.approx(0.020)


def prompt(name, tokens=2_000):
    return PromptShape((PromptPart(name, tokens),), tokens)


# What is chosen in `choices` below where no endpoint reports a pace: plain endpoint,
# engine, and endpoint of the next call.
CHOICES_WITHOUT_PACES = (
    "323 242 232 202 020 013 303 020 444 430 222 424 "
    "013 000 414 140 334 123 202 213 343 214 042 034"
)


def loaded_records(random):
    """Return endpoints with load, latencies and slowness, which report no pace."""
    records = []
    for number in range(5):
        found = endpoint_record(f"e{number}", hall=("near", "far")[number % 2], slots=6)
        running = random.randrange(9)
        found.record_load(ReportedLoad(running, max(0, running - 6), 6), 0.0)
        found.in_flight_ = random.randrange(4)
        for _ in range(4):
            found.record_success(random.uniform(10.0, 60.0))
            found.record_slowness(random.uniform(0.8, 3.0), 0.0)
        records.append(found)
    return records


def choices(*, reports_pace):
    random = Random(7)
    plain = EndpointChooser(hall=HALL, random=random)
    engines = EngineChooser(hall=HALL)
    calls = CapacityTable()
    found = []
    for number in range(24):
        records = loaded_records(random)
        if reports_pace:
            records[0].pace_.record_reported(5.0, 0.0)
        shape = prompt(f"p{number % 7}")
        engine = engines.choose(records, shape, places_for_all=number % 2 > 0, now=0.5)
        engines.record_sent(engine, shape, 100_000)
        ranked = calls.rank_endpoints(records, piece_limits(), waiting=5, now=0.5)
        chosen = (plain.choose(records, now=0.5), engine, ranked[0])
        found.append("".join(each.listed.endpoint_id[1:] for each in chosen))
    return " ".join(found)


def test_without_a_reported_pace_choices_are_those_of_the_previous_build():
    assert choices(reports_pace=False) == CHOICES_WITHOUT_PACES


def test_an_endpoint_that_reports_a_slow_pace_gets_less_of_each_kind():
    def counts_of_slow(found):
        return [kind.count("0") for kind in zip(*found.split(), strict=True)]

    before = counts_of_slow(CHOICES_WITHOUT_PACES)
    after = counts_of_slow(choices(reports_pace=True))
    for count_before, count_after in zip(before, after, strict=True):
        assert count_after <= count_before / 2


class Engine:
    """Prefill one prompt at a time at its own pace and that of its host."""

    def __init__(self, number):
        self.record = record(f"e{number:02d}", slots=64)
        self.pace = (0.7, 0.7, 1.7)[number % 3]
        self.noise = 1.0
        self.free_at = 0.0
        self.prompts = 0

    def take(self, tokens, now):
        """Return when a prompt that is sent now is read."""
        begins_at = max(now, self.free_at)
        self.free_at = begins_at + tokens * self.pace * self.noise / 38.0 / 1_000.0
        self.prompts += 1
        return self.free_at


def replay_engines(*, count=18, load=0.9, duration_s=30.0, reports_lasting=False):
    """Return engines after a replay of prompts of 2,000 tokens placed by one entry.

    The noise of each host is 2.5 for 15 % of the engines, drawn anew every 0.6 s.
    Engines report the noise alone, or with how fast they are in general.
    """
    random = Random(3)
    engines = [Engine(number) for number in range(count)]
    by_id = {engine.record.listed.endpoint_id: engine for engine in engines}
    chooser, meter = EngineChooser(hall=HALL), PaceMeter()
    mean_noise = 1.0 + 0.15 * 1.5
    per_s = load * sum(19.0 / (e.pace * mean_noise) for e in engines)
    reading = []
    now = noise_until = 0.0
    while now < duration_s:
        now += random.expovariate(per_s)
        if now >= noise_until:
            noise_until = now + 0.6
            for engine in engines:
                engine.noise = 2.5 if random.random() < 0.15 else 1.0
        for item in sorted((i for i in reading if i[0] <= now), key=lambda i: i[0]):
            reading.remove(item)
            read_at, sent_at, engine, sent = item
            chooser.record_prefilled(sent)
            chooser.record_first_token(sent, (read_at - sent_at) * 1_000.0)
            reported = engine.noise * (engine.pace if reports_lasting else 1.0)
            engine.record.pace_.record_reported(reported, read_at)
            if not sent.waits:
                elapsed_ms = (read_at - sent_at) * 1_000.0
                meter.record_prefill(engine.record, 2_000.0, elapsed_ms, read_at)
        shape = prompt(str(random.random()))
        records = [engine.record for engine in engines]
        found = chooser.choose(records, shape, places_for_all=True, now=now)
        engine = by_id[found.listed.endpoint_id]
        sent = chooser.record_sent(found, shape, 230_000)
        reading.append((engine.take(2_000.0, now), now, engine, sent))
    return engines


@pytest.mark.parametrize("reports_lasting", [False, True])
def test_engines_get_work_by_their_pace(reports_lasting):
    """Engines at 0.7, 0.7 and 1.7 of the usual time at 0.9 of their capacity."""
    engines = replay_engines(reports_lasting=reports_lasting)
    work = [engine.prompts * engine.pace for engine in engines]
    mean = sum(work) / len(work)
    assert max(work) / mean < 1.2
    slow = [engine.prompts for engine in engines if engine.pace > 1.0]
    assert min(slow) > 0.5 * mean / 1.7
