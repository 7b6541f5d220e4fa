"""Measure what a stage makes while it is behind, for those who admit work to it.

The load pattern: endpoints of a stage turn slow, its room is short, or urgent pieces
keep coming. What its calls should make by the configuration is then far above what it
makes, and requests that were admitted by that starve until their time is over. Whoever
keeps the queue sees what is made; it says so for as long as the queue is long. While it
is short, nothing can be said of what the stage could make.
"""

from collections import deque

import msgspec

# Seconds over which is measured, and that must be covered: some calls of each endpoint.
SPAN_S = 1.2
COVERED_S = 0.9
# Part of what one call of each endpoint takes that must wait for a stage to be behind.
BEHIND_PART = 0.5


class MadeRate(msgspec.Struct, frozen=True):
    """Hold what a stage that is behind makes.

    Units: pieces a second; `less_urgent` is the part of them that is less urgent.
    """

    pieces: float
    less_urgent: float


class _Sample(msgspec.Struct, frozen=True):
    """Hold what was made up to a moment, and whether the stage was behind then."""

    at: float
    made: int
    less_urgent: int
    is_behind: bool


class Throughput:
    """Count what a group makes; sampled with each heartbeat."""

    def __init__(self) -> None:
        self.made_ = 0
        self.less_urgent_ = 0
        self.samples_: deque[_Sample] = deque()

    def record_made(self, *, is_urgent: bool) -> None:
        """Count a piece that was made."""
        self.made_ += 1
        if not is_urgent:
            self.less_urgent_ += 1

    def sample(self, *, waiting: int, full_round: int, now: float) -> None:
        """Note how many pieces wait, where one call of each endpoint takes so many."""
        is_behind = full_round > 0 and waiting >= BEHIND_PART * full_round
        self.samples_.append(_Sample(now, self.made_, self.less_urgent_, is_behind))
        while self.samples_[0].at < now - SPAN_S:
            self.samples_.popleft()

    def rate(self, now: float) -> MadeRate | None:
        """Return what the group makes, None unless it was behind all the time."""
        samples = [sample for sample in self.samples_ if sample.at >= now - SPAN_S]
        if not samples or not all(sample.is_behind for sample in samples):
            return None
        first, last = samples[0], samples[-1]
        span_s = last.at - first.at
        if span_s < COVERED_S:
            return None
        return MadeRate(
            (last.made - first.made) / span_s,
            (last.less_urgent - first.less_urgent) / span_s,
        )
