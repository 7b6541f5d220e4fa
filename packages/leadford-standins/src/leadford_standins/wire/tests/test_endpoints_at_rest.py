"""An endpoint that asks an entry for rest gets nothing from it until that is over.

Engines that were short of room turned entries away with 503 and Retry-After, 3 s. One
entry sent the same engine 8 more requests within these 3 s, another one 3, all of them
turned away again; their callers got 503. The time was read and obeyed by no rule: a
refusal is no failure, so the engine stayed a candidate for the next request, and an
idle one at that.
"""

import asyncio

import pytest

from leadford_standins.wire import Misbehaviour, play

REST_S = 2.0
LONG_REST_S = 30.0
# Seconds after the entry knows of a rest from which it is kept, and what may arrive.
KNOWN_S = 0.5
ARRIVALS_MOST = 2


def now():
    return asyncio.get_running_loop().time()


def let_rest(endpoint, rest_s=REST_S):
    """Let an endpoint turn everything away and ask for rest."""
    endpoint.next_.extend([Misbehaviour.REFUSE] * 1_000)
    endpoint.says_["Retry-After"] = str(rest_s)


async def press(deployment, path, *, requests, each_s):
    """Send requests that come whether others are answered or not."""
    sent = []
    for number in range(requests):
        answer = deployment.send(path, request_id=f"p{now():.4f}{number}")
        sent.append(asyncio.ensure_future(answer))
        await asyncio.sleep(each_s)
    return await asyncio.gather(*sent)


async def until_rest(deployment, path, endpoints):
    """Send requests until endpoints have asked for rest; return when it is over."""
    rests = deployment.entries_[0].state_.endpoint_retry_after_
    while not all(rests.wait_s(e.endpoint_id, now()) > 0.0 for e in endpoints):
        await press(deployment, path, requests=2, each_s=0.05)
    return min(rests.until_by_id_[e.endpoint_id] for e in endpoints)


@pytest.mark.parametrize(
    "name, path", [("plain", "/safe/x"), ("engine", "/once/x"), ("stage", "/once/x")]
)
def test_an_endpoint_that_asks_for_rest_gets_it(name, path):
    async def scenario(deployment):
        groups = {
            "plain": deployment.plain,
            "engine": deployment.engines,
            "stage": deployment.stage,
        }
        resting = groups[name][0]
        let_rest(resting)
        over_at = await until_rest(deployment, path, [resting])
        known_at = now()
        await press(deployment, path, requests=40, each_s=0.05)
        arrived = [
            arrival
            for arrival in resting.arrived_
            if known_at + KNOWN_S < arrival.at_s < over_at
        ]
        assert len(arrived) <= ARRIVALS_MOST

    play(scenario)


def test_while_all_endpoints_rest_callers_are_told_when_that_ends():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            let_rest(endpoint, LONG_REST_S)
        await until_rest(deployment, "/safe/x", deployment.plain)
        arrivals = sum(endpoint.arrivals_ for endpoint in deployment.plain)
        (answer,) = await press(deployment, "/safe/x", requests=1, each_s=0.0)
        assert answer.code == 503
        # The request itself could wait for three seconds only.
        assert 3.0 < float(answer.headers["Retry-After"]) <= LONG_REST_S
        assert sum(endpoint.arrivals_ for endpoint in deployment.plain) == arrivals

    play(scenario)


def test_endpoints_are_used_again_once_their_rest_is_over():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            let_rest(endpoint, 0.5)
        await until_rest(deployment, "/safe/x", deployment.plain)
        for endpoint in deployment.plain:
            endpoint.next_.clear()
        answer = await deployment.send_with_retries("/safe/x", request_id="again")
        assert answer.code == 200

    play(scenario)
