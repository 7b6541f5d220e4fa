"""Drive a small fleet of real processes through its whole path."""

import json
import urllib.request

import pytest

from leadford_standins.fleet import Fleet, api_key, damier


@pytest.fixture(scope="module")
def fleet():
    with Fleet(spec=damier(entries=1, engines=2, others=1)) as running:
        yield running


def post(fleet, pipeline, body, **headers):
    url = f"{fleet.entry_urls()[0]}/v1/pipelines/{pipeline}/requests"
    headers["Authorization"] = f"Bearer {api_key('club-a')}"
    request = urllib.request.Request(url, json.dumps(body).encode(), headers)
    return urllib.request.urlopen(request, timeout=20)


def test_a_request_runs_through_every_stage(fleet):
    answer = post(fleet, "hint", {"prompt": "e4"})
    assert answer.headers["Leadford-Outcome"] == "complete"
    assert json.load(answer)["result"]["tokens"] == 12


def test_a_stream_ends_with_its_outcome(fleet):
    answer = post(fleet, "hint", {"prompt": "e4"}, Accept="text/event-stream")
    events = answer.read().decode().strip().split("\n\n")
    assert events[-1].startswith("event: result")
    assert '"outcome":"complete"' in events[-1]
