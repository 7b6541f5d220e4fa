"""Hold what this process believes of one endpoint."""

from leadford.common import Ewma
from leadford.forwarding.endpoints._model import ListedEndpoint, ReportedLoad

SUSPECT_BASE_S = 0.4
SUSPECT_MAX_S = 6.0
LOAD_FRESH_S = 1.0
FAILURE_WEIGHT = 0.2


class EndpointRecord:
    """Join the listing of an endpoint with direct evidence of it.

    Suspicion is local and expires; a success ends it.
    """

    def __init__(self, *, listed: ListedEndpoint) -> None:
        self.listed = listed
        self.in_flight_ = 0
        self.failures_in_a_row_ = 0
        self.suspect_until_ = 0.0
        self.is_replaced_ = False
        self.load_: ReportedLoad | None = None
        self.load_at_ = 0.0
        self.failure_rate_ = Ewma(initial=0.0, weight=FAILURE_WEIGHT)
        self.latency_ms_ = Ewma(initial=0.0, weight=0.2)
        self.slowness_ = Ewma(initial=1.0, weight=0.4)

    def note_load(self, load: ReportedLoad, now: float) -> None:
        """Take in the load on an answer."""
        self.load_ = load
        self.load_at_ = now

    def note_success(self, elapsed_ms: float, slowness: float = 1.0) -> None:
        """Take in a good answer and its time against what was expected of it."""
        self.failures_in_a_row_ = 0
        self.suspect_until_ = 0.0
        self.failure_rate_.update(0.0)
        self.latency_ms_.update(elapsed_ms)
        self.slowness_.update(slowness)

    def note_failure(self, now: float, *, heavy: bool) -> None:
        """Take in a failure; a heavy one makes the endpoint suspect at once."""
        self.failures_in_a_row_ += 1
        self.failure_rate_.update(1.0)
        if not heavy and self.failures_in_a_row_ < 2:
            return
        doublings = min(self.failures_in_a_row_ - 1, 6)
        pause_s = min(SUSPECT_MAX_S, SUSPECT_BASE_S * 2.0**doublings)
        self.suspect_until_ = max(self.suspect_until_, now + pause_s)

    def note_replaced(self) -> None:
        """Take in proof that another process has the address."""
        self.is_replaced_ = True

    def is_suspect(self, now: float) -> bool:
        """Tell whether direct evidence speaks against the endpoint."""
        return now < self.suspect_until_

    def is_surely_idle(self, now: float) -> bool:
        """Tell whether a fresh report shows no work of other processes."""
        if self.load_ is None or now - self.load_at_ > LOAD_FRESH_S:
            return False
        return self.waiting_elsewhere(now) == 0

    def waiting_elsewhere(self, now: float) -> int:
        """Return how much work of other processes a fresh report showed."""
        if self.load_ is None or now - self.load_at_ > LOAD_FRESH_S:
            return 0
        return max(0, self.load_.running + self.load_.waiting - self.in_flight_)
