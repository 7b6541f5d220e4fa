"""Eject outliers of a pool by failures and by slowness, within a cap.

Each entry holds one ejector per pool for leadford's own interface. An endpoint is
ejected after consecutive failures, for a high failure rate, or when it is several times
slower than the median of the others. It is restored after successful probes, one at a
time.

Endpoints of forwarded requests follow another rule (`leadford.forwarding.endpoints`):
suspicion only affects the order of choice, without probes and without a cap, because
suspects are still used when no other endpoint is left.
"""

from enum import Enum
from random import Random
from statistics import median_low

import msgspec

from leadford.common import EndpointId, Ewma

# Number of consecutive failures that ejects an endpoint.
EJECTION_CONSECUTIVE_FAILURES = 5
# Fraction of failures above which an endpoint is ejected, and the outcomes required.
EJECTION_FAILURE_FRACTION = 0.5
MIN_OUTCOMES = 10
# Multiple of the median of the others above which an endpoint is ejected for slowness,
# the samples that it requires, and the minimum of this limit. Slowness is the time
# divided by the expected time of the stage, since the time per token depends on the
# length of a generation.
SLOWNESS_RATIO = 3.0
MIN_SLOWNESS_SAMPLES = 4
MIN_SLOWNESS_LIMIT = 2.0
# Weights of a new outcome in the averages of failures and of slowness.
FAILURE_WEIGHT = 0.1
SLOWNESS_WEIGHT = 0.2
# Maximum fraction of a pool that is ejected, unless the configuration sets another.
MAX_EJECTED_FRACTION = 0.34
# Duration of the first ejection, doubled with each further one up to the maximum.
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
# Number of consecutive successful probes that restores an endpoint.
PROBES_TO_RESTORE = 3


class EndpointState(Enum):
    """Tell whether an endpoint gets attempts."""

    ACTIVE = "active"
    EJECTED = "ejected"
    PROBING = "probing"


class EjectionEvent(msgspec.Struct, frozen=True):
    """Record that an endpoint was ejected, probed or restored, and why."""

    endpoint_id: EndpointId
    state: EndpointState
    reason: str


class _Record:
    """Hold the recent outcomes of one endpoint."""

    def __init__(self) -> None:
        self.state_ = EndpointState.ACTIVE
        self.reset()
        self.ejection_count_ = 0
        self.ejected_until_ = 0.0
        self.probe_running_ = False
        self.probes_passed_ = 0

    def reset(self) -> None:
        """Clear the outcomes, as when an endpoint is restored."""
        self.consecutive_failures_ = 0
        self.outcome_count_ = 0
        self.failure_rate_ = Ewma(initial=0.0, weight=FAILURE_WEIGHT)
        self.slowness_ = Ewma(initial=0.0, weight=SLOWNESS_WEIGHT)


class OutlierEjector:
    """Eject endpoints of one pool by the outcomes seen in this process.

    Ejections are local to the process and expire. At most the fraction `cap` of the
    pool is ejected; in a pool of two or more, one endpoint always may be.
    """

    def __init__(self, *, random: Random, cap: float = MAX_EJECTED_FRACTION) -> None:
        self.random = random
        self.cap = cap
        self.records_by_id_: dict[EndpointId, _Record] = {}
        self.events_: list[EjectionEvent] = []

    def retain(self, endpoint_ids: set[EndpointId]) -> None:
        """Drop the records of endpoints that left and add those that joined."""
        for endpoint_id in set(self.records_by_id_) - endpoint_ids:
            del self.records_by_id_[endpoint_id]
        for endpoint_id in endpoint_ids:
            self.records_by_id_.setdefault(endpoint_id, _Record())

    def state(self, endpoint_id: EndpointId) -> EndpointState:
        """Return the state of an endpoint."""
        record = self.records_by_id_.get(endpoint_id)
        return record.state_ if record is not None else EndpointState.ACTIVE

    def admits(self, endpoint_id: EndpointId, now: float) -> bool:
        """Return whether an endpoint may get an attempt now."""
        record = self.records_by_id_.get(endpoint_id)
        if record is None or record.state_ is EndpointState.ACTIVE:
            return True
        if record.state_ is EndpointState.EJECTED:
            if now < record.ejected_until_:
                return False
            self._set_state(endpoint_id, EndpointState.PROBING, "interval passed")
            record.probe_running_ = False
            record.probes_passed_ = 0
        return not record.probe_running_

    def record_sent(self, endpoint_id: EndpointId) -> None:
        """Record a sent attempt; while probing, only one runs at a time."""
        record = self.records_by_id_.get(endpoint_id)
        if record is not None and record.state_ is EndpointState.PROBING:
            record.probe_running_ = True

    def record_abandoned(self, endpoint_id: EndpointId) -> None:
        """Record the end of an attempt that shows nothing about the endpoint."""
        record = self.records_by_id_.get(endpoint_id)
        if record is not None:
            record.probe_running_ = False

    def record_success(
        self, endpoint_id: EndpointId, slowness: float, now: float
    ) -> None:
        """Record a success; `slowness` is its time over the expected time."""
        record = self.records_by_id_.get(endpoint_id)
        if record is None:
            return
        record.consecutive_failures_ = 0
        record.outcome_count_ += 1
        record.failure_rate_.update(0.0)
        record.slowness_.update(slowness)
        if record.state_ is EndpointState.PROBING:
            self._pass_probe(endpoint_id, record, slowness, now)
            return
        if record.state_ is not EndpointState.ACTIVE:
            return
        self._judge_slowness(endpoint_id, record, now)

    def record_late(
        self, endpoint_id: EndpointId, min_slowness: float, now: float
    ) -> None:
        """Record an attempt that was abandoned as too slow.

        `min_slowness` is a lower bound of its slowness. It does not eject when the
        other endpoints are as slow, as in an overload.
        """
        record = self.records_by_id_.get(endpoint_id)
        if record is None:
            return
        record.probe_running_ = False
        record.outcome_count_ += 1
        if min_slowness > record.slowness_.value_:
            record.slowness_.update(min_slowness)
        if record.state_ is EndpointState.PROBING:
            if min_slowness > self._slowness_limit(endpoint_id):
                self._eject(endpoint_id, record, "probe was slow", now)
            return
        if record.state_ is EndpointState.ACTIVE:
            self._judge_slowness(endpoint_id, record, now)

    def _judge_slowness(
        self, endpoint_id: EndpointId, record: _Record, now: float
    ) -> None:
        limit = self._slowness_limit(endpoint_id)
        has_samples = record.slowness_.count_ >= MIN_SLOWNESS_SAMPLES
        if has_samples and record.slowness_.value_ > limit:
            self._eject(endpoint_id, record, "slower than others", now)

    def record_failure(self, endpoint_id: EndpointId, reason: str, now: float) -> None:
        """Record a failure."""
        record = self.records_by_id_.get(endpoint_id)
        if record is None:
            return
        record.consecutive_failures_ += 1
        record.outcome_count_ += 1
        record.failure_rate_.update(1.0)
        if record.state_ is EndpointState.PROBING:
            self._eject(endpoint_id, record, f"probe failed: {reason}", now)
            return
        if record.state_ is not EndpointState.ACTIVE:
            return
        fails_repeatedly = record.consecutive_failures_ >= EJECTION_CONSECUTIVE_FAILURES
        fails_often = record.outcome_count_ >= MIN_OUTCOMES
        fails_often = (
            fails_often and record.failure_rate_.value_ > EJECTION_FAILURE_FRACTION
        )
        if fails_repeatedly or fails_often:
            self._eject(endpoint_id, record, reason, now)

    def take_events(self) -> list[EjectionEvent]:
        """Return and clear the events since the last call."""
        events = self.events_
        self.events_ = []
        return events

    def _pass_probe(
        self, endpoint_id: EndpointId, record: _Record, slowness: float, now: float
    ) -> None:
        record.probe_running_ = False
        if slowness > self._slowness_limit(endpoint_id):
            self._eject(endpoint_id, record, "probe was slow", now)
            return
        record.probes_passed_ += 1
        if record.probes_passed_ < PROBES_TO_RESTORE:
            return
        record.reset()
        record.ejection_count_ = 0
        self._set_state(endpoint_id, EndpointState.ACTIVE, "probes passed")

    def _slowness_limit(self, endpoint_id: EndpointId) -> float:
        others = [
            record.slowness_.value_
            for other_id, record in self.records_by_id_.items()
            if other_id != endpoint_id
            and record.slowness_.count_ >= MIN_SLOWNESS_SAMPLES
        ]
        if len(others) < 2:
            return float("inf")
        return max(MIN_SLOWNESS_LIMIT, SLOWNESS_RATIO * median_low(others))

    def _eject(
        self, endpoint_id: EndpointId, record: _Record, reason: str, now: float
    ) -> None:
        record.probe_running_ = False
        if record.state_ is EndpointState.ACTIVE and not self._below_cap():
            return
        duration_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**record.ejection_count_)
        # Jitter prevents all entries from probing a recovering endpoint at once.
        record.ejected_until_ = now + duration_s * self.random.uniform(0.75, 1.25)
        record.ejection_count_ = min(record.ejection_count_ + 1, 10)
        record.consecutive_failures_ = 0
        self._set_state(endpoint_id, EndpointState.EJECTED, reason)

    def _below_cap(self) -> bool:
        states = [record.state_ for record in self.records_by_id_.values()]
        inactive = sum(state is not EndpointState.ACTIVE for state in states)
        # In a small pool the fraction rounds to 0; one of two may still be ejected.
        max_inactive = max(int(self.cap * len(states)), 1 if len(states) > 1 else 0)
        return inactive < max_inactive

    def _set_state(
        self, endpoint_id: EndpointId, state: EndpointState, reason: str
    ) -> None:
        self.records_by_id_[endpoint_id].state_ = state
        self.events_.append(EjectionEvent(endpoint_id, state, reason))
