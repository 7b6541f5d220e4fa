"""Describe what entries report of the admitted backlog and of its throughput."""

import msgspec

from leadford.forwarding.batching._throughput import ThroughputRate
from leadford.forwarding.routes import LEVEL_HIGHEST, ServiceId

# Reports of other entries expire after this age.
REPORT_MAX_AGE_S = 1.5


class BacklogKey(msgspec.Struct, frozen=True):
    """Identify the pieces of one service and one level; level 0 is the most urgent."""

    service_id: ServiceId
    level: int


class BacklogSum(msgspec.Struct, frozen=True):
    """Hold the admitted pieces of one service, summed over a number of entries.

    `is_by_level` is true for the sum of a scheduler that reports each level. Without
    it, a scheduler counts all pieces below the highest level as one level.
    """

    entries: int
    pieces_by_level: dict[int, int]
    is_by_level: bool = False

    @property
    def urgent(self) -> int:
        """Return the pieces of the highest level."""
        return self.pieces_by_level.get(LEVEL_HIGHEST, 0)

    @property
    def total(self) -> int:
        """Return the pieces of all levels."""
        return sum(self.pieces_by_level.values())

    @property
    def less_urgent(self) -> int:
        """Return the pieces below the highest level."""
        return self.total - self.urgent

    def up_to(self, level: int) -> int:
        """Return the pieces of a level and of all more urgent ones."""
        return sum(
            pieces for known, pieces in self.pieces_by_level.items() if known <= level
        )


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Hold when a report of another entry arrived.

    Units: received_at in seconds of the monotonic clock.
    """

    received_at: float

    def is_fresh(self, now: float) -> bool:
        """Return whether the report has not expired."""
        return now - self.received_at < REPORT_MAX_AGE_S


class EntryReport(Report, frozen=True):
    """Hold the backlog that another entry reported."""

    levels_by_service: dict[ServiceId, dict[int, int]]


class SumReport(Report, frozen=True):
    """Hold a sum from a scheduler, and the last report of this entry before it."""

    reported_sum: BacklogSum
    reported_by_key: dict[BacklogKey, int]


class RateReport(Report, frozen=True):
    """Hold the rate that a scheduler reported of its stage."""

    rate: ThroughputRate


class FlowReport(Report, frozen=True):
    """Hold the throughput of each level (its flow) of a stage."""

    per_s_by_level: dict[int, float]
