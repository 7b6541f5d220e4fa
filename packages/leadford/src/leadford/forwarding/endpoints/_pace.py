"""Estimate the pace of one endpoint: the relative duration of its work.

A pace of 2 means that work takes twice as long as usual.

Owned by `EndpointRecord`, so each start of an endpoint begins with a new estimate. An
endpoint reports its momentary pace, which changes many times a second because it shares
its host with others. The report may or may not include how fast the endpoint is in
general. Therefore two averages are kept: of the reported paces, and of the residuals. A
residual is the ratio of a measured pace to the pace that was reported then.

- While the report is current, the estimate is the reported pace times the average
  residual.
- Afterwards it is the long-term pace, times a recent deviation that decays. The
  long-term pace is the product of both averages, averaged with the long-term paces that
  other entries measured.

`_paces` compares the endpoints of a service. Averages are of logarithms, so that twice
as fast and twice as slow cancel out.
"""

import math

import msgspec

from leadford.common import EntryId
from leadford.forwarding.endpoints._model import MAX_PACE, MIN_PACE

# How long the pace that an endpoint reports of itself counts as current.
REPORTED_PACE_FRESH_S = 0.6
# Weights of the newest value in the averages, from 0 to 1.
LONG_TERM_WEIGHT = 0.1
RECENT_WEIGHT = 0.4
# Half-lives of measured deviations from the usual pace, so that an endpoint that gets
# no work is tried again.
RECENT_HALF_LIFE_S = 2.0
LONG_TERM_HALF_LIFE_S = 60.0
# Reports of other entries expire at this age of the newest measurement.
PEER_PACE_MAX_AGE_S = 3.0
# Maximum number of measurements that count, here or at another entry.
MAX_COUNTED_SAMPLES = 20
# Weight of the prior, which is the usual pace unless stated, in measurements.
PRIOR_SAMPLES = 1


class MeasuredPace(msgspec.Struct, frozen=True):
    """Hold the long-term pace that one entry measured of an endpoint.

    Units: samples counts measurements; measured_at is the time of the newest one in
    seconds of the monotonic clock.
    """

    pace: float
    samples: int
    measured_at: float

    @property
    def is_valid(self) -> bool:
        """Tell whether the values can be those of a measurement."""
        is_time = math.isfinite(self.measured_at)
        return MIN_PACE <= self.pace <= MAX_PACE and self.samples >= 1 and is_time


class EndpointPace:
    """Combine what an endpoint reports with what this entry and others measured.

    Units: every pace and ratio is a duration divided by the usual one; `now` in seconds
    of the monotonic clock.
    """

    def __init__(self) -> None:
        # Whether this start of the endpoint ever reported a pace, here or to others.
        self.is_reported_ = False
        self.log_reported_ = 0.0
        self.reported_at_ = -math.inf
        self.is_report_overruled_ = False
        self.log_reported_mean_ = 0.0
        self.report_count_ = 0
        self.log_residual_ = 0.0
        self.measurements_ = 0
        self.measured_at_ = -math.inf
        self.log_recent_ = 0.0
        self.recent_at_ = -math.inf
        self.measured_by_peer_: dict[EntryId, MeasuredPace] = {}
        # The sum over the reports of peers, kept because each choice needs it, and when
        # the first of these reports expires.
        self.peer_samples_ = 0
        self.peer_log_sum_ = 0.0
        self.peers_expire_at_ = math.inf
        self.peers_measured_at_ = -math.inf

    def record_reported(self, pace: float, now: float) -> None:
        """Record the pace that an answer of the endpoint reports."""
        self.is_reported_ = True
        self.is_report_overruled_ = False
        self.log_reported_ = math.log(pace)
        self.log_reported_mean_ = self._decayed_reported_mean(now)
        self.report_count_ += 1
        weight = max(LONG_TERM_WEIGHT, 1.0 / self.report_count_)
        self.log_reported_mean_ += weight * (
            self.log_reported_ - self.log_reported_mean_
        )
        self.reported_at_ = now

    def record_measured(self, ratio: float, now: float) -> None:
        """Record the ratio of a measured duration to the usual duration."""
        residual = math.log(_bounded(ratio / self.reported_pace(now)))
        self.log_recent_ = self._decayed_recent(now)
        self.log_recent_ += RECENT_WEIGHT * (
            residual - self._log_residual(now) - self.log_recent_
        )
        self.recent_at_ = now
        self.log_residual_ = self._decayed_residual(now)
        self.measurements_ += 1
        weight = max(LONG_TERM_WEIGHT, 1.0 / self.measurements_)
        self.log_residual_ += weight * (residual - self.log_residual_)
        self.measured_at_ = now

    def record_overdue(self, ratio: float, now: float) -> None:
        """Record that work has lasted this multiple of the usual duration so far.

        The pace that the endpoint reported before no longer counts.
        """
        self.is_report_overruled_ = True
        deviation = math.log(_bounded(ratio)) - self._log_long_term(now)
        self.log_recent_ = max(self._decayed_recent(now), deviation)
        self.recent_at_ = now

    def record_peer(self, entry_id: EntryId, measured: MeasuredPace) -> bool:
        """Record what another entry measured; return False if it cannot be true.

        Entries report only endpoints that report a pace.
        """
        if not measured.is_valid:
            return False
        self.is_reported_ = True
        self.measured_by_peer_[entry_id] = measured
        self.peers_expire_at_ = -math.inf
        self.peers_measured_at_ = max(self.peers_measured_at_, measured.measured_at)
        return True

    def estimate(self, now: float, *, log_prior: float = 0.0) -> float:
        """Return the pace; `log_prior` is the logarithm of the pace without samples."""
        if self._is_report_fresh(now):
            return _bounded(math.exp(self.log_reported_ + self._log_residual(now)))
        log_long_term = self._log_long_term(now, log_prior=log_prior)
        return _bounded(math.exp(log_long_term + self._decayed_recent(now)))

    def reported_pace(self, now: float) -> float:
        """Return the pace that the endpoint reports now, or reported on average."""
        is_fresh = self._is_report_fresh(now)
        return math.exp(
            self.log_reported_ if is_fresh else self._decayed_reported_mean(now)
        )

    def measured(self, now: float) -> MeasuredPace | None:
        """Return the long-term pace that this entry itself observed, if any."""
        log_pace = self.log_measured(now)
        if log_pace is None:
            return None
        return MeasuredPace(
            _bounded(math.exp(log_pace)), self._own_samples, self.own_sample_at
        )

    def log_measured(self, now: float) -> float | None:
        """Return the logarithm of the long-term pace that this entry observed."""
        if self._own_samples == 0:
            return None
        return self._decayed_reported_mean(now) + self._log_residual(now)

    @property
    def own_sample_at(self) -> float:
        """Return the time of the newest report or measurement at this entry."""
        return max(self.reported_at_, self.measured_at_)

    def is_tried(self, now: float) -> bool:
        """Tell whether the endpoint has shown that it answers."""
        self._expire_peers(now)
        return self.is_reported_ or self._own_samples > 0 or self.peer_samples_ > 0

    def age_s(self, now: float) -> float:
        """Return the time since the newest report or measurement of any kind.

        Units: seconds; infinite if there was none, so finite where one is reported.
        """
        return now - max(self.own_sample_at, self.peers_measured_at_)

    def _expire_peers(self, now: float) -> None:
        """Forget the reports of peers that are too old, and sum up the others."""
        if now <= self.peers_expire_at_:
            return
        oldest = now - PEER_PACE_MAX_AGE_S
        self.peer_samples_ = 0
        self.peer_log_sum_ = 0.0
        self.peers_expire_at_ = math.inf
        for entry_id, peer in list(self.measured_by_peer_.items()):
            if peer.measured_at < oldest:
                del self.measured_by_peer_[entry_id]
                continue
            samples = min(peer.samples, MAX_COUNTED_SAMPLES)
            self.peer_samples_ += samples
            self.peer_log_sum_ += samples * math.log(peer.pace)
            expires_at = peer.measured_at + PEER_PACE_MAX_AGE_S
            self.peers_expire_at_ = min(self.peers_expire_at_, expires_at)

    def _log_long_term(self, now: float, *, log_prior: float = 0.0) -> float:
        """Return the logarithm of the long-term pace, averaged over all entries."""
        self._expire_peers(now)
        own = self._own_samples
        total = PRIOR_SAMPLES * log_prior + self.peer_log_sum_
        total += own * (self._decayed_reported_mean(now) + self._log_residual(now))
        return total / (PRIOR_SAMPLES + own + self.peer_samples_)

    @property
    def _own_samples(self) -> int:
        return min(max(self.report_count_, self.measurements_), MAX_COUNTED_SAMPLES)

    def _is_report_fresh(self, now: float) -> bool:
        is_recent = now - self.reported_at_ <= REPORTED_PACE_FRESH_S
        return is_recent and not self.is_report_overruled_

    def _log_residual(self, now: float) -> float:
        """Return the logarithm of the average residual; the prior of it is 1."""
        count = min(self.measurements_, MAX_COUNTED_SAMPLES)
        return self._decayed_residual(now) * count / (count + PRIOR_SAMPLES)

    def _decayed_residual(self, now: float) -> float:
        return _decayed(
            self.log_residual_, now - self.measured_at_, LONG_TERM_HALF_LIFE_S
        )

    def _decayed_reported_mean(self, now: float) -> float:
        age_s = now - self.reported_at_
        return _decayed(self.log_reported_mean_, age_s, LONG_TERM_HALF_LIFE_S)

    def _decayed_recent(self, now: float) -> float:
        return _decayed(self.log_recent_, now - self.recent_at_, RECENT_HALF_LIFE_S)


def _decayed(value: float, age_s: float, half_life_s: float) -> float:
    return value * 0.5 ** (max(0.0, age_s) / half_life_s) if value else 0.0


def _bounded(pace: float) -> float:
    return min(MAX_PACE, max(MIN_PACE, pace))
