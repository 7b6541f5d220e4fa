"""An entry uses the backlog sum that counts the most entries."""

from leadford.common import EntryId
from leadford.forwarding.batching import AdmittedBacklog, BacklogKey, BacklogSum
from leadford.forwarding.routes import ServiceId

SERVICE = ServiceId("stage")
URGENT = BacklogKey(SERVICE, 0)
LESS_URGENT = BacklogKey(SERVICE, 1)


def pieces_before(backlog, now, *, level=1):
    return backlog.pieces_before(SERVICE, level, less_urgent_fraction=0.5, now=now)


def test_a_scheduler_that_hears_more_entries_is_believed():
    backlog = AdmittedBacklog()
    backlog.add(LESS_URGENT, 3)
    backlog.record_report(EntryId("e1"), {LESS_URGENT: 4}, 0.0)
    backlog.record_sum(SERVICE, BacklogSum(68, {0: 10, 1: 300}), 0.0)
    assert pieces_before(backlog, 0.1) == 3 + 310
    assert pieces_before(backlog, 0.1, level=0) == 10 + 303 * 0.5


def test_an_entry_that_hears_as_many_counts_by_itself():
    backlog = AdmittedBacklog()
    backlog.add(LESS_URGENT, 3)
    backlog.record_report(EntryId("e1"), {LESS_URGENT: 4}, 0.0)
    backlog.record_sum(SERVICE, BacklogSum(2, {0: 0, 1: 300}), 0.0)
    assert pieces_before(backlog, 0.1) == 7


def test_what_an_entry_had_said_before_a_sum_is_not_counted_twice():
    backlog = AdmittedBacklog()
    backlog.add(URGENT, 5)
    assert backlog.own_report() == {URGENT: 5}
    backlog.record_sum(SERVICE, BacklogSum(9, {0: 40, 1: 0}), 0.0)
    backlog.add(URGENT, 2)
    assert pieces_before(backlog, 0.1) == 42
    backlog.add(URGENT, -6)
    assert pieces_before(backlog, 0.1) == 36


def test_a_narrower_sum_does_not_replace_a_wide_one_that_is_fresh():
    backlog = AdmittedBacklog()
    backlog.record_sum(SERVICE, BacklogSum(68, {0: 0, 1: 300}), 0.0)
    backlog.record_sum(SERVICE, BacklogSum(5, {0: 0, 1: 20}), 0.5)
    assert pieces_before(backlog, 1.0) == 300
    backlog.record_sum(SERVICE, BacklogSum(5, {0: 0, 1: 20}), 1.6)
    assert pieces_before(backlog, 1.7) == 20


def test_an_old_sum_is_believed_no_more():
    backlog = AdmittedBacklog()
    backlog.add(LESS_URGENT, 3)
    backlog.record_sum(SERVICE, BacklogSum(68, {0: 0, 1: 300}), 0.0)
    assert pieces_before(backlog, 1.6) == 3


def test_the_backlog_of_other_entries_expires():
    table = AdmittedBacklog()
    key = BacklogKey(SERVICE, 0)
    later = BacklogKey(SERVICE, 1)
    table.add(key, 4)
    table.record_report(EntryId("n1"), {key: 2, later: 10}, 0.0)

    def before(level, now):
        return table.pieces_before(SERVICE, level, less_urgent_fraction=0.5, now=now)

    assert before(0, 0.1) == 4 + 2 + 5
    assert before(1, 0.1) == 16
    assert before(0, 9.0) == 4
    table.add(key, -4)
    assert before(0, 9.0) == 0
