"""Another entry is less late only if it has told so lately."""

import pytest

from leadford.common import EntryId
from leadford.forwarding.overload import TAKES_NO_CALLERS, PeerDelays
from leadford.forwarding.overload._peers import FRESH_S, OWN_TOLD_COUNT

PEER = EntryId("peer")
OWN = 0.6


@pytest.mark.parametrize(
    ("told", "is_less_late"),
    [
        ([], False),
        ([0.05], True),
        ([0.5], False),
        ([0.5, 0.1], True),
        ([TAKES_NO_CALLERS, 0.5], False),
        # A build that tells nothing.
        ([None], True),
    ],
)
def test_a_peer_is_less_late_if_it_says_so(told, is_less_late):
    peers = PeerDelays()
    for number, fraction in enumerate(told):
        peers.record(EntryId(f"peer-{number}"), fraction, 0.0)
    assert peers.is_any_less_late(OWN, 0.0) is is_less_late


def test_what_was_told_long_ago_or_by_a_lost_peer_does_not_count():
    peers = PeerDelays()
    peers.record(PEER, 0.0, 0.0)
    assert peers.is_any_less_late(OWN, FRESH_S)
    assert not peers.is_any_less_late(OWN, FRESH_S + 0.1)
    peers.record(PEER, 0.0, 2.0)
    peers.forget(PEER)
    assert not peers.is_any_less_late(OWN, 2.0)


def test_entries_that_become_late_at_once_do_not_find_each_other_on_time():
    # What a peer told is older than what an entry knows of itself.
    peers = PeerDelays()
    peers.record_own(0.0)
    peers.record(PEER, 0.0, 0.0)
    assert not peers.is_any_less_late(OWN, 0.1)
    for _ in range(OWN_TOLD_COUNT):
        peers.record_own(OWN)
    assert peers.is_any_less_late(OWN, 0.6)
