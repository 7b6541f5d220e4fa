"""Track the free slots and the room for results at one endpoint of a batched stage.

Owned by `CapacityTable`. Room is an estimate: endpoints do not report what is left, so
results are counted from their call until they are freed or expire.
"""

import msgspec

from leadford.common import EndpointId
from leadford.forwarding.batching._policy import USUAL_CALLS, FillPolicy
from leadford.forwarding.routes import PieceLimits, ResultHandle

# No calls for this time after an endpoint reported that its queue is full.
QUEUE_FULL_PAUSE_S = 0.06
# No calls for this time after an endpoint had no room for a result.
NO_ROOM_PAUSE_S = 0.03
# Longest wait of a call for room, as a fraction of the fixed duration of a call.
ROOM_WAIT_FRACTION = 0.6
# Room that an endpoint refused counts as occupied for this time.
REFUSED_ROOM_MAX_AGE_S = 0.3
# Factor by which each repeated refusal prolongs that time.
REPEATED_REFUSAL_FACTOR = 2.0
# Key of the room that is occupied by results unknown to this process.
UNKNOWN_RESULTS = ResultHandle("")


class HeldResult(msgspec.Struct, frozen=True):
    """Hold the size of a result and the time at which it expires."""

    result_bytes: int
    expires_at: float


class RefusedRoom(msgspec.Struct, frozen=True):
    """Hold the room that an endpoint refused, in a series of refusals.

    Units: lifetime_s in seconds, how long the room counts as occupied after the last
    refusal; expires_at and first_refused_at in seconds of the monotonic clock.
    """

    result_bytes: int
    lifetime_s: float
    expires_at: float
    first_refused_at: float


class EndpointCapacity:
    """Track the calls at one endpoint and the room for results there."""

    def __init__(self, *, endpoint_id: EndpointId, limits: PieceLimits) -> None:
        self.endpoint_id = endpoint_id
        self.limits = limits
        self.calls_ = 0
        self.busy_until_ = 0.0
        self.paused_until_ = 0.0
        self.in_flight_bytes_ = 0
        self.room_short_since_: float | None = None
        self.refused_: RefusedRoom | None = None
        self.held_by_handle_: dict[ResultHandle, HeldResult] = {}

    def room_bytes(self, now: float) -> int:
        """Return the room left after the results of this process."""
        for handle in [
            handle
            for handle, held in self.held_by_handle_.items()
            if held.expires_at <= now
        ]:
            del self.held_by_handle_[handle]
        held_bytes = sum(held.result_bytes for held in self.held_by_handle_.values())
        return self.limits.room_bytes - held_bytes - self.in_flight_bytes_

    def awaits_room(self, wanted_bytes: int, now: float) -> bool:
        """Tell whether a call that is short of room should wait briefly for more.

        A call costs much more than a piece in it, so a short wait pays off when readers
        are about to release results. The wait is bounded.
        """
        if wanted_bytes <= self.room_bytes(now):
            self.room_short_since_ = None
            return False
        if self.room_short_since_ is None:
            self.room_short_since_ = now
        room_wait_s = ROOM_WAIT_FRACTION * self.limits.call_ms / 1_000.0
        return bool(self.held_by_handle_) and now - self.room_short_since_ < room_wait_s

    def is_free(self, now: float, *, calls_ahead: int = 0) -> bool:
        """Tell whether the endpoint may get a call now.

        `calls_ahead` is the number of calls that may wait there.
        """
        max_calls = self.limits.slots + calls_ahead
        return self.calls_ < max_calls and now >= self.paused_until_

    def free_in_s(self, now: float) -> float:
        """Return how long until the endpoint is expected to take another call."""
        pause_s = max(0.0, self.paused_until_ - now)
        if self.calls_ < self.limits.slots:
            return pause_s
        return max(pause_s, self.busy_until_ - now, 0.0)

    def begin(
        self, pieces: int, result_bytes: int, now: float, pace: float = 1.0
    ) -> None:
        """Count a call that is sent now to an endpoint of a given pace."""
        self.calls_ += 1
        self.room_short_since_ = None
        self.in_flight_bytes_ += result_bytes
        begins_at = now
        if self.calls_ > self.limits.slots:
            # The call waits at the endpoint for one that was sent before.
            begins_at = max(now, self.busy_until_)
        self.busy_until_ = begins_at + self.limits.duration_ms(pieces) / 1_000.0 * pace

    def end(self, result_bytes: int) -> None:
        """Remove a call that was answered or lost."""
        self.calls_ -= 1
        self.in_flight_bytes_ -= result_bytes

    def hold(self, handle: ResultHandle, result_bytes: int, now: float) -> None:
        """Count a result that occupies room until it is freed or expires."""
        expires_at = now + self.limits.retention_s
        self.held_by_handle_[handle] = HeldResult(result_bytes, expires_at)

    def record_refused(
        self,
        believed_bytes: int,
        fitted_bytes: int,
        now: float,
        *,
        sent_at: float = 0.0,
        policy: FillPolicy = USUAL_CALLS,
    ) -> None:
        """Record that results unknown to this process occupy room at the endpoint.

        They are left behind by a scheduler that was lost, and expire by themselves,
        at the latest after their retention. `believed_bytes` was the room when the
        call was sent.
        """
        unknown_bytes = believed_bytes - fitted_bytes
        if unknown_bytes <= 0:
            return
        refused = RefusedRoom(
            unknown_bytes, REFUSED_ROOM_MAX_AGE_S, now + REFUSED_ROOM_MAX_AGE_S, now
        )
        if policy.keeps_refused_room:
            refused = self._continue_series(refused, sent_at)
        self.refused_ = refused
        self.held_by_handle_[UNKNOWN_RESULTS] = HeldResult(
            refused.result_bytes, refused.expires_at
        )

    def _continue_series(self, refused: RefusedRoom, sent_at: float) -> RefusedRoom:
        """Return refused room, combined with that of earlier refusals.

        The unknown results existed at the first refusal of the series, so they have
        expired once their retention has passed since.
        """
        previous = self.refused_
        if previous is None:
            return refused
        now = refused.first_refused_at
        expired_at = previous.first_refused_at + self.limits.retention_s
        if now >= expired_at:
            return refused
        refused_bytes = refused.result_bytes
        if sent_at < previous.expires_at:
            # The room that was believed did not include what was refused before.
            refused_bytes += previous.result_bytes
        lifetime_s = previous.lifetime_s * REPEATED_REFUSAL_FACTOR
        return RefusedRoom(
            min(refused_bytes, self.limits.room_bytes),
            lifetime_s,
            max(refused.expires_at, min(now + lifetime_s, expired_at)),
            previous.first_refused_at,
        )

    def free(self, handle: ResultHandle) -> None:
        """Remove a result that was freed."""
        self.held_by_handle_.pop(handle, None)

    def pause(self, seconds: float, now: float) -> None:
        """Allow no calls for a number of seconds."""
        self.paused_until_ = max(self.paused_until_, now + seconds)
