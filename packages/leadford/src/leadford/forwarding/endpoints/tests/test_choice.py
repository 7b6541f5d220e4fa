"""Endpoints and engines are chosen by load, failures, cached parts and hall."""

from random import Random

from leadford.common import HallId
from leadford.forwarding.endpoints import (
    EndpointChooser,
    EndpointFailure,
    EngineChooser,
    PromptPart,
    PromptShape,
    ReportedLoad,
)
from leadford_standins.records import endpoint_record

HALL = HallId("near")


def record(name, hall="near", slots=4):
    return endpoint_record(name, hall=hall, slots=slots)


def test_the_near_idle_endpoint_is_chosen():
    chooser = EndpointChooser(hall=HALL, random=Random(1))
    near, far = record("a"), record("b", "far")
    assert chooser.choose([far, near], now=0.0) is near
    near.in_flight_ = 4
    assert chooser.choose([far, near], now=0.0) is far


def test_a_slow_endpoint_gets_less_until_it_answers_as_fast():
    chooser = EndpointChooser(hall=HALL, random=Random(1))
    slow, fast = record("a"), record("b", "far")
    for _ in range(5):
        slow.record_success(100.0)
        fast.record_success(20.0)
    assert chooser.choose([slow, fast], now=0.0) is fast
    for _ in range(30):
        slow.record_success(20.0)
    assert chooser.choose([slow, fast], now=0.0) is slow


def test_suspects_and_excluded_ones_come_last():
    chooser = EndpointChooser(hall=HALL, random=Random(1))
    good, bad = record("a", "far"), record("b")
    bad.record_failure(0.0, EndpointFailure.LOST)
    assert chooser.choose([good, bad], now=0.1) is good
    assert chooser.choose([good, bad], excluded=["a"], now=0.1) is bad
    assert chooser.choose([good, bad], excluded=["a", "b"], now=0.1) is None


def shape(session, tokens=2_000):
    return PromptShape((PromptPart(session, tokens - 100),), tokens)


def test_entries_agree_on_the_engine_of_a_session():
    engines = [record(f"e{number}") for number in range(6)]
    first = EngineChooser(hall=HALL)
    second = EngineChooser(hall=HALL)
    for number in range(50):
        prompt = shape(f"session-{number}")
        chosen = first.choose(engines, prompt, now=0.0)
        assert second.choose(list(reversed(engines)), prompt, now=0.0) is chosen


def test_only_a_fresh_report_shows_that_an_endpoint_is_idle():
    endpoint = record("a")
    assert not endpoint.is_reported_idle(0.0)
    endpoint.record_load(ReportedLoad(1, 0, 4), 0.0)
    assert not endpoint.is_reported_idle(0.1)
    endpoint.record_load(ReportedLoad(0, 0, 4), 0.0)
    assert endpoint.is_reported_idle(0.1)
    assert not endpoint.is_reported_idle(5.0)


def chain(template, session, own):
    parts = [(template, 2_500), (session, 1_500), (own, 400)]
    return PromptShape(tuple(PromptPart(name, tokens) for name, tokens in parts), 4_400)


def test_entries_agree_on_the_engine_of_a_session_whose_prompts_differ():
    engines = [record(f"e{number}") for number in range(9)]
    first = EngineChooser(hall=HALL)
    second = EngineChooser(hall=HALL)
    for number in range(50):
        session = f"session-{number}"
        one = first.choose(engines, chain("t", session, f"own-{number}"), now=0.0)
        two = second.choose(engines, chain("t", session, "another"), now=0.0)
        assert one is two


def test_sessions_of_a_template_spread_over_a_few_engines():
    engines = [record(f"e{number}") for number in range(9)]
    chooser = EngineChooser(hall=HALL)
    chosen = {
        chooser.choose(
            engines, chain("t", f"session-{number}", f"own-{number}"), now=0.0
        ).listed.endpoint_id
        for number in range(60)
    }
    assert len(chosen) == 3


def test_engines_that_choke_are_left_for_others():
    engines = [record(f"e{number}") for number in range(9)]
    chooser = EngineChooser(hall=HALL)
    prompt = chain("t", "session", "own")
    affinity = chooser.choose(engines, prompt, now=0.0)
    affinity.in_flight_ = 2_000
    assert chooser.choose(engines, prompt, now=0.0) is not affinity


def test_a_long_prompt_that_waits_sends_the_next_elsewhere():
    engines = [record("e1"), record("e2")]
    chooser = EngineChooser(hall=HALL)
    prompt = shape("one", 20_000)
    chosen = chooser.choose(engines, prompt, now=0.0)
    sent = chooser.record_sent(chosen, prompt, 100_000)
    other = shape("one", 3_000)
    assert chooser.choose(engines, other, now=0.0) is not chosen
    chooser.record_prefilled(sent)
    assert chooser.pending_by_id_ == {}
    # The parts are cached there now, so the session returns.
    assert chooser.choose(engines, prompt, now=0.0) is chosen


def test_memory_of_kept_parts_is_bounded():
    chooser = EngineChooser(hall=HALL)
    engine = record("e1")
    for number in range(200):
        prompt = shape(f"s{number}", 1_000)
        chooser.record_prefilled(chooser.record_sent(engine, prompt, 10_000))
    assert chooser.cached_by_id_["e1"].total_tokens_ <= 6_000
    chooser.retain(set())
    assert chooser.cached_by_id_ == {}


def test_speed_is_learned_from_long_prompts_only():
    chooser = EngineChooser(hall=HALL)
    before = chooser.tokens_per_ms_.value_
    short = chooser.record_sent(record("e1"), shape("s", 200), 10_000)
    chooser.record_first_token(short, 100.0)
    assert chooser.tokens_per_ms_.value_ == before
    long = chooser.record_sent(record("e1"), shape("l", 4_000), 10_000)
    chooser.record_first_token(long, 100.0)
    assert chooser.tokens_per_ms_.value_ > before
