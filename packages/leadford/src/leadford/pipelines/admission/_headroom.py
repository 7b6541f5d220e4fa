"""Reserve slots of an endpoint for the urgent attempts that are usually present.

A long attempt occupies its slot for its whole service time. Without a reservation, a
few long attempts of a less urgent class block a short one whose deadline is near.
"""

from math import exp

# Time constant of the average number of attempts of a class.
AVERAGE_TIME_CONSTANT_S = 2.0


class Headroom:
    """Reserve slots for each priority class, up to its average number of attempts.

    As many slots as a class runs below its average are withheld from less urgent
    classes. A class that always runs its average therefore reserves nothing.
    """

    def __init__(self, *, time_constant_s: float = AVERAGE_TIME_CONSTANT_S) -> None:
        self.time_constant_s = time_constant_s
        self.present_by_priority_: dict[int, int] = {}
        self.running_by_priority_: dict[int, int] = {}
        self.average_by_priority_: dict[int, float] = {}
        self.updated_at_ = 0.0

    def _advance(self, now: float) -> None:
        elapsed_s = now - self.updated_at_
        if elapsed_s <= 0:
            return
        self.updated_at_ = now
        weight = 1.0 - exp(-elapsed_s / self.time_constant_s)
        for priority, present in self.present_by_priority_.items():
            average = self.average_by_priority_.get(priority, 0.0)
            average += weight * (present - average)
            self.average_by_priority_[priority] = average

    def record_arrived(self, priority: int, now: float) -> None:
        """Count an attempt that joins the queue."""
        self._advance(now)
        present = self.present_by_priority_.get(priority, 0)
        self.present_by_priority_[priority] = present + 1

    def record_started(self, priority: int) -> None:
        """Count an attempt that takes a slot."""
        running = self.running_by_priority_.get(priority, 0)
        self.running_by_priority_[priority] = running + 1

    def record_left(self, priority: int, now: float, *, ran: bool) -> None:
        """Count an attempt that ended or left the queue."""
        self._advance(now)
        self.present_by_priority_[priority] -= 1
        if ran:
            self.running_by_priority_[priority] -= 1

    def reserved(self, priority: int, now: float) -> int:
        """Return how many slots are withheld from a priority class."""
        self._advance(now)
        lacking = 0.0
        for other, average in self.average_by_priority_.items():
            if other >= priority:
                continue
            running = self.running_by_priority_.get(other, 0)
            lacking += max(0.0, average - running)
        return round(lacking)

    def admits(
        self, priority: int, *, running: int, concurrency: int, now: float
    ) -> bool:
        """Return whether an attempt of a class may take one of the free slots."""
        free = concurrency - running
        if free <= 0:
            return False
        # An endpoint that runs nothing reserves nothing.
        return running == 0 or free > self.reserved(priority, now)
