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
# Seconds after the answer from which the rest is kept, and what may arrive in it.
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


def arrived_at_rest(endpoint):
    """Return what an endpoint got while it rested after its first answer."""
    first_at = endpoint.arrived_[0].at_s
    return [
        arrival
        for arrival in endpoint.arrived_
        if first_at + KNOWN_S < arrival.at_s < first_at + REST_S
    ]


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
        await press(deployment, path, requests=40, each_s=0.05)
        assert resting.arrived_
        assert len(arrived_at_rest(resting)) <= ARRIVALS_MOST

    play(scenario)


def test_while_all_endpoints_rest_callers_are_told_at_once_when_that_ends():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            let_rest(endpoint)
        await press(deployment, "/safe/x", requests=2, each_s=0.05)
        began_at = now()
        (answer,) = await press(deployment, "/safe/x", requests=1, each_s=0.0)
        assert answer.code == 503
        assert now() - began_at < 0.2
        assert REST_S - 0.5 < float(answer.headers["Retry-After"]) <= REST_S
        for endpoint in deployment.plain:
            assert len(endpoint.arrived_) <= ARRIVALS_MOST
            endpoint.next_.clear()
        await asyncio.sleep(float(answer.headers["Retry-After"]))
        (answer,) = await press(deployment, "/safe/x", requests=1, each_s=0.0)
        assert answer.code == 200

    play(scenario)
