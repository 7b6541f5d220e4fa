"""Eject outliers of a pool by errors and by slowness, within a cap.

Held by each entry of the own interface, one a pool. An endpoint is ejected for failures
in a row or often, or for being several times slower than the median of the others; it
comes back after probes, one at a time. Endpoints of forwarded requests are judged by
another rule (`leadford.forwarding.endpoints`): suspicion that only orders the choice,
without probes and without a cap, because suspects are still asked when nobody else is
left.
"""

from enum import Enum
from random import Random
from statistics import median_low

import msgspec

from leadford.common import EndpointId, Ewma

# Failures in a row that eject.
FAILURES_IN_A_ROW = 5
# Rate of failures that ejects, and the outcomes it needs; neither was measured.
FAILURE_RATE = 0.5
OUTCOMES_NEEDED = 10
# Times of the median of the others that ejects for slowness, the answers it needs, and
# the least such limit. Slowness as time over what a stage expects ejected no healthy
# engine in a trace of 15 s, time per token did so 6 times (one run each).
SLOWNESS_RATIO = 3.0
SLOWNESS_NEEDED = 4
SLOWNESS_FLOOR = 2.0
# Seconds of the first ejection, doubled with each further one up to the most.
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0
# Probes in a row that restore an endpoint.
PROBES_TO_RESTORE = 3


class EndpointState(Enum):
    """Say whether an endpoint gets work."""

    ACTIVE = "active"
    EJECTED = "ejected"
    PROBING = "probing"


class EjectionEvent(msgspec.Struct, frozen=True):
    """Tell that an endpoint was ejected, probed or restored, and why."""

    endpoint_id: EndpointId
    state: EndpointState
    reason: str


class _Record:
    """Hold the recent outcomes of one endpoint."""

    def __init__(self) -> None:
        self.state_ = EndpointState.ACTIVE
        self.reset()
        self.ejections_ = 0
        self.until_ = 0.0
        self.probe_out_ = False
        self.probes_passed_ = 0

    def reset(self) -> None:
        """Forget the outcomes, as when an endpoint is restored."""
        self.failures_in_a_row_ = 0
        self.outcomes_ = 0
        self.failure_rate_ = Ewma(initial=0.0, weight=0.1)
        self.slowness_ = Ewma(initial=0.0, weight=0.2)


class OutlierEjector:
    """Judge the endpoints of one pool by the outcomes this process saw.

    Suspicion is local and expires. Never more than `cap` of the pool is ejected.
    """

    def __init__(self, *, random: Random, cap: float = 0.34) -> None:
        self.random = random
        self.cap = cap
        self.records_by_id_: dict[EndpointId, _Record] = {}
        self.events_: list[EjectionEvent] = []

    def retain(self, endpoint_ids: set[EndpointId]) -> None:
        """Forget endpoints that left and begin records for those that joined."""
        for endpoint_id in set(self.records_by_id_) - endpoint_ids:
            del self.records_by_id_[endpoint_id]
        for endpoint_id in endpoint_ids:
            self.records_by_id_.setdefault(endpoint_id, _Record())

    def state(self, endpoint_id: EndpointId) -> EndpointState:
        """Return the state of an endpoint."""
        record = self.records_by_id_.get(endpoint_id)
        return record.state_ if record is not None else EndpointState.ACTIVE

    def admits(self, endpoint_id: EndpointId, now: float) -> bool:
        """Tell whether an endpoint may get an attempt now."""
        record = self.records_by_id_.get(endpoint_id)
        if record is None or record.state_ is EndpointState.ACTIVE:
            return True
        if record.state_ is EndpointState.EJECTED:
            if now < record.until_:
                return False
            self._set_state(endpoint_id, EndpointState.PROBING, "interval passed")
            record.probe_out_ = False
            record.probes_passed_ = 0
        return not record.probe_out_

    def record_sent(self, endpoint_id: EndpointId) -> None:
        """Count an attempt; while probing only one is out at a time."""
        record = self.records_by_id_.get(endpoint_id)
        if record is not None and record.state_ is EndpointState.PROBING:
            record.probe_out_ = True

    def record_abandoned(self, endpoint_id: EndpointId) -> None:
        """Take back an attempt that ended without saying anything of the endpoint."""
        record = self.records_by_id_.get(endpoint_id)
        if record is not None:
            record.probe_out_ = False

    def record_success(
        self, endpoint_id: EndpointId, slowness: float, now: float
    ) -> None:
        """Record a success and its time against what was expected of it."""
        record = self.records_by_id_.get(endpoint_id)
        if record is None:
            return
        record.failures_in_a_row_ = 0
        record.outcomes_ += 1
        record.failure_rate_.update(0.0)
        record.slowness_.update(slowness)
        if record.state_ is EndpointState.PROBING:
            self._pass_probe(endpoint_id, record, slowness, now)
            return
        if record.state_ is not EndpointState.ACTIVE:
            return
        self._judge_slowness(endpoint_id, record, now)

    def record_late(self, endpoint_id: EndpointId, at_least: float, now: float) -> None:
        """Record an attempt given up for time; it was at least so slow.

        Beside endpoints that are as slow it says nothing, as in an overload.
        """
        record = self.records_by_id_.get(endpoint_id)
        if record is None:
            return
        record.probe_out_ = False
        record.outcomes_ += 1
        if at_least > record.slowness_.value_:
            record.slowness_.update(at_least)
        if record.state_ is EndpointState.PROBING:
            if at_least > self._slowness_limit(endpoint_id):
                self._eject(endpoint_id, record, "probe was slow", now)
            return
        if record.state_ is EndpointState.ACTIVE:
            self._judge_slowness(endpoint_id, record, now)

    def _judge_slowness(
        self, endpoint_id: EndpointId, record: _Record, now: float
    ) -> None:
        limit = self._slowness_limit(endpoint_id)
        enough = record.slowness_.count_ >= SLOWNESS_NEEDED
        if enough and record.slowness_.value_ > limit:
            self._eject(endpoint_id, record, "slower than others", now)

    def record_failure(self, endpoint_id: EndpointId, reason: str, now: float) -> None:
        """Record a failure."""
        record = self.records_by_id_.get(endpoint_id)
        if record is None:
            return
        record.failures_in_a_row_ += 1
        record.outcomes_ += 1
        record.failure_rate_.update(1.0)
        if record.state_ is EndpointState.PROBING:
            self._eject(endpoint_id, record, f"probe failed: {reason}", now)
            return
        if record.state_ is not EndpointState.ACTIVE:
            return
        in_a_row = record.failures_in_a_row_ >= FAILURES_IN_A_ROW
        often = record.outcomes_ >= OUTCOMES_NEEDED
        often = often and record.failure_rate_.value_ > FAILURE_RATE
        if in_a_row or often:
            self._eject(endpoint_id, record, reason, now)

    def take_events(self) -> list[EjectionEvent]:
        """Return and clear what happened since the last call."""
        events = self.events_
        self.events_ = []
        return events

    def _pass_probe(
        self, endpoint_id: EndpointId, record: _Record, slowness: float, now: float
    ) -> None:
        record.probe_out_ = False
        if slowness > self._slowness_limit(endpoint_id):
            self._eject(endpoint_id, record, "probe was slow", now)
            return
        record.probes_passed_ += 1
        if record.probes_passed_ < PROBES_TO_RESTORE:
            return
        record.reset()
        record.ejections_ = 0
        self._set_state(endpoint_id, EndpointState.ACTIVE, "probes passed")

    def _slowness_limit(self, endpoint_id: EndpointId) -> float:
        others = [
            record.slowness_.value_
            for other_id, record in self.records_by_id_.items()
            if other_id != endpoint_id and record.slowness_.count_ >= SLOWNESS_NEEDED
        ]
        if len(others) < 2:
            return float("inf")
        return max(SLOWNESS_FLOOR, SLOWNESS_RATIO * median_low(others))

    def _eject(
        self, endpoint_id: EndpointId, record: _Record, reason: str, now: float
    ) -> None:
        record.probe_out_ = False
        if record.state_ is EndpointState.ACTIVE and not self._below_cap():
            return
        duration_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2.0**record.ejections_)
        # Jitter keeps the entries from probing a recovering endpoint all at once.
        record.until_ = now + duration_s * self.random.uniform(0.75, 1.25)
        record.ejections_ = min(record.ejections_ + 1, 10)
        record.failures_in_a_row_ = 0
        self._set_state(endpoint_id, EndpointState.EJECTED, reason)

    def _below_cap(self) -> bool:
        states = [record.state_ for record in self.records_by_id_.values()]
        out = sum(state is not EndpointState.ACTIVE for state in states)
        # In a small pool the fraction allows none, yet one of two may still go.
        allowed = max(int(self.cap * len(states)), 1 if len(states) > 1 else 0)
        return out < allowed

    def _set_state(
        self, endpoint_id: EndpointId, state: EndpointState, reason: str
    ) -> None:
        self.records_by_id_[endpoint_id].state_ = state
        self.events_.append(EjectionEvent(endpoint_id, state, reason))
