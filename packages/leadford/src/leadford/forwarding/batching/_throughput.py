"""Measure the throughput of a stage while it is behind, for admission of requests.

When endpoints of a stage become slow, its room is short, or urgent pieces keep
arriving, the stage computes far less than its configuration suggests. Requests admitted
by the configured capacity would then starve until their time is over. The scheduler
that holds the queue counts the computed pieces, and reports the rate while the queue is
long. While the queue is short, the rate does not show what the stage could compute.
"""

from collections import deque

import msgspec

from leadford.forwarding.routes import LEVEL_HIGHEST

# Length of the sliding window, and the least span of samples in it: several calls of
# each endpoint.
RATE_WINDOW_S = 1.2
RATE_MIN_SPAN_S = 0.9
# A stage is behind while at least this fraction of a full call to each endpoint waits.
BEHIND_MIN_FRACTION = 0.5


class ThroughputRate(msgspec.Struct, frozen=True):
    """Hold the throughput of a stage that is behind.

    Units: pieces per second; `less_urgent` is the less urgent part of `pieces`.
    """

    pieces: float
    less_urgent: float


class _Sample(msgspec.Struct, frozen=True):
    """Hold the pieces computed up to a time, and whether the stage was behind then.

    `less_urgent` counts those below the highest level.
    """

    sampled_at: float
    made: int
    less_urgent: int
    is_behind: bool
    made_by_level: dict[int, int]


class Throughput:
    """Count the pieces that a group computes; sampled with each heartbeat."""

    def __init__(self) -> None:
        self.made_ = 0
        self.less_urgent_ = 0
        self.made_by_level_: dict[int, int] = {}
        self.samples_: deque[_Sample] = deque()

    def record_computed(self, *, level: int) -> None:
        """Count a piece that was computed."""
        self.made_ += 1
        if level > LEVEL_HIGHEST:
            self.less_urgent_ += 1
        self.made_by_level_[level] = self.made_by_level_.get(level, 0) + 1

    def sample(self, *, waiting: int, full_round_pieces: int, now: float) -> None:
        """Record a sample of the counts and of the queue.

        `waiting` is the number of queued pieces, `full_round_pieces` the number that
        one full call to each endpoint takes.
        """
        is_behind = (
            full_round_pieces > 0 and waiting >= BEHIND_MIN_FRACTION * full_round_pieces
        )
        self.samples_.append(
            _Sample(
                now,
                self.made_,
                self.less_urgent_,
                is_behind,
                dict(self.made_by_level_),
            )
        )
        while self.samples_[0].sampled_at < now - RATE_WINDOW_S:
            self.samples_.popleft()

    def rate(self, now: float) -> ThroughputRate | None:
        """Return the throughput if the group was behind all the time, else None."""
        samples = [
            sample
            for sample in self.samples_
            if sample.sampled_at >= now - RATE_WINDOW_S
        ]
        if not samples or not all(sample.is_behind for sample in samples):
            return None
        first, last = samples[0], samples[-1]
        span_s = last.sampled_at - first.sampled_at
        if span_s < RATE_MIN_SPAN_S:
            return None
        return ThroughputRate(
            (last.made - first.made) / span_s,
            (last.less_urgent - first.less_urgent) / span_s,
        )

    def flow_by_level(self, now: float) -> dict[int, float]:
        """Return the recent throughput of each level, also if the group is not behind.

        For levels without a backlog it is the arrival rate. Empty where too little time
        was observed.

        Units: pieces per second.
        """
        samples = [
            sample
            for sample in self.samples_
            if sample.sampled_at >= now - RATE_WINDOW_S
        ]
        if not samples:
            return {}
        first, last = samples[0], samples[-1]
        span_s = last.sampled_at - first.sampled_at
        if span_s < RATE_MIN_SPAN_S:
            return {}
        return {
            level: (made - first.made_by_level.get(level, 0)) / span_s
            for level, made in last.made_by_level.items()
        }


def drain_s(pieces: float, per_s: float) -> float:
    """Return how long it takes to compute some pieces at a throughput.

    Units: seconds, per_s in pieces per second; infinite if the throughput is 0.
    """
    if pieces == 0:
        return 0.0
    return pieces / per_s if per_s > 0.0 else float("inf")
