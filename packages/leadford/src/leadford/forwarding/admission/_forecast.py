"""Forecast how long the stages of a request take, with and without the backlog.

Used by admission, and decides nothing itself. Call durations come from the
configuration, and the pieces ahead of a request from the admitted backlog of all
entries.
"""

from collections.abc import Mapping

import msgspec

from leadford.forwarding.admission._levels import LevelForecast
from leadford.forwarding.batching import AdmittedBacklog
from leadford.forwarding.routes import (
    LEVEL_HIGHEST,
    LEVEL_LOWEST,
    PieceLimits,
    Route,
    ServiceId,
)

# Fraction of the pieces of less urgent routes that counts as ahead of an urgent
# request: pieces that have waited long go first, and running calls are not interrupted.
# The value is only known to work together with LESS_URGENT_DELAY_S of
# `batching/_queue`.
LESS_URGENT_FRACTION = 0.1
# Time that an engine takes to read results.
ENGINE_READ_S = 0.2
# Time that results are held for a stage that reads them, in full calls of that stage.
READER_CALL_COUNT = 1.5


class StageCapacity(msgspec.Struct, frozen=True):
    """Hold the limits and the number of usable endpoints of a batched stage.

    Where endpoints report a pace, `endpoints` is the equivalent number of endpoints of
    the usual pace, which may be fractional.
    """

    limits: PieceLimits
    endpoints: float

    def backlog_s(self, pieces: float, result_bytes: int, held_s: float) -> float:
        """Return how long all endpoints together need for a number of pieces.

        They are bounded by the call duration, or by memory, since each result is held
        for `held_s`.

        Units: seconds; infinite without an endpoint.
        """
        if self.endpoints == 0:
            return float("inf")
        piece_s = self.call_s / self.limits.batch
        if self.limits.room_bytes > 0:
            piece_s = max(piece_s, result_bytes * held_s / self.limits.room_bytes)
        return pieces * piece_s / self.endpoints

    @property
    def call_s(self) -> float:
        """Return the duration of a full call."""
        return self.limits.full_call_s


class StageDelay(msgspec.Struct, frozen=True):
    """Hold the delay of one stage by its backlog, and the service of the stage.

    Units: delay_s in seconds.
    """

    delay_s: float = 0.0
    service_id: ServiceId | None = None


class StageForecast:
    """Forecast the stages of one request from the present capacity of their services.

    `counts` holds the number of pieces of each stage; `level_forecast` forecasts the
    delay at contended services.
    """

    def __init__(
        self,
        *,
        route: Route,
        counts: tuple[int, ...],
        capacity_by_service: Mapping[ServiceId, StageCapacity],
        level_forecast: LevelForecast | None = None,
    ) -> None:
        self.route = route
        self.counts = counts
        self.capacity_by_service = capacity_by_service
        self.level_forecast = level_forecast

    def critical_path_s(self) -> float:
        """Return the duration of the critical path of the stages, without a backlog.

        Units: seconds.
        """
        return max(self._done_s(), default=0.0)

    def _done_s(self) -> list[float]:
        """Return when each stage ends without a backlog, from the start of the first.

        Units: seconds.
        """
        done_s: list[float] = []
        for stage, count in zip(self.route.stages, self.counts, strict=True):
            start_s = max((done_s[before] for before in stage.after), default=0.0)
            capacity = self.capacity_by_service.get(stage.service_id)
            if count == 0 or capacity is None:
                done_s.append(start_s)
                continue
            limits = capacity.limits
            rounds = -(-count // (limits.batch * max(1, round(capacity.endpoints))))
            call_s = limits.duration_ms(min(count, limits.batch)) / 1_000.0
            done_s.append(start_s + rounds * call_s)
        return done_s

    def _reached_s(self, number: int) -> float:
        """Return when a stage starts without a backlog, from the start of the first.

        Units: seconds.
        """
        done_s = self._done_s()
        before = self.route.stages[number].after
        return max((done_s[earlier] for earlier in before), default=0.0)

    def delays(
        self, backlog: AdmittedBacklog, now: float, *, is_late: bool
    ) -> list[StageDelay]:
        """Return the delay by the backlog of each stage that the request needs.

        It follows from the configured call durations, or from the actual throughput of
        a stage that is behind. All pieces that are in time go before those of a late
        request.

        The delay is infinite where a stage has no endpoint.
        """
        found = []
        for number, stage in enumerate(self.route.stages):
            if self.counts[number] == 0:
                continue
            delay_s = self._delay_s(number, backlog, now, is_late=is_late)
            found.append(StageDelay(delay_s, stage.service_id))
        return found

    def _delay_s(
        self, number: int, backlog: AdmittedBacklog, now: float, *, is_late: bool
    ) -> float:
        """Return the delay by the backlog of one stage.

        Units: seconds.
        """
        stage = self.route.stages[number]
        capacity = self.capacity_by_service.get(stage.service_id)
        if capacity is None:
            return float("inf")
        held_s = capacity.call_s + self._read_s(number)

        def capacity_s(pieces: float) -> float:
            return capacity.backlog_s(pieces, stage.result_bytes, held_s)

        level_forecast = self.level_forecast
        if (
            level_forecast
            and level_forecast.is_contended(stage.service_id)
            and not is_late
        ):
            return level_forecast.delay_s(
                backlog,
                stage.service_id,
                less_urgent_fraction=LESS_URGENT_FRACTION,
                capacity_s=capacity_s,
                reached_s=self._reached_s(number),
                now=now,
            )
        # All pieces go before a request of the lowest level.
        is_urgent = self.route.is_urgent and not is_late
        level = LEVEL_HIGHEST if is_urgent else LEVEL_LOWEST
        pieces = backlog.pieces_before(
            stage.service_id,
            level,
            less_urgent_fraction=LESS_URGENT_FRACTION,
            now=now,
        )
        drain_time_s = backlog.drain_time_s(stage.service_id, level, now)
        return max(capacity_s(pieces), drain_time_s)

    def pieces_by_service(self) -> dict[ServiceId, int]:
        """Return the number of pieces that the request needs from each service."""
        pieces: dict[ServiceId, int] = {}
        for stage, count in zip(self.route.stages, self.counts, strict=True):
            pieces[stage.service_id] = pieces.get(stage.service_id, 0) + count
        return pieces

    def _read_s(self, number: int) -> float:
        """Return how long results of a stage are held until their readers are done."""
        longest_s = ENGINE_READ_S
        for later, count in zip(self.route.stages, self.counts, strict=True):
            capacity = self.capacity_by_service.get(later.service_id)
            if number in later.after and count > 0 and capacity is not None:
                longest_s = max(longest_s, READER_CALL_COUNT * capacity.call_s)
        return longest_s
