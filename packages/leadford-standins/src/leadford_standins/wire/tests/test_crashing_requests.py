"""A request that crashes each endpoint that runs it is soon sent to no endpoint.

Callers repeat such a request through any entry. Without a record of the crashes, each
repetition counts as a new request: the maximum of attempts applies to one request, and
the retry budget belongs to one entry and one service, so other requests use it up. One
repeated request, with the same fingerprint each time, crashed 27 endpoints and broke
off the requests that ran beside it, each of them once or twice.
"""

import asyncio

import pytest

from leadford_standins.wire import event_ids, run_scenario

CRASHING_BODY = b"ends whoever runs it"
# Endpoints that may crash before all entries know of the request.
MAX_CRASHES = 6
COPY_COUNT = 30
COPY_INTERVAL_S = 0.1
RESTART_DELAY_S = 0.8


async def send_copies(deployment, path, copy_count=COPY_COUNT):
    """Send copies of a request, each one through the next entry."""

    async def send(number):
        return await deployment.send(
            path,
            request_id=f"copy-{number}",
            entry=number % deployment.entries,
            body=CRASHING_BODY,
            headers={"X-Piece-Key": "pk-ending"},
        )

    tasks = []
    for number in range(copy_count):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(COPY_INTERVAL_S)
    return await asyncio.gather(*tasks)


async def send_harmless_request(deployment, number):
    """Send a request that crashes no endpoint; retry it at once if it fails."""
    await asyncio.sleep(number * 0.05)
    for attempt in range(4):
        answer = await deployment.send(
            "/resumed/x",
            request_id=f"innocent-{number}.{attempt}",
            entry=number % 3,
            body=f"innocent {number}".encode(),
        )
        if answer.code == 200:
            break
    return answer


@pytest.mark.parametrize("path", ["/resumed/x", "/once/x", "/safe/x", "/unsafe/x"])
@pytest.mark.parametrize("entries", [3, 9])
def test_a_request_that_ends_its_endpoints_is_soon_sent_to_none(path, entries):
    async def scenario(deployment):
        deployment.crash_on_body(CRASHING_BODY, restart_delay_s=RESTART_DELAY_S)
        answers = await send_copies(deployment, path, copy_count=10 * entries)
        assert 3 <= len(deployment.crashed_endpoints_) <= MAX_CRASHES
        # 503 says that a request did not run; one that crashed an endpoint did.
        assert answers[-1].code == 503
        assert {answer.code for answer in answers} <= {502, 503, 599}
        ran = [
            run for crashed in deployment.crashed_endpoints_ for run in crashed.runs_
        ]
        ran_ids = {run.request_id for run in ran if run.body == CRASHING_BODY}
        refused = {f"copy-{n}" for n, a in enumerate(answers) if a.code == 503}
        assert not ran_ids & refused

    run_scenario(scenario, entries=entries, endpoints=6)


async def make_stages_contended(deployment):
    """Give two routes that share stages priorities that contradict their targets."""
    for route in deployment.config["routes"]:
        if route["name"] == "once":
            route |= {"priority": 2, "goalMs": 2_000}
    deployment.config["version"] = 2
    deployment.put_config()
    await deployment.until(
        lambda: all(e.state_.is_contended("stage") for e in deployment.entries_)
    )


@pytest.mark.parametrize("is_contended", [False, True])
def test_a_request_whose_pieces_end_their_endpoints_is_soon_sent_to_none(is_contended):
    async def scenario(deployment):
        await deployment.until_linked()
        if is_contended:
            await make_stages_contended(deployment)
        deployment.crash_stages_on_key("pk-ending", restart_delay_s=RESTART_DELAY_S)

        tasks = [
            asyncio.ensure_future(send_harmless_request(deployment, number))
            for number in range(60)
        ]
        answers = await send_copies(deployment, "/resumed/x")
        assert 3 <= len(deployment.crashed_endpoints_) <= MAX_CRASHES
        assert answers[-1].code == 503
        served = await asyncio.gather(*tasks)
        assert [answer.code for answer in served] == [200] * 60

    run_scenario(scenario, entries=3, endpoints=6)


def test_requests_that_ran_beside_one_that_ends_endpoints_are_served():
    async def scenario(deployment):
        for engine in deployment.engines:
            engine.pause_s = 0.1
        deployment.crash_on_body(CRASHING_BODY, restart_delay_s=RESTART_DELAY_S)

        tasks = [
            asyncio.ensure_future(send_harmless_request(deployment, number))
            for number in range(60)
        ]
        await send_copies(deployment, "/resumed/x")
        answers = await asyncio.gather(*tasks)
        assert [answer.code for answer in answers] == [200] * 60
        assert all(event_ids(answer.body) == [1, 2, 3, 4, 5] for answer in answers)
        assert len(deployment.crashed_endpoints_) <= MAX_CRASHES

    run_scenario(scenario, entries=3, endpoints=6)


def test_an_entry_that_starts_later_knows_which_request_ends_endpoints():
    async def scenario(deployment):
        deployment.crash_on_body(CRASHING_BODY, restart_delay_s=RESTART_DELAY_S)
        await send_copies(deployment, "/resumed/x", copy_count=20)
        crash_count = len(deployment.crashed_endpoints_)
        for number in range(deployment.entries):
            # A restarted entry knows only what the running entries tell it.
            entry = await deployment.restart_entry(number)
            await deployment.until(lambda entry=entry: entry.is_ready)
            await asyncio.sleep(1.0)
        await send_copies(deployment, "/resumed/x", copy_count=6)
        assert crash_count == len(deployment.crashed_endpoints_) <= MAX_CRASHES

    run_scenario(scenario, entries=3, endpoints=6)


def test_what_only_looks_like_a_request_that_ends_endpoints_is_served():
    async def scenario(deployment):
        deployment.crash_on_body(CRASHING_BODY, restart_delay_s=RESTART_DELAY_S)
        await send_copies(deployment, "/safe/x")
        answer = await deployment.send(
            "/safe/x", request_id="other", body=CRASHING_BODY + b" not"
        )
        assert answer.code == 200

    run_scenario(scenario, entries=3, endpoints=6)
