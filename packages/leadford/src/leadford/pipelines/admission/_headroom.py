"""Keep room at an endpoint for the urgent work that is usually there.

A slot taken by a long attempt is not free again for its whole service. Without this,
a few long ones of a late class block a short one whose deadline is near.
"""

from math import exp

# Seconds over which the presence of a class is averaged. With headroom 0.99 to 1.00 of
# the most urgent class were in time at twice the nominal load, 0.92 to 0.96 without,
# for 6 % of the tokens in time (four stand-in engines).
AVERAGE_OVER_S = 2.0


class Headroom:
    """Average how much of each class of priority is present, and reserve the rest.

    What a class lacks of its average is kept free from later classes. A class that is
    always there in full therefore reserves nothing, and idle room is lent out.
    """

    def __init__(self, *, average_over_s: float = AVERAGE_OVER_S) -> None:
        self.average_over_s = average_over_s
        self.present_by_priority_: dict[int, int] = {}
        self.running_by_priority_: dict[int, int] = {}
        self.average_by_priority_: dict[int, float] = {}
        self.updated_at_ = 0.0

    def _advance(self, now: float) -> None:
        elapsed_s = now - self.updated_at_
        if elapsed_s <= 0:
            return
        self.updated_at_ = now
        weight = 1.0 - exp(-elapsed_s / self.average_over_s)
        for priority, present in self.present_by_priority_.items():
            average = self.average_by_priority_.get(priority, 0.0)
            average += weight * (present - average)
            self.average_by_priority_[priority] = average

    def record_arrived(self, priority: int, now: float) -> None:
        """Count an attempt that queues."""
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
        """Return how many slots are kept free from a class of priority."""
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
        """Tell whether an attempt of a class may take one of the free slots."""
        free = concurrency - running
        if free <= 0:
            return False
        # An endpoint that runs nothing keeps nothing back.
        return running == 0 or free > self.reserved(priority, now)
