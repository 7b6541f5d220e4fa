"""In no order of events is a request that was read left unanswered."""

import asyncio
import logging
from random import Random

import pytest

from leadford.forwarding.retries import _limits
from leadford_standins.wire import Misbehaviour, event_ids, runs_of
from leadford_standins.wire.tests.callers import open_connection, request_bytes
from leadford_standins.wire.tests.permuted_loops import run_permuted

SEEDS = range(3)
PLAIN_ROUTES = ("safe", "unsafe")
STREAM_ROUTES = ("resumed", "once")
ROUTES = (*PLAIN_ROUTES, *STREAM_ROUTES)
REQUESTS = 24
# When requests are sent and events begin, in seconds after the start.
SENT_S = 0.5
DEADLINE_MS = 4_000
STREAM_SILENCE_S = 0.15
SILENCE_S = (0.3, 0.8)
SILENCE_GAP_S = (0.0, 0.2)
# Requests from which an entry learns how long answers usually take.
TAUGHT = 12
# What the stages of a stream are asked for.
STAGE_HEADERS = (
    "X-Pieces: 2,1",
    "X-Piece-Key: pk-left",
    "X-Model: m",
    "X-Token-Counts: 100,10",
    "X-Prefix-Hash: aa:50,bb:20",
)
STREAM_EVENTS = [1, 2, 3, 4, 5]
# What an incomplete answer looks like to the client.
CUT = 599
# The failure of an endpoint, which is passed on.
FAILED = 500
REFUSED = 503
ANSWER_CODES = (200, 502, 503, 504)
M = Misbehaviour
BREAK_OFFS = (M.LOSE_ANSWER, M.REFUSE, M.FAIL, M.REPEAT_REFUSAL)
STREAM_BREAK_OFFS = (*BREAK_OFFS, M.GONE, M.CUT)
STAGE_BREAK_OFFS = (M.LOSE_ANSWER, M.REFUSE, M.FAIL, M.GONE, M.REPEAT_ANSWER)


@pytest.fixture(autouse=True)
def whole_log(caplog):
    """Keep all events of a failure, which may not come again with its seed."""
    caplog.set_level(logging.INFO, logger="absl")


@pytest.fixture(autouse=True)
def short_limit(monkeypatch):
    """Let streams go on elsewhere after a silence of this test."""
    monkeypatch.setattr(_limits, "STREAM_SILENCE_MIN_S", STREAM_SILENCE_S)


async def send_all(deployment, random):
    """Send requests of every kind; return the answer of each by its route and id.

    One caller in six leaves early, and has no answer.
    """
    for endpoint in (*deployment.plain, *deployment.engines):
        endpoint.work_s = random.choice((0.0, 0.005, 0.05))
    for engine in deployment.engines:
        engine.pause_s = random.choice((0.005, 0.1))
    answers = await asyncio.gather(
        *(send_one(deployment, random, number) for number in range(REQUESTS))
    )
    for entry in deployment.entries_:
        await deployment.until(lambda e=entry: not e.caller_server_.exchanges_)
    return [answer for answer in answers if answer is not None]


async def send_one(deployment, random, number):
    route, request_id = ROUTES[number % len(ROUTES)], f"r{number}"
    # Requests with the same path are the same work, which may be quarantined.
    path = f"/{route}/{request_id}"
    leaves_after_s = random.uniform(0.0, 0.2)
    await asyncio.sleep(random.uniform(0.0, SENT_S))
    if number % 6 == 5:
        await leave_early(deployment, path, request_id, leaves_after_s)
        return None
    answer = await deployment.send(path, request_id=request_id, deadline_ms=DEADLINE_MS)
    return route, request_id, answer


async def leave_early(deployment, path, request_id, after_s):
    """Send a request, and close its connection after a time."""
    _, writer = await open_connection(deployment)
    writer.write(request_bytes(request_id, path, headers=STAGE_HEADERS))
    await asyncio.sleep(after_s)
    writer.close()


def check_whole(route, answer):
    """Check that an answer has what its endpoint sent for it."""
    assert answer.code == 200, (route, answer.code)
    if route in STREAM_ROUTES:
        assert event_ids(answer.body) == STREAM_EVENTS


def check_answered(route, answer):
    """Check that there is a whole answer, if only that the request failed."""
    assert answer.code in ANSWER_CODES, (route, answer.code)
    if answer.code == 200:
        check_whole(route, answer)


async def change_config(deployment, random, changes=10):
    """Write versions that add routes, remove them, and change what services bear."""
    routes = deployment.config["routes"]
    first_count = len(routes)
    for number in range(changes):
        name = f"added-{number}"
        routes.append({**routes[0], "name": name, "pathPrefix": f"/{name}/"})
        if random.random() < 0.3:
            del routes[first_count:]
        service = random.choice(deployment.config["services"])
        service["maxConns"] = random.choice((16, 64))
        deployment.config["version"] += 1
        deployment.put_config()
        for entry in deployment.entries_:
            if random.random() < 0.3:
                entry.reload_settings()
        await asyncio.sleep(random.uniform(0.0, 2.0 * SENT_S / changes))


async def silence_endpoints(deployment, random):
    """Let endpoints of each service fall silent, one or all, in a random order."""
    groups = [deployment.plain, deployment.stage, deployment.engines]
    for group in random.sample(groups * 2, 6):
        for endpoint in random.choice(([random.choice(group)], group)):
            endpoint.fall_silent(random.uniform(*SILENCE_S))
        await asyncio.sleep(random.uniform(*SILENCE_GAP_S))


def draw_budgets(deployment, random):
    """Leave the retry budget as it is, small, or spent."""
    slack = random.choice((None, 1.0, -1_000.0, -1_000.0))
    if slack is None:
        return
    for entry in deployment.entries_:
        for service in ("plain", "engine"):
            entry.state_.retry_budgets_.budget(service).slack = slack


@pytest.mark.parametrize("seed", SEEDS)
def test_changes_of_the_configuration_leave_no_request_unanswered(seed):
    random = Random(seed)

    async def scenario(deployment):
        changing = asyncio.ensure_future(change_config(deployment, random))
        for route, _, answer in await send_all(deployment, random):
            check_whole(route, answer)
        await changing

    run_permuted(scenario, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_silent_endpoints_leave_no_request_unanswered(seed):
    random = Random(seed)

    async def scenario(deployment):
        for number in range(TAUGHT):
            await deployment.send("/safe/x", request_id=f"t{number}")
        draw_budgets(deployment, random)
        silencing = asyncio.ensure_future(silence_endpoints(deployment, random))
        changing = asyncio.ensure_future(change_config(deployment, random, changes=3))
        for route, request_id, answer in await send_all(deployment, random):
            is_stream = route in STREAM_ROUTES
            if is_stream and answer.code == REFUSED:
                # Stages that are silent may be too late for its latency target.
                assert not runs_of(deployment.engines, request_id)
                continue
            check_whole(route, answer)
        await asyncio.gather(silencing, changing)

    run_permuted(scenario, seed, endpoints=3)


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_come_and_go_leave_no_request_unanswered(seed):
    """The other entries schedule calls of stages, and end with what they hold."""
    random = Random(seed)

    async def come_and_go(deployment):
        for _ in range(2):
            await asyncio.sleep(random.uniform(0.0, SENT_S))
            number = random.choice((1, 2))
            event = random.choice(("restart", "lose links", "start"))
            if event == "restart":
                # Its ports are free only a few turns after it has stopped.
                deployment.entries_[number].stop()
                await asyncio.sleep(random.uniform(0.05, 0.2))
                await deployment.restart_entry(number)
            if event == "lose links":
                deployment.entries_[number].links_.stop()
            if event == "start":
                await deployment.start_entry(len(deployment.entries_), wait=False)

    async def scenario(deployment):
        await deployment.until_linked()
        changing = asyncio.ensure_future(come_and_go(deployment))
        for route, _, answer in await send_all(deployment, random):
            check_answered(route, answer)
            if route in PLAIN_ROUTES:
                assert answer.code == 200
        await changing

    run_permuted(scenario, seed, entries=3)


@pytest.mark.parametrize("seed", SEEDS)
def test_retries_leave_no_request_unanswered(seed):
    """An answer may end early only where an endpoint broke it off."""
    random = Random(seed)

    async def scenario(deployment):
        draw_budgets(deployment, random)
        for endpoint in deployment.plain:
            endpoint.planned_misbehaviours_ += random.choices(BREAK_OFFS, k=4)
        for engine in deployment.engines:
            engine.planned_misbehaviours_ += random.choices(STREAM_BREAK_OFFS, k=4)
        for route, request_id, answer in await send_all(deployment, random):
            broken_off = M.CUT in (
                endpoint.misbehaved_by_request_.get(request_id)
                for endpoint in deployment.engines
            )
            if answer.code == FAILED or (answer.code == CUT and broken_off):
                continue
            check_answered(route, answer)

    run_permuted(scenario, seed, endpoints=3)


@pytest.mark.parametrize("seed", SEEDS)
def test_calls_of_stages_that_fail_leave_no_request_unanswered(seed):
    random = Random(seed)

    async def scenario(deployment):
        deployment.crash_stages_on_key("pk-r2", restart_delay_s=0.2)
        for endpoint in deployment.stage:
            endpoint.planned_misbehaviours_ += random.choices(STAGE_BREAK_OFFS, k=3)
            endpoint.call_s = random.choice((0.005, 0.02, 0.06))
        silencing = asyncio.ensure_future(silence_endpoints(deployment, random))
        for route, _, answer in await send_all(deployment, random):
            check_answered(route, answer)
            if route in PLAIN_ROUTES:
                assert answer.code == 200
        await silencing

    run_permuted(scenario, seed, entries=2, endpoints=3)
