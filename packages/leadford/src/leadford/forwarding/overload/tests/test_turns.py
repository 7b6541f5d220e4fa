"""The turns of the loop tell an entry that is late from one that was held up once."""

from leadford.forwarding.overload import MAX_CALM_TURN_S, LoopTurns

LONG_S = 2 * MAX_CALM_TURN_S


def turns_after(*durations_s):
    turns = LoopTurns()
    for number, duration_s in enumerate(durations_s):
        turns.begin(float(number))
        turns.record(duration_s, float(number))
    return turns


def test_long_turns_in_a_row_are_a_delay_that_lasts():
    assert turns_after(LONG_S, LONG_S, LONG_S).is_late


def test_one_long_turn_is_not():
    assert not turns_after(0.0, 0.0, 3.0).is_late
    assert not turns_after(0.0, 3.0, 0.0).is_late


def test_a_short_turn_ends_it():
    assert not turns_after(LONG_S, LONG_S, LONG_S, 0.001).is_late


def test_two_very_long_turns_are_enough():
    assert turns_after(10 * LONG_S, 10 * LONG_S).is_late


def test_nothing_is_known_before_some_turns():
    assert turns_after(LONG_S, LONG_S).standing_s == 0.0


def test_the_delay_is_what_a_measurement_takes_longer():
    turns = LoopTurns()
    turns.begin(1.0)
    assert turns.total_delay_s(0.9) == 0.0
    # Also while the measurement lasts: the process may have been held up until now.
    assert turns.total_delay_s(1.5) == 0.5
    turns.record(0.1, 1.5)
    turns.begin(1.6)
    assert turns.total_delay_s(1.6) == 0.5
    turns.record(0.1, 1.8)
    assert round(turns.total_delay_s(9.0), 6) == 0.7


def test_what_the_entry_delays_is_no_part_of_what_others_take():
    turns = LoopTurns()
    mark = turns.mark(0.0)
    turns.begin(1.0)
    turns.record(0.1, 1.4)
    assert round(turns.delay_since_s(mark, 2.0), 6) == 0.4
    assert round(turns.min_elapsed_s(mark, 2.0), 6) == 1.6
    later = turns.mark(2.0)
    assert turns.min_elapsed_s(later, 2.5) == 0.5


def test_a_duration_in_which_the_loop_was_late_tells_nothing_of_others():
    # An endpoint may have worked while the loop was late, or answered before.
    turns = LoopTurns()
    mark = turns.mark(0.0)
    assert turns.measured_s(mark, 0.5) == 0.5
    turns.begin(1.0)
    turns.record(0.1, 1.4)
    assert turns.measured_s(mark, 1.5) is None
    assert turns.measured_s(mark, 2.0) == 2.0


def test_a_timer_that_is_a_little_late_is_no_delay():
    turns = LoopTurns()
    turns.begin(1.0)
    turns.record(0.0, 1.002)
    assert turns.total_delay_s(2.0) == 0.0
