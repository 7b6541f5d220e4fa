"""Forecast how long the stages of a request take, with and without the backlog.

Used by admission, and decides nothing itself. Call durations come from the
configuration, and the pieces ahead of a request from the admitted backlog of all
entries.
"""

from collections.abc import Callable, Iterable, Mapping

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

    def calls_s(self, count: int, others: float = 0.0) -> float:
        """Return how long the calls take that make a number of pieces of one request.

        A call lasts for all pieces in it; `others` pieces wait to be called with them
        at each endpoint.

        Units: seconds.
        """
        limits = self.limits
        rounds = -(-count // (limits.batch * self._call_count))
        pieces = min(limits.batch, count + others)
        return rounds * limits.duration_ms(pieces) / 1_000.0

    def others(self, admitted: int, start_s: float) -> float:
        """Return how many of the admitted pieces of all requests each endpoint has.

        Those of requests that have not reached the stage yet are left out, as if they
        were as far on their way as a request that reaches it after `start_s`.

        Units: start_s in seconds.
        """
        at_stage_fraction = self.call_s / (start_s + self.call_s)
        return admitted * at_stage_fraction / self._call_count

    @property
    def _call_count(self) -> int:
        """Return how many calls run side by side."""
        return max(1, round(self.endpoints))


class _StageTimes(msgspec.Struct, frozen=True):
    """Hold when a stage starts and ends if nothing delays it.

    Units: seconds from the start of the first stage; shared_s is the part that its
    calls take for pieces of other requests.
    """

    start_s: float
    end_s: float
    shared_s: float = 0.0


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
        """Return the duration of the critical path if the request were alone.

        Units: seconds.
        """
        return _path_s(self._times({}))

    def shared_path_s(self, backlog: AdmittedBacklog, now: float) -> float:
        """Return the duration of the critical path in calls shared with other requests.

        Units: seconds.
        """
        return _path_s(self._times(self._admitted_pieces(backlog, now)))

    def _admitted_pieces(
        self, backlog: AdmittedBacklog, now: float
    ) -> dict[ServiceId, int]:
        """Return the pieces of all requests at the services of the stages."""
        return {
            stage.service_id: backlog.widest_sum(stage.service_id, now).total
            for stage in self.route.stages
        }

    def _times(self, admitted_by_service: Mapping[ServiceId, int]) -> list[_StageTimes]:
        """Return when each stage starts and ends."""
        times: list[_StageTimes] = []
        for stage, count in zip(self.route.stages, self.counts, strict=True):
            start_s = max((times[before].end_s for before in stage.after), default=0.0)
            capacity = self.capacity_by_service.get(stage.service_id)
            if count == 0 or capacity is None:
                times.append(_StageTimes(start_s, start_s))
                continue
            admitted = admitted_by_service.get(stage.service_id, 0)
            alone_s = capacity.calls_s(count)
            calls_s = capacity.calls_s(count, capacity.others(admitted, start_s))
            end_s = start_s + calls_s
            times.append(_StageTimes(start_s, end_s, calls_s - alone_s))
        return times

    def delays(
        self, backlog: AdmittedBacklog, now: float, *, is_late: bool
    ) -> list[StageDelay]:
        """Return the delay by the backlog of each stage, beyond the shared path.

        It follows from the configured call durations, or from the actual throughput of
        a stage that is behind. A stage computes its backlog while a request is on its
        way to it. All pieces that are in time go before those of a late request, also
        those that are admitted meanwhile.

        The delay is infinite where a stage has no endpoint.
        """
        times = self._times(self._admitted_pieces(backlog, now))
        found = []
        for number, stage in enumerate(self.route.stages):
            if self.counts[number] == 0:
                continue
            start_s = times[number].start_s
            delay_s = self._delay_s(number, backlog, start_s, now, is_late=is_late)
            # The pieces in its own calls are a part of the backlog.
            delay_s = max(0.0, delay_s - times[number].shared_s)
            found.append(StageDelay(delay_s, stage.service_id))
        return found

    def _delay_s(
        self,
        number: int,
        backlog: AdmittedBacklog,
        start_s: float,
        now: float,
        *,
        is_late: bool,
    ) -> float:
        """Return the delay by the backlog of one stage that starts after `start_s`.

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
                reached_s=start_s,
                now=now,
            )
        # All pieces go before a request of the lowest level.
        is_urgent = self.route.is_urgent and not is_late
        level = LEVEL_HIGHEST if is_urgent else LEVEL_LOWEST
        delay_s = _two_level_delay_s(
            backlog, stage.service_id, level, capacity_s=capacity_s, now=now
        )
        return delay_s if is_late else max(0.0, delay_s - start_s)

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


def _two_level_delay_s(
    backlog: AdmittedBacklog,
    service_id: ServiceId,
    level: int,
    *,
    capacity_s: Callable[[float], float],
    now: float,
) -> float:
    """Return how long a stage takes for the pieces before a request of a level.

    `capacity_s` returns how long all endpoints need for a number of pieces.

    Units: seconds.
    """
    pieces = backlog.pieces_before(
        service_id, level, less_urgent_fraction=LESS_URGENT_FRACTION, now=now
    )
    drain_time_s = backlog.drain_time_s(service_id, level, now)
    return max(capacity_s(pieces), drain_time_s)


def _path_s(times: Iterable[_StageTimes]) -> float:
    """Return when the last stage ends, in seconds from the start of the first."""
    return max((stage.end_s for stage in times), default=0.0)
