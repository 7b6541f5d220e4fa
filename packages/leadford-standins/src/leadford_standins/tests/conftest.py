"""Share one fleet of real processes between the tests of failures."""

import http.client
import json
import threading
import time
from urllib.parse import urlsplit

import pytest

from leadford_standins.fleet import Fleet, api_key, damier

WAIT_S = 40.0
BODY = {"prompt": "e4"}
SSE = {"Accept": "text/event-stream"}
# Endpoints that make moves, and those that generate text.
LIVE = ("live-play-1", "live-play-2")
ENGINES = ("engines-1", "engines-2")


class Client:
    """Call a fleet as callers do."""

    def __init__(self, fleet):
        self.fleet = fleet

    def open(self, method, path, body=None, entry=0, **headers):
        address = urlsplit(self.fleet.entry_urls()[entry])
        connection = http.client.HTTPConnection(
            address.hostname, address.port, timeout=20
        )
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        headers.setdefault("Authorization", f"Bearer {api_key('club-a')}")
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        connection.request(method, path, data, headers)
        return connection.getresponse()

    def post(self, pipeline, body=None, **terms):
        body = BODY if body is None else body
        return self.open("POST", f"/v1/pipelines/{pipeline}/requests", body, **terms)

    def together(self, calls):
        """Make calls at the same moment and return (headers, document) of each."""
        answers = [None] * len(calls)

        def run(index, call):
            answer = call()
            answers[index] = (answer.headers, json.load(answer))

        threads = [threading.Thread(target=run, args=pair) for pair in enumerate(calls)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def executions(self, request_id, endpoints):
        """Count the executions that stand-ins performed for a request."""
        count = 0
        for name in endpoints:
            records = self.records(name)
            count += sum(record["request_id"] == request_id for record in records)
        return count

    def records(self, name):
        url = urlsplit(self.fleet.endpoint_url(name))
        connection = http.client.HTTPConnection(url.hostname, url.port, timeout=5)
        connection.request("GET", "/_records")
        return json.load(connection.getresponse())["records"]


def set_endpoint_faults(fleet, names, **faults):
    """Put faults in force at some endpoints; those left out end."""
    for name in names:
        fleet.set_faults(fleet.endpoint_url(name), **faults)


def wait_until(check):
    """Wait until a condition holds; fail when it never does."""
    limit = time.monotonic() + WAIT_S
    while time.monotonic() < limit:
        if check():
            return
        time.sleep(0.02)
    raise AssertionError("the condition never held")


def read_events(answer, count=None):
    """Return (event, id, data) of a stream, or of its first events."""
    events = []
    fields = {}
    while count is None or len(events) < count:
        line = answer.readline().decode()
        if not line:
            break
        if line.strip():
            name, _, value = line.strip().partition(": ")
            fields[name] = value
            continue
        data = json.loads(fields["data"])
        events.append((fields["event"], fields["id"], data))
        fields = {}
    return events


@pytest.fixture(scope="module")
def fleet():
    with Fleet(spec=damier(entries=3, engines=2, others=2)) as running:
        yield running


@pytest.fixture
def client(fleet):
    yield Client(fleet)
    set_endpoint_faults(fleet, fleet.agent_names)
    fleet.set_faults(fleet.store_url)
    for name, process in fleet.processes_by_name_.items():
        fleet.thaw(name)
        if process.poll() is not None:
            fleet.restart(name)
    fleet.wait_connected()
