"""Test the backlog by level: sums of schedulers, older reports, and their expiry."""

from leadford.common import EntryId
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey, BacklogSum
from leadford.forwarding.batching._backlog_reports import REPORT_MAX_AGE_S
from leadford.forwarding.routes import ServiceId

SERVICE = ServiceId("stage")
PEER = EntryId("peer")


def pieces_before(backlog, level, now, fraction=0.5):
    return backlog.pieces_before(SERVICE, level, less_urgent_fraction=fraction, now=now)


def own_backlog(**pieces_by_level):
    backlog = AdmittedBacklog()
    for level, pieces in pieces_by_level.items():
        backlog.add(BacklogKey(SERVICE, int(level[1:])), pieces)
    return backlog


def test_more_urgent_pieces_go_before_and_a_part_of_the_less_urgent_ones():
    backlog = own_backlog(l0=4, l1=10, l3=20)
    assert pieces_before(backlog, 0, 0.0) == 4 + 30 * 0.5
    assert pieces_before(backlog, 1, 0.0) == 14 + 20 * 0.5
    assert pieces_before(backlog, 3, 0.0) == 34


def test_levels_replace_the_two_of_the_heartbeat_that_they_follow():
    backlog = AdmittedBacklog()
    two_levels = {BacklogKey(SERVICE, 0): 4, BacklogKey(SERVICE, 1): 30}
    backlog.record_report(PEER, two_levels, 0.0)
    assert pieces_before(backlog, 1, 0.1) == 34
    backlog.record_levels(PEER, SERVICE, {0: 4, 1: 10, 3: 20})
    assert pieces_before(backlog, 1, 0.1) == 14 + 20 * 0.5
    # A later heartbeat of an older build: two levels come back.
    backlog.record_report(PEER, two_levels, 0.2)
    assert pieces_before(backlog, 1, 0.3) == 34


def test_levels_without_a_heartbeat_are_left_out():
    backlog = AdmittedBacklog()
    backlog.record_levels(PEER, SERVICE, {0: 4})
    assert pieces_before(backlog, 0, 0.0) == 0


def test_the_levels_of_a_scheduler_count_until_they_expire_then_own_ones():
    backlog = own_backlog(l2=3)
    backlog.own_report()
    backlog.record_sum(SERVICE, BacklogSum(28, {0: 5, 2: 40}, is_by_level=True), 0.0)
    backlog.add(BacklogKey(SERVICE, 2), 2)
    assert pieces_before(backlog, 2, 0.1) == 5 + 40 + 2
    assert pieces_before(backlog, 2, REPORT_MAX_AGE_S) == 5


def test_a_sum_of_two_levels_takes_own_changes_of_lower_levels():
    backlog = own_backlog(l3=6)
    backlog.own_report()
    backlog.record_sum(SERVICE, BacklogSum(28, {0: 5, 1: 40}), 0.0)
    backlog.add(BacklogKey(SERVICE, 3), -6)
    assert backlog.widest_sum(SERVICE, 0.1).pieces_by_level == {0: 5, 1: 34}


def test_of_equal_sums_that_of_a_scheduler_by_level_counts():
    """It may hold pieces that no entry has admitted yet."""
    backlog = own_backlog(l1=3)
    backlog.own_report()
    backlog.record_sum(SERVICE, BacklogSum(1, {1: 9}, is_by_level=True), 0.0)
    assert pieces_before(backlog, 1, 0.1) == 9
    backlog.record_sum(SERVICE, BacklogSum(1, {1: 9}), 0.2)
    assert pieces_before(backlog, 1, 0.3) == 3


def test_what_more_urgent_levels_take_is_known_until_it_expires():
    backlog = AdmittedBacklog()
    backlog.record_flow(SERVICE, {0: 50.0, 1: 20.0, 2: 5.0}, 0.0)
    assert backlog.flow_above_per_s(SERVICE, 0, 0.1) == 0.0
    assert backlog.flow_above_per_s(SERVICE, 2, 0.1) == 70.0
    assert backlog.flow_above_per_s(SERVICE, 2, REPORT_MAX_AGE_S) == 0.0
