"""Endpoints that send bytes without end which are no answer harm no other request."""

import asyncio

import pytest

from leadford.forwarding.retries import _limits
from leadford_standins.wire import Misbehaviour, event_ids, run_scenario

STREAMS = 8
DEADLINE_MS = 3_500
# Time in which each stream must be whole, in spite of an attempt in vain.
MAX_STREAM_S = 2.0

FULL_SPEED = [
    Misbehaviour.ENDLESS_LINE_ENDS,
    Misbehaviour.ENDLESS_COMMENTS,
    Misbehaviour.ENDLESS_OLD_EVENTS,
    Misbehaviour.ENDLESS_LINE,
    Misbehaviour.ENDLESS_TINY_CHUNKS,
    Misbehaviour.ENDLESS_UNFRAMED,
    Misbehaviour.ENDLESS_CHUNK_EXTENSION,
    Misbehaviour.ENDLESS_TRAILERS,
    Misbehaviour.ENDLESS_HEAD,
    Misbehaviour.ENDLESS_INTERIM_HEADS,
]
TRICKLES = [
    Misbehaviour.TRICKLED_COMMENTS,
    Misbehaviour.TRICKLED_LETTERS,
    Misbehaviour.TRICKLED_OLD_EVENTS,
    Misbehaviour.TRICKLED_ERROR,
]


@pytest.fixture(autouse=True)
def short_limit(monkeypatch):
    """Let streams wait for less than usual."""
    monkeypatch.setattr(_limits, "STREAM_SILENCE_MIN_S", 0.3)


async def configure(deployment):
    """Let engines have little time for the first event."""
    deployment.config["routes"][2]["goalMs"] = 400
    deployment.config["version"] = 2
    deployment.put_config()
    (entry,) = deployment.entries_
    await deployment.until(lambda: entry.state_.config_version() == 2)
    return entry


async def send_stream(deployment, number):
    """Return the answer to a stream with a prompt of its own, and how long it took."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    answer = await deployment.send(
        "/resumed/x",
        request_id=f"r{number}",
        deadline_ms=DEADLINE_MS,
        headers={"X-Prefix-Hash": f"a{number}:50,b{number}:20"},
    )
    return answer, loop.time() - began_at


@pytest.mark.parametrize("form", [*FULL_SPEED, *TRICKLES], ids=lambda form: form.value)
def test_streams_go_on_elsewhere_when_an_engine_sends_bytes_without_end(form):
    async def scenario(deployment):
        entry = await configure(deployment)
        bad = deployment.engines[0]
        record = entry.state_.roster_.record(bad.endpoint_id)
        bad.usual_misbehaviour = form
        sent = [
            asyncio.ensure_future(send_stream(deployment, number))
            for number in range(STREAMS)
        ]
        await deployment.until(lambda: record.is_suspect(entry.state_.now()))
        for answer, took_s in await asyncio.gather(*sent):
            assert answer.code == 200, (answer.code, took_s)
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
            assert took_s < MAX_STREAM_S
        assert bad.closed_endless_ == len(bad.runs_) > 0

    run_scenario(scenario, endpoints=3)


def test_a_request_that_got_bytes_without_end_is_served_once_endpoints_are_sound():
    # It counted as one that crashes endpoints, and was refused for minutes.
    async def scenario(deployment):
        for endpoint in deployment.plain:
            endpoint.usual_misbehaviour = Misbehaviour.ENDLESS_INTERIM_HEADS
        for number in range(6):
            await deployment.send("/safe/x", request_id=f"r{number}")
        for endpoint in deployment.plain:
            endpoint.usual_misbehaviour = Misbehaviour.NONE
        answer = await deployment.send("/safe/x", request_id="sound")
        assert answer.code == 200

    run_scenario(scenario, endpoints=3)


BODIES = [
    Misbehaviour.ENDLESS_LINE,
    Misbehaviour.ENDLESS_UNFRAMED,
    Misbehaviour.ENDLESS_CHUNK_EXTENSION,
    Misbehaviour.ENDLESS_REFUSAL,
]


async def send_safe(deployment, prefix, count):
    """Return the answers to safe requests that are sent at once."""
    return await asyncio.gather(
        *(
            deployment.send(
                "/safe/x",
                request_id=f"{prefix}{number}",
                body=f"{prefix}{number}".encode(),
                deadline_ms=DEADLINE_MS,
            )
            for number in range(count)
        )
    )


@pytest.mark.parametrize("form", BODIES, ids=lambda form: form.value)
def test_an_endpoint_whose_bodies_never_end_gets_no_more_requests_for_a_while(form):
    # Nothing was recorded of it, so requests went to it again and again.
    async def scenario(deployment):
        (entry,) = deployment.entries_
        bad = deployment.plain[0]
        record = entry.state_.roster_.record(bad.endpoint_id)
        bad.usual_misbehaviour = form
        answers = await send_safe(deployment, "a", 6)
        assert [answer.code for answer in answers] == [200] * 6
        assert record.is_suspect(entry.state_.now())
        arrivals = bad.arrivals_
        assert arrivals > 0
        answers = await send_safe(deployment, "b", 6)
        assert [answer.code for answer in answers] == [200] * 6
        assert bad.arrivals_ == arrivals
        bad.usual_misbehaviour = Misbehaviour.NONE
        await deployment.until(
            lambda: not record.is_suspect(entry.state_.now()), timeout_s=7.0
        )

    run_scenario(scenario, endpoints=3)


def test_pieces_are_made_elsewhere_when_a_stage_sends_a_body_without_end():
    async def scenario(deployment):
        (entry,) = deployment.entries_
        bad = deployment.stage[0]
        record = entry.state_.roster_.record(bad.endpoint_id)
        bad.usual_misbehaviour = Misbehaviour.ENDLESS_LINE
        sent = [
            asyncio.ensure_future(send_stream(deployment, number))
            for number in range(STREAMS)
        ]
        await deployment.until(lambda: record.is_suspect(entry.state_.now()))
        for answer, _ in await asyncio.gather(*sent):
            assert event_ids(answer.body) == [1, 2, 3, 4, 5]
        assert bad.closed_endless_ > 0

    run_scenario(scenario, endpoints=3)
