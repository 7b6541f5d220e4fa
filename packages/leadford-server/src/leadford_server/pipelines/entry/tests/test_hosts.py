"""One host whose state cannot be read costs no other host of the list."""

import json
from random import Random

import pytest

from leadford.common import HostId
from leadford.pipelines.membership import HostTable
from leadford_server.pipelines.entry._hosts import HostPoller


class Log:
    def __init__(self):
        self.lines = []

    def report(self, event, **fields):
        self.lines.append(fields)


def poller():
    return HostPoller(url="", hosts=HostTable(), http=None, random=Random(1), log=Log())


DEEP = "[" * 5_000 + "]" * 5_000


# Such a state hid the whole list; one that is nested deeply ended the polling.
@pytest.mark.parametrize("odd", ['"resting"', "7", "null", "{}", "9" * 6_000, DEEP])
def test_an_odd_state_of_a_host_hides_the_others(odd):
    polled = poller()
    polled._take(f'{{"h1": "leaving", "h2": {odd}, "h3": "live"}}'.encode())
    assert polled.hosts.is_leaving(HostId("h1"))
    assert not polled.hosts.is_leaving(HostId("h3"))
    assert [line["record"] for line in polled.log.lines] == ["h2"]


def test_a_host_whose_state_cannot_be_read_keeps_the_last_one():
    polled = poller()
    polled._take(json.dumps({"h1": "leaving", "h2": "live"}).encode())
    polled._take(json.dumps({"h1": "resting", "h2": "gone"}).encode())
    assert polled.hosts.is_leaving(HostId("h1"))
    assert polled.hosts.is_leaving(HostId("h2"))


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"7", DEEP.encode()])
def test_what_is_no_list_leaves_the_last_one_in_force(body):
    polled = poller()
    polled._take(json.dumps({"h1": "leaving"}).encode())
    polled._take(body)
    assert polled.hosts.is_leaving(HostId("h1"))
    assert len(polled.log.lines) == 1
