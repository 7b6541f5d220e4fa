"""Heartbeats tell for which part of the time an entry is late for callers."""

import pytest

from leadford.common import EntryId
from leadford.forwarding.overload import TAKES_NO_CALLERS
from leadford.protocol import PROTOCOL_LOAD, EntryHeartbeat
from leadford_server.forwarding.membership.tests.test_levels import Node

PEER = EntryId("peer")


@pytest.mark.parametrize(
    ("told", "counted"),
    [
        ({"late_part": 0.3}, 0.3),
        # An older build.
        ({}, 0.0),
        ({"late_part": 0.3, "is_draining": True}, TAKES_NO_CALLERS),
        ({"is_draining": True}, TAKES_NO_CALLERS),
    ],
)
def test_an_entry_that_stops_counts_as_a_better_one_for_callers(told, counted):
    # Callers were left to an entry of an older build that was about to end.
    node = Node(EntryId("own"))
    node.heartbeats.record(PEER, EntryHeartbeat(1, **told))
    assert node.heartbeats.state.peer_delays_.least(0.0) == counted


def test_an_entry_without_a_configuration_tells_that_it_takes_no_callers():
    node = Node(EntryId("own"))
    assert node.messages_to(PROTOCOL_LOAD)[0].late_part == TAKES_NO_CALLERS
