"""Bytes held for slow callers and endpoints stay within the budget, and quick go on."""

import pytest

from leadford.forwarding.memory import (
    MAX_UNREAD_EVENT_BYTES,
    BytesHolder,
    HeldCause,
    MemoryAccount,
    MemoryBudget,
    was_left_unread,
)

ANSWER_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 64 * 1024


def account(limit_bytes=160_000_000):
    return MemoryAccount(budget=MemoryBudget.from_limit(limit_bytes))


def hold(memory, count, cause=HeldCause.ANSWER, *, waits=False, now=0.0):
    holder = BytesHolder(cause=cause, waits_for_caller=waits, now=now)
    memory.set_held(holder, count)
    return holder


def test_the_budget_leaves_the_process_what_it_takes_itself():
    assert MemoryBudget.from_limit(None) is None
    assert MemoryBudget.from_limit(160_000_000).allowed_bytes == 48_000_000
    assert MemoryBudget.from_limit(552_000_000).allowed_bytes == 283_200_000
    assert MemoryBudget.from_limit(40_000_000).allowed_bytes == 16_000_000


def test_without_a_limit_nothing_is_refused_paused_or_cut_off():
    memory = MemoryAccount(budget=None)
    holder = hold(memory, 10**10, waits=True)
    assert memory.admit(10**10).unwrap() is None
    assert memory.may_read(holder, MAX_UNREAD_EVENT_BYTES)
    assert memory.stalled_holders(100.0) == []
    assert memory.bytes_by_cause_[HeldCause.ANSWER] == 10**10


def test_far_below_the_budget_nothing_is_refused_paused_or_cut_off():
    memory = account()
    holder = hold(memory, 20_000_000, waits=True)
    assert memory.admit(ANSWER_BYTES).unwrap() is None
    assert memory.may_read(holder)
    assert memory.stalled_holders(100.0) == []


def test_refusals_end_only_once_enough_is_released():
    memory = account()
    budget = memory.budget
    holder = hold(memory, budget.refuse_bytes)
    refusal = memory.admit(1).failure()
    assert refusal.held_bytes == budget.refuse_bytes
    assert refusal.allowed_bytes == budget.allowed_bytes
    assert refusal.retry_after_s > 0.0
    memory.set_held(holder, budget.resume_bytes + 1)
    assert memory.is_refusing_ and memory.admit(0).failure()
    memory.set_held(holder, budget.resume_bytes)
    assert not memory.is_refusing_ and memory.admit(0).unwrap() is None


def test_a_body_too_large_for_what_is_left_does_not_turn_others_away():
    memory = account(40_000_000)
    hold(memory, memory.budget.resume_bytes - 1)
    assert memory.admit(ANSWER_BYTES).failure()
    assert not memory.is_refusing_ and memory.admit(1_000).unwrap() is None
    assert memory.stalled_holders(10.0, ANSWER_BYTES) == []
    still = hold(memory, 1, waits=True)
    assert memory.stalled_holders(10.0, ANSWER_BYTES) == [still]
    assert memory.stalled_holders(10.0, 1_000) == []


def test_a_stream_is_read_up_to_its_own_bound():
    memory = account()
    holder = hold(memory, MAX_UNREAD_EVENT_BYTES - 1, HeldCause.UNREAD_EVENTS)
    assert memory.may_read(holder, MAX_UNREAD_EVENT_BYTES)
    memory.set_held(holder, MAX_UNREAD_EVENT_BYTES)
    assert not memory.may_read(holder, MAX_UNREAD_EVENT_BYTES)
    assert memory.may_read(hold(memory, CHUNK_BYTES), MAX_UNREAD_EVENT_BYTES)


def test_large_answers_wait_before_small_ones_do():
    memory = account()
    first, second = (hold(memory, memory.budget.pause_bytes // 2) for _ in range(2))
    small = hold(memory, 800)
    # One large answer goes on, or all that wait for room would wait for each other.
    assert memory.may_read(first) and not memory.may_read(second)
    assert memory.may_read(small)
    memory.set_held(small, memory.budget.allowed_bytes - memory.held_bytes_ + 800)
    assert not memory.may_read(first) and not memory.may_read(second)
    assert not memory.may_read(hold(memory, 1))
    memory.set_held(first, 0)
    memory.set_held(small, 800)
    assert memory.may_read(second)


def test_only_callers_that_stand_still_are_cut_off_and_no_more_than_needed():
    memory = account()
    part = memory.budget.refuse_bytes // 8
    served = hold(memory, part)
    reading = hold(memory, part, waits=True, now=9.5)
    still = [hold(memory, part + number, waits=True) for number in range(6)]
    ended = memory.stalled_holders(10.0)
    assert served not in ended and reading not in ended
    assert ended == [still[5], still[4]]
    for holder in ended:
        memory.set_held(holder, 0)
    assert memory.held_bytes_ <= memory.budget.resume_bytes
    assert memory.stalled_holders(10.0) == []


@pytest.mark.parametrize("unread_s, is_callers_delay", [(0.0, False), (3.0, True)])
def test_an_answer_left_unread_says_nothing_of_its_endpoint(unread_s, is_callers_delay):
    assert was_left_unread(unread_s) is is_callers_delay


def is_admitted(memory, now):
    """Ask as the process does: who stands still is cut off before one is refused."""
    if memory.admit(100).value_or(True) is None:
        return True
    for holder in memory.stalled_holders(now):
        memory.set_held(holder, 0)
    return memory.admit(100).value_or(True) is None


def play_slow_callers(memory, *, slow_every_s):
    """Serve callers for 20 s and return how many quick ones came and were refused.

    At steps of 5.2 ms, 64 KiB of each answer that may be read arrive.
    """
    arriving = []
    quick = refused = 0
    next_slow_at = next_quick_at = 0.0
    for step in range(3_846):
        now = step * 0.0052
        if now >= next_slow_at:
            next_slow_at += slow_every_s
            if is_admitted(memory, now):
                arriving.append(hold(memory, 1, now=now))
        if now >= next_quick_at:
            next_quick_at += 0.05
            quick += 1
            if is_admitted(memory, now):
                answer = hold(memory, 800)
                assert memory.may_read(answer)
                memory.set_held(answer, 0)
            else:
                refused += 1
        for answer in [item for item in arriving if memory.may_read(item)]:
            memory.set_held(answer, answer.held_bytes_ + CHUNK_BYTES)
            answer.progress_at_ = now
            if answer.held_bytes_ > ANSWER_BYTES:
                arriving.remove(answer)
                answer.waits_for_caller = True
        assert memory.held_bytes_ <= memory.budget.allowed_bytes
    return quick, refused


def test_slow_callers_that_fill_the_link_take_no_room_from_quick_ones():
    """Load: 160 MB, 100 Mbit/s full of answers of 4 MiB that no caller reads, and a
    caller of 800 B that reads at once each 50 ms.

    Callers need: the process is not killed, and at most one of twenty quick callers is
    sent away.
    """
    quick, refused = play_slow_callers(account(), slow_every_s=0.35)
    assert refused <= quick / 20, (refused, quick)


def test_slow_callers_beyond_any_link_never_outgrow_the_budget():
    """Load: as above at seven times the rate of the link, all answers arriving at once.

    Callers need: the process is not killed, and who is let in is answered at once.
    """
    memory = account()
    quick, refused = play_slow_callers(memory, slow_every_s=0.05)
    assert 0 < refused < quick
