"""Calls of a chain of stages leave full while a full call waits.

Replays loads at three stages with calls of 8, 24 and 32 pieces, whose requests have one
or two, six, and four to sixteen pieces; they arrive in clumps.
"""

import hashlib

from leadford.forwarding.batching.tests._replay import Replay, draw_arrivals
from leadford.forwarding.batching.tests.conftest import piece_limits

ROOM = 10**9
STAGES = [
    (piece_limits(batch=8, piece_ms=21.0, room_bytes=ROOM), 3),
    (piece_limits(batch=24, piece_ms=7.1, room_bytes=ROOM), 3),
    (piece_limits(batch=32, piece_ms=5.4, room_bytes=ROOM), 4),
]
COUNTS = ((1, 2), (6, 6), (4, 16))
HALLS = ("h0", "h1", "h2", "h3")
MIN_FILL = 0.85
MIN_CALLS = 10


def burst(at):
    """Return the rate of a burst of 2.7 times for five seconds."""
    return 2.7 * 12.0 if 1.0 <= at < 6.0 else 12.0


def drawn(per_s=burst, *, seconds=7.0, seed=1, halls=("h0",)):
    return draw_arrivals(per_s, COUNTS, seconds=seconds, seed=seed, halls=halls)


def check_full(replay, stages=(0, 1, 2)):
    for stage in stages:
        fill, calls = replay.fill_while_full_call_waits(stage)
        assert calls >= MIN_CALLS
        assert fill > MIN_FILL, (stage, fill)


def test_calls_are_full_in_a_burst_of_2_7_times_for_five_seconds_on_three_stages():
    replay = Replay(STAGES)
    replay.run(drawn())
    check_full(replay)


def test_calls_are_full_while_demand_moves_in_waves_over_four_halls():
    replay = Replay(STAGES, halls=HALLS)
    replay.run(drawn(lambda at: 32.0, halls=HALLS))
    check_full(replay)


def test_a_third_of_the_endpoints_lost_in_a_burst_leaves_calls_full():
    shared, alone = Replay(STAGES, shares_calls=True), Replay(STAGES)
    for replay in (shared, alone):
        for seed in range(4):
            one = Replay(STAGES, shares_calls=replay.shares_calls)
            replay.calls += one.run(drawn(seed=seed), lost_at=3.0, lost=1)
            replay.done_at |= {
                (seed, request): took for request, took in one.done_at.items()
            }
    check_full(shared)
    assert sum(shared.done_at.values()) < 0.9 * sum(alone.done_at.values())


def test_calls_are_full_of_results_of_1_5_mb_at_endpoints_with_room_for_ten():
    limits = piece_limits(batch=8, piece_ms=21.0, room_bytes=15_750_000)
    # Their readers release them before the wait for room ends.
    replay = Replay([(limits, 3)], result_bytes=1_500_000, hold_s=0.1)
    replay.run(draw_arrivals(burst, ((1, 4),), seconds=7.0, seed=1))
    check_full(replay, stages=(0,))


def test_without_contention_the_calls_of_a_drawn_load_are_those_of_before():
    stages = [
        (piece_limits(batch=batch, piece_ms=piece_ms, room_bytes=60_000_000), 4)
        for batch, piece_ms in ((8, 21.0), (24, 7.1), (32, 5.4))
    ]
    replay = Replay(stages, halls=HALLS, result_bytes=1_500_000, hold_s=0.3)
    calls = replay.run(drawn(halls=HALLS), lost_at=3.0, lost=1)
    assert hashlib.sha256(repr(calls).encode()).hexdigest()[:16] == "ff4ecf7687d8d3b3"
