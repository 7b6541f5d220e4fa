"""Hold what this process believes of one endpoint, and when it is held suspect.

The rule: a failure that leaves the endpoint itself in doubt makes it suspect at once,
one that a sound endpoint may show now and then only when it comes twice in a row.
Suspicion is local, grows with each further failure, and ends by itself or with the next
success. The forwarder and the scheduler of batches record what they see here; the
choosers of endpoints read it. Ejection in `leadford.pipelines.ejection` is another
rule: it compares endpoints of a pool with each other, probes them, and bounds how many
are out.
"""

from enum import Enum

from leadford.common import Ewma
from leadford.forwarding.endpoints._model import (
    Backpressure,
    ListedEndpoint,
    ReportedLoad,
)

# Seconds of the first suspicion; each further failure in a row doubles it up to the
# most.
SUSPECT_BASE_S = 0.4
SUSPECT_MAX_S = 6.0
# Doublings after which the time no longer grows, so that the power stays small.
SUSPECT_DOUBLINGS_MAX = 6
# Failures in a row from which any kind of failure makes an endpoint suspect.
FAILURES_FOR_SUSPICION = 2
# Seconds that a load report is believed.
LOAD_FRESH_S = 1.0
# Weights of the newest outcome in the averages, from 0 to 1.
FAILURE_WEIGHT = 0.2
LATENCY_WEIGHT = 0.2
SLOWNESS_WEIGHT = 0.4
# Seconds in which half of an observed slowness is forgotten, so that an endpoint that
# gets no calls is tried again.
SLOWNESS_HALF_LIFE_S = 2.0


class EndpointFailure(Enum):
    """Say how an endpoint failed an attempt or a call."""

    LOST = "lost"
    SILENT = "silent"
    BROKEN_OFF = "broken-off"
    SLOW = "slow"
    SPOILED = "spoiled"
    ERROR_STATUS = "error-status"


SUSPECT_AT_ONCE = frozenset(
    {EndpointFailure.LOST, EndpointFailure.SILENT, EndpointFailure.BROKEN_OFF}
)


class EndpointRecord:
    """Join the listing of an endpoint with direct evidence of it.

    Suspicion is local and expires; a success ends it.
    """

    def __init__(self, *, listed: ListedEndpoint) -> None:
        self.listed = listed
        # Until then it is used in need only: its record may be that of a copy.
        self.doubted_until_ = 0.0
        self.in_flight_ = 0
        # Requests under which other endpoints ended.
        self.suspects_in_flight_ = 0
        self.failures_in_a_row_ = 0
        self.suspect_until_ = 0.0
        self.is_replaced_ = False
        self.cold_until_ = 0.0
        self.cold_revision_ = -1
        self.backpressure_ = Backpressure()
        self.load_: ReportedLoad | None = None
        self.load_at_ = 0.0
        self.failure_rate_ = Ewma(initial=0.0, weight=FAILURE_WEIGHT)
        self.latency_ms_ = Ewma(initial=0.0, weight=LATENCY_WEIGHT)
        self.slowness_ = Ewma(initial=1.0, weight=SLOWNESS_WEIGHT)
        self.slowness_at_ = 0.0

    def record_listed_cold(self, listed: ListedEndpoint, now: float) -> None:
        """Record how long a listing says that the endpoint stays cold.

        A listing that is told again says nothing new, and one that says nothing of it
        may be older than the cold it would end.
        """
        if listed.cold_ms <= 0.0 or listed.revision <= self.cold_revision_:
            return
        self.cold_revision_ = listed.revision
        self.record_cold(now + listed.cold_ms / 1_000.0)

    def record_cold(self, until: float) -> None:
        """Record that the endpoint stays cold until a moment."""
        self.cold_until_ = max(self.cold_until_, until)

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint bears few requests yet."""
        return now < self.cold_until_

    def record_backpressure(self, asked: Backpressure) -> bool:
        """Record what an answer asks; return whether that is news."""
        is_changed = asked != self.backpressure_
        self.backpressure_ = asked
        return is_changed

    def record_load(self, load: ReportedLoad, now: float) -> None:
        """Record the load on an answer."""
        self.load_ = load
        self.load_at_ = now

    def record_slowness(self, ratio: float, now: float) -> None:
        """Record how many times longer than expected a call took, or has lasted."""
        self.slowness_.value_ = self.slowness(now)
        self.slowness_.update(ratio)
        self.slowness_at_ = now

    def slowness(self, now: float) -> float:
        """Return how many times longer than expected calls take.

        What is beyond 1 fades: an endpoint that gets no calls shows no better.
        """
        excess = self.slowness_.value_ - 1.0
        if excess <= 0.0:
            return self.slowness_.value_
        return 1.0 + excess * 0.5 ** ((now - self.slowness_at_) / SLOWNESS_HALF_LIFE_S)

    def record_success(self, elapsed_ms: float) -> None:
        """Record a good answer and its time."""
        self.failures_in_a_row_ = 0
        self.suspect_until_ = 0.0
        self.failure_rate_.update(0.0)
        self.latency_ms_.update(elapsed_ms)

    def record_failure(self, now: float, failure: EndpointFailure) -> None:
        """Record a failure, which may make the endpoint suspect."""
        self.failures_in_a_row_ += 1
        self.failure_rate_.update(1.0)
        is_first = self.failures_in_a_row_ < FAILURES_FOR_SUSPICION
        if is_first and failure not in SUSPECT_AT_ONCE:
            return
        doublings = min(self.failures_in_a_row_ - 1, SUSPECT_DOUBLINGS_MAX)
        suspect_s = min(SUSPECT_MAX_S, SUSPECT_BASE_S * 2.0**doublings)
        self.suspect_until_ = max(self.suspect_until_, now + suspect_s)

    def record_replaced(self) -> None:
        """Record proof that another process has the address."""
        self.is_replaced_ = True

    def is_suspect(self, now: float) -> bool:
        """Tell whether recent failures keep new work away."""
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
