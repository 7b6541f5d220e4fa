"""Links without news get fewer heartbeats, and their entries still count as alive."""

import pytest

from leadford.common import EntryId
from leadford.forwarding.membership import HeartbeatNews, PeerLiveness, is_due

HEARTBEAT_S = 0.2
# Longest delay of a heartbeat by its random spread and a late event loop.
MAX_DELAY_S = 0.1


def beats(*, is_for_all_peers=False, is_scheduler=False, peer_skips_heartbeats=True):
    return [
        is_due(
            HeartbeatNews(number, is_for_all_peers),
            is_scheduler=is_scheduler,
            peer_skips_heartbeats=peer_skips_heartbeats,
        )
        for number in range(10)
    ]


def test_a_link_on_which_nothing_is_told_gets_every_second_heartbeat():
    assert beats() == [True, False] * 5


@pytest.mark.parametrize(
    "case",
    [
        {"is_for_all_peers": True},
        {"is_scheduler": True},
        {"peer_skips_heartbeats": False},
    ],
)
def test_whoever_has_to_hear_soon_gets_every_heartbeat(case):
    assert all(beats(**case))


def test_an_entry_that_is_heard_every_second_time_stays_alive():
    peer = EntryId("peer")
    heard = PeerLiveness()
    now = 0.0
    for due in beats():
        if due:
            heard.record_heard(peer, now)
        now += HEARTBEAT_S + MAX_DELAY_S
        heard.record_running(now)
        assert heard.is_live(peer, now)


def test_three_hundred_entries_send_less_than_two_thirds_of_the_heartbeats():
    links, schedulers = 12, 3
    sent = schedulers * sum(beats(is_scheduler=True))
    sent += (links - schedulers) * sum(beats())
    assert sent <= links * 10 * 2 / 3
