"""Track the observed state of one endpoint, and decide when it is suspect.

A failure that suggests that the endpoint itself is broken makes it suspect at once. A
failure that a healthy endpoint may show occasionally makes it suspect only when two
come in a row. Suspicion is local to this process, lasts longer with each further
failure, and ends after its time or with the next success. The forwarder and the batch
scheduler record their observations here, and the endpoint choosers read them. Ejection
in `leadford.pipelines.ejection` is a separate rule: it compares the endpoints of a pool
with each other, probes them, and limits how many are ejected.
"""

from enum import Enum

from leadford.common import Ewma
from leadford.forwarding.endpoints._model import (
    Backpressure,
    ListedEndpoint,
    ReportedLoad,
)
from leadford.forwarding.endpoints._pace import EndpointPace

# Duration of the first suspicion; each further failure in a row doubles it, up to the
# maximum.
SUSPECT_BASE_S = 0.4
SUSPECT_MAX_S = 6.0
# Maximum exponent of the doubling, so that the power stays small.
SUSPECT_DOUBLINGS_MAX = 6
# Failures in a row at which any kind of failure makes an endpoint suspect.
FAILURES_FOR_SUSPICION = 2
# How long a load report counts as current.
LOAD_FRESH_S = 1.0
# Weights of the newest value in the moving averages, from 0 to 1.
FAILURE_WEIGHT = 0.2
LATENCY_WEIGHT = 0.2
SLOWNESS_WEIGHT = 0.4
# Half-life of an observed slowness, so that an endpoint that gets no calls is tried
# again.
SLOWNESS_HALF_LIFE_S = 2.0
# Half-life of the failure rate, for the same reason.
FAILURE_HALF_LIFE_S = 2.0


class EndpointFailure(Enum):
    """State how an endpoint failed an attempt or a call."""

    LOST = "lost"
    SILENT = "silent"
    BROKEN_OFF = "broken-off"
    SLOW = "slow"
    INVALID_ANSWER = "spoiled"
    ERROR_STATUS = "error-status"


SUSPECT_AT_ONCE = frozenset(
    {EndpointFailure.LOST, EndpointFailure.SILENT, EndpointFailure.BROKEN_OFF}
)


# Failures after which an endpoint may go on as if nothing had been.
SILENCES = frozenset({EndpointFailure.SILENT, EndpointFailure.SLOW})


class EndpointRecord:
    """Hold the listing of an endpoint and the direct observations of it."""

    def __init__(self, *, listed: ListedEndpoint) -> None:
        self.listed = listed
        # Until then the endpoint is a last resort: a restored store may list it though
        # it was removed after the copy was made.
        self.doubted_until_ = 0.0
        self.in_flight_ = 0
        # Requests in flight that ran at other endpoints when those ended.
        self.suspect_requests_in_flight_ = 0
        self.consecutive_failures_ = 0
        # How many of these were silences, from which the endpoint may go on.
        self.silences_ = 0
        self.suspect_until_ = 0.0
        # The part of the suspicion that is not because of silences.
        self.broken_until_ = 0.0
        self.is_replaced_ = False
        self.cold_until_ = 0.0
        self.cold_revision_ = -1
        self.backpressure_ = Backpressure()
        # When the head of its last answer came, to any request.
        self.answered_at_ = float("-inf")
        self.load_: ReportedLoad | None = None
        self.load_at_ = 0.0
        # Requests of this process in flight when the load was reported, and sent since.
        self.in_flight_at_report_ = 0
        self.sent_since_report_ = 0
        self.pace_ = EndpointPace()
        self.failure_rate_ = Ewma(initial=0.0, weight=FAILURE_WEIGHT)
        self.failed_at_ = 0.0
        self.latency_ms_ = Ewma(initial=0.0, weight=LATENCY_WEIGHT)
        self.slowness_ = Ewma(initial=1.0, weight=SLOWNESS_WEIGHT)
        self.slowness_at_ = 0.0

    def record_listed_cold(self, listed: ListedEndpoint, now: float) -> None:
        """Record how long the endpoint stays cold according to a listing.

        A listing that was already recorded is ignored. A listing without a cold time
        does not end the cold period, because it may be older than that period.
        """
        if listed.cold_ms <= 0.0 or listed.revision <= self.cold_revision_:
            return
        self.cold_revision_ = listed.revision
        self.record_cold(now + listed.cold_ms / 1_000.0)

    def record_cold(self, until: float) -> None:
        """Record that the endpoint stays cold at least until a given time."""
        self.cold_until_ = max(self.cold_until_, until)

    def is_cold(self, now: float) -> bool:
        """Tell whether the endpoint is cold and can serve only few requests."""
        return now < self.cold_until_

    def record_backpressure(self, asked: Backpressure) -> bool:
        """Record the backpressure of an answer; return whether it changed."""
        is_changed = asked != self.backpressure_
        self.backpressure_ = asked
        return is_changed

    def record_load(self, load: ReportedLoad, now: float) -> None:
        """Record the load that an answer reports."""
        self.load_ = load
        self.load_at_ = now
        # The request that was just answered is still counted here, but does not run.
        self.in_flight_at_report_ = max(0, self.in_flight_ - 1)
        self.sent_since_report_ = 0

    def record_slowness(self, ratio: float, now: float) -> None:
        """Record the ratio of a call's duration, so far or in all, to the expected."""
        self.slowness_.value_ = self.slowness(now)
        self.slowness_.update(ratio)
        self.slowness_at_ = now

    def slowness(self, now: float) -> float:
        """Return the ratio of the duration of calls to the expected duration.

        The excess over 1 decays with time, because an endpoint that gets no calls
        cannot show that it has become faster.
        """
        excess = self.slowness_.value_ - 1.0
        if excess <= 0.0:
            return self.slowness_.value_
        return 1.0 + excess * 0.5 ** ((now - self.slowness_at_) / SLOWNESS_HALF_LIFE_S)

    def pace(self, now: float) -> float | None:
        """Return the pace of the endpoint, or None if it reports none."""
        return self.pace_.estimate(now) if self.pace_.is_reported_ else None

    def work_ratio(self, now: float) -> float:
        """Return the ratio of the duration of its work to the expected duration."""
        pace = self.pace(now)
        return self.slowness(now) if pace is None else pace

    def record_success(self, elapsed_ms: float | None) -> None:
        """Record a successful answer and its latency; None if that is not known."""
        self.consecutive_failures_ = 0
        self.silences_ = 0
        self.suspect_until_ = 0.0
        self.broken_until_ = 0.0
        self.failure_rate_.update(0.0)
        if elapsed_ms is not None:
            self.latency_ms_.update(elapsed_ms)

    def record_failure(self, now: float, failure: EndpointFailure) -> None:
        """Record a failure, which may make the endpoint suspect."""
        self.consecutive_failures_ += 1
        self.failure_rate_.value_ = self.failure_rate(now)
        self.failure_rate_.update(1.0)
        self.failed_at_ = now
        is_silence = failure in SILENCES
        self.silences_ += is_silence
        suspect_s = _suspect_s(self.consecutive_failures_, failure)
        if suspect_s > 0.0:
            self.suspect_until_ = max(self.suspect_until_, now + suspect_s)
        if is_silence:
            return
        broken_s = _suspect_s(self.consecutive_failures_ - self.silences_, failure)
        if broken_s > 0.0:
            self.broken_until_ = max(self.broken_until_, now + broken_s)

    def record_still_silent(self, now: float) -> None:
        """Record that an attempt that counts as failed for silence still waits."""
        if self.silences_ and self.suspect_until_ > 0.0:
            self.suspect_until_ = max(self.suspect_until_, now + SUSPECT_BASE_S)

    def failure_rate(self, now: float) -> float:
        """Return the fraction of failures lately, from 0 to 1; it decays with time."""
        age_s = now - self.failed_at_
        return self.failure_rate_.value_ * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def record_heard(self) -> None:
        """Record that the endpoint goes on after silences that counted as failures.

        Failures of other kinds still count.
        """
        self.consecutive_failures_ -= self.silences_
        self.silences_ = 0
        self.suspect_until_ = self.broken_until_

    def mark_replaced(self) -> None:
        """Record that another process is known to have taken over the address."""
        self.is_replaced_ = True

    def is_suspect(self, now: float) -> bool:
        """Tell whether the endpoint is suspect because of recent failures."""
        return now < self.suspect_until_

    def is_broken(self, now: float) -> bool:
        """Tell whether the endpoint is suspect for more than its silence."""
        return now < self.broken_until_

    def is_reported_idle(self, now: float) -> bool:
        """Tell whether a current load report shows no work of other processes."""
        if self.load_ is None or now - self.load_at_ > LOAD_FRESH_S:
            return False
        return self.other_load(now) == 0

    def reports_waiting(self, now: float) -> bool:
        """Tell whether a current load report shows requests that wait."""
        if self.load_ is None or now - self.load_at_ > LOAD_FRESH_S:
            return False
        return self.load_.waiting > 0

    def assumed_work(self, now: float, senders: int) -> int:
        """Return the requests of this process and of others that are assumed there.

        The requests of others are those in the last report, unless it is too old, plus,
        for each other sender, as many as this process has sent since: all senders may
        have seen the endpoint as idle.
        """
        if self.load_ is None or now - self.load_at_ > LOAD_FRESH_S:
            return self.in_flight_
        reported = self.load_.running + self.load_.waiting
        others = max(0, reported - self.in_flight_at_report_)
        others += self.sent_since_report_ * (senders - 1)
        return self.in_flight_ + others

    def other_load(self, now: float) -> int:
        """Return the number of requests of other processes in a current load report."""
        if self.load_ is None or now - self.load_at_ > LOAD_FRESH_S:
            return 0
        return max(0, self.load_.running + self.load_.waiting - self.in_flight_)


def _suspect_s(failures: int, failure: EndpointFailure) -> float:
    """Return for how long an endpoint is suspect after some failures in a row.

    Units: seconds; 0 if it is not suspect.
    """
    if failures < FAILURES_FOR_SUSPICION and failure not in SUSPECT_AT_ONCE:
        return 0.0
    doublings = min(failures - 1, SUSPECT_DOUBLINGS_MAX)
    return min(SUSPECT_MAX_S, SUSPECT_BASE_S * 2.0**doublings)
