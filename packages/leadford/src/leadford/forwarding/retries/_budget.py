"""Limit the retries of an entry in a sliding window, as its share of a fleet's budget.

Each entry holds one budget per service; `_decision` spends it. The settings of the
deployment define ratio, slack and window.
"""

from collections import deque
from collections.abc import Callable

from leadford.forwarding.routes import ServiceId

# Fraction of the allowance that may be spent, in case clocks of entries disagree.
USABLE_FRACTION = 0.85


class WindowedRetryBudget:
    """Allow an entry its share of the fleet's retries in each window.

    In any window the fleet may retry a fraction `ratio` of its requests, and `slack`
    more. Each of `entry_count_` entries counts its own requests and takes an equal part
    of the slack, so the entries exchange no messages. A part of the allowance stays
    unspent, in case clocks disagree.

    Units: window_s in seconds.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.entry_count_ = 1
        self.requests_: deque[float] = deque()
        self.retries_: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count one request of a caller."""
        self._forget_past(now)
        self.requests_.append(now)

    def record_retry(self, now: float) -> None:
        """Count one retry that is sent."""
        self.retries_.append(now)

    def return_retry(self) -> None:
        """Count the last retry no more, since it was not sent."""
        if self.retries_:
            self.retries_.pop()

    def allows(self, now: float) -> bool:
        """Tell whether another retry fits in the window that ends now."""
        self._forget_past(now)
        allowed = self.ratio * len(self.requests_) + self.slack / max(
            1, self.entry_count_
        )
        return len(self.retries_) + 1 <= allowed * USABLE_FRACTION

    def _forget_past(self, now: float) -> None:
        """Forget what was counted before the window that ends now."""
        window_start = now - self.window_s
        for times in (self.requests_, self.retries_):
            while times and times[0] < window_start:
                times.popleft()

    def try_spend(self, now: float) -> bool:
        """Spend one retry if the budget allows it."""
        if not self.allows(now):
            return False
        self.record_retry(now)
        return True


class RetryBudgets:
    """Hold the budget of each service.

    `make` returns a new budget with the current settings.
    """

    def __init__(self, *, make: Callable[[], WindowedRetryBudget]) -> None:
        self.make = make
        self.budgets_by_service_: dict[ServiceId, WindowedRetryBudget] = {}
        self.entry_count_ = 1

    def budget(self, service_id: ServiceId) -> WindowedRetryBudget:
        """Return the budget of a service."""
        budget = self.budgets_by_service_.get(service_id)
        if budget is None:
            budget = self.make()
            budget.entry_count_ = self.entry_count_
            self.budgets_by_service_[service_id] = budget
        return budget

    def set_entry_count(self, count: int) -> None:
        """Split the budgets of the fleet over `count` entries."""
        self.entry_count_ = count
        for budget in self.budgets_by_service_.values():
            budget.entry_count_ = count
