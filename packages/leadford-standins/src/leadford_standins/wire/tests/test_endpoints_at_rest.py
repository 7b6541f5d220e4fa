"""An endpoint that sends Retry-After gets no request from an entry until that time.

Engines that are short of memory refuse requests with 503 and a Retry-After of 3 s. A
refusal is not a failure, so without a rule for Retry-After such an engine stays a
candidate for the next request, and counts as idle. Two entries that ignored the header
sent one engine 8 and 3 more requests within these 3 s; all were refused, and their
callers got 503.
"""

import asyncio

import pytest

from leadford_standins.wire import Misbehaviour, run_scenario

RETRY_AFTER_S = 2.0
LONG_RETRY_AFTER_S = 30.0
# An entry complies with a Retry-After this long after it knows of it; at most
# `MAX_ARRIVALS` requests may arrive later all the same.
ENFORCED_AFTER_S = 0.5
MAX_ARRIVALS = 2


def now():
    return asyncio.get_running_loop().time()


def refuse_with_retry_after(endpoint, retry_after_s=RETRY_AFTER_S):
    """Make an endpoint refuse all requests and send Retry-After."""
    endpoint.planned_misbehaviours_.extend([Misbehaviour.REFUSE] * 1_000)
    endpoint.extra_headers_["Retry-After"] = str(retry_after_s)


async def send_load(deployment, path, *, request_count, interval_s):
    """Send requests at a fixed interval, without waiting for answers between them."""
    tasks = []
    for number in range(request_count):
        answer = deployment.send(path, request_id=f"p{now():.4f}{number}")
        tasks.append(asyncio.ensure_future(answer))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


async def send_until_retry_after_known(deployment, path, endpoints):
    """Send requests until the entry knows the Retry-After of each of the endpoints.

    Return the earliest time at which one of them ends.
    """
    retry_after = deployment.entries_[0].state_.endpoint_retry_after_
    while not all(retry_after.wait_s(e.endpoint_id, now()) > 0.0 for e in endpoints):
        await send_load(deployment, path, request_count=2, interval_s=0.05)
    return min(retry_after.until_by_id_[e.endpoint_id] for e in endpoints)


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
        refusing = groups[name][0]
        refuse_with_retry_after(refusing)
        ends_at = await send_until_retry_after_known(deployment, path, [refusing])
        known_at = now()
        await send_load(deployment, path, request_count=40, interval_s=0.05)
        arrived = [
            arrival
            for arrival in refusing.arrived_
            if known_at + ENFORCED_AFTER_S < arrival.at_s < ends_at
        ]
        assert len(arrived) <= MAX_ARRIVALS

    run_scenario(scenario)


def test_while_all_endpoints_rest_callers_are_told_when_that_ends():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            refuse_with_retry_after(endpoint, LONG_RETRY_AFTER_S)
        await send_until_retry_after_known(deployment, "/safe/x", deployment.plain)
        arrivals = sum(endpoint.arrivals_ for endpoint in deployment.plain)
        (answer,) = await send_load(
            deployment, "/safe/x", request_count=1, interval_s=0.0
        )
        assert answer.code == 503
        # The request itself can wait for its deadline of 3 s only.
        assert 3.0 < float(answer.headers["Retry-After"]) <= LONG_RETRY_AFTER_S
        assert sum(endpoint.arrivals_ for endpoint in deployment.plain) == arrivals

    run_scenario(scenario)


def test_endpoints_are_used_again_once_their_rest_is_over():
    async def scenario(deployment):
        for endpoint in deployment.plain:
            refuse_with_retry_after(endpoint, 0.5)
        await send_until_retry_after_known(deployment, "/safe/x", deployment.plain)
        for endpoint in deployment.plain:
            endpoint.planned_misbehaviours_.clear()
        answer = await deployment.send_with_retries("/safe/x", request_id="again")
        assert answer.code == 200

    run_scenario(scenario)
