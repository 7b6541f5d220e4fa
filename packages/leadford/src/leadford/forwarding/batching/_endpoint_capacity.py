"""Say whether an endpoint of a batched stage takes another call, and its room.

Owned by `CapacityTable`. Room is an estimate: endpoints do not say what is left, so
results are counted from their call until they are freed or end by themselves.
"""

import msgspec

from leadford.common import EndpointId
from leadford.forwarding.routes import PieceLimits, ResultHandle

# Seconds without a call after an endpoint said that its queue is full.
PAUSE_FULL_S = 0.06
# Seconds without a call after an endpoint had no room for a result.
PAUSE_ROOM_S = 0.03
# Part of a call's fixed time that it waits for room.
ROOM_WAIT_PART = 0.6
# Seconds that refused room is believed to be taken.
REFUSED_TRUSTED_S = 0.3
# Stands for the results that this process does not know.
UNKNOWN = ResultHandle("")


class HeldResult(msgspec.Struct, frozen=True):
    """Hold the size of a result and when it ends by itself."""

    result_bytes: int
    expires_at: float


class EndpointCapacity:
    """Say whether an endpoint takes another call, and how much room is left there."""

    def __init__(self, *, endpoint_id: EndpointId, limits: PieceLimits) -> None:
        self.endpoint_id = endpoint_id
        self.limits = limits
        self.calls_ = 0
        self.busy_until_ = 0.0
        self.paused_until_ = 0.0
        self.calling_bytes_ = 0
        self.short_since_: float | None = None
        self.held_by_handle_: dict[ResultHandle, HeldResult] = {}

    def room_bytes(self, now: float) -> int:
        """Return the room that results of this process leave."""
        for handle in [
            handle
            for handle, held in self.held_by_handle_.items()
            if held.expires_at <= now
        ]:
            del self.held_by_handle_[handle]
        held_bytes = sum(held.result_bytes for held in self.held_by_handle_.values())
        return self.limits.room_bytes - held_bytes - self.calling_bytes_

    def awaits_room(self, wanted_bytes: int, now: float) -> bool:
        """Tell whether a call that is short of room should wait a little for more.

        A call costs much more than a piece in it, so a short wait pays when readers
        are about to release results. The wait is bounded.
        """
        if wanted_bytes <= self.room_bytes(now):
            self.short_since_ = None
            return False
        if self.short_since_ is None:
            self.short_since_ = now
        room_wait_s = ROOM_WAIT_PART * self.limits.call_ms / 1_000.0
        return bool(self.held_by_handle_) and now - self.short_since_ < room_wait_s

    def is_free(self, now: float) -> bool:
        """Tell whether the endpoint may get a call now."""
        return self.calls_ < self.limits.slots and now >= self.paused_until_

    def free_in_s(self, now: float) -> float:
        """Return when the endpoint is expected to be free for another call."""
        pause_s = max(0.0, self.paused_until_ - now)
        if self.calls_ < self.limits.slots:
            return pause_s
        return max(pause_s, self.busy_until_ - now, 0.0)

    def begin(self, pieces: int, result_bytes: int, now: float) -> None:
        """Count a call that leaves now."""
        self.calls_ += 1
        self.short_since_ = None
        self.calling_bytes_ += result_bytes
        self.busy_until_ = now + self.limits.duration_ms(pieces) / 1_000.0

    def end(self, result_bytes: int) -> None:
        """Count a call that came back or was lost."""
        self.calls_ -= 1
        self.calling_bytes_ -= result_bytes

    def hold(self, handle: ResultHandle, result_bytes: int, now: float) -> None:
        """Count a result that occupies room until it is freed."""
        expires_at = now + self.limits.retention_s
        self.held_by_handle_[handle] = HeldResult(result_bytes, expires_at)

    def record_refused(
        self, believed_bytes: int, fitted_bytes: int, now: float
    ) -> None:
        """Record that room was refused: results that are not known here take it.

        A scheduler that was lost leaves such results; they end by themselves.
        """
        unknown_bytes = believed_bytes - fitted_bytes
        if unknown_bytes <= 0:
            return
        expires_at = now + REFUSED_TRUSTED_S
        self.held_by_handle_[UNKNOWN] = HeldResult(unknown_bytes, expires_at)

    def free(self, handle: ResultHandle) -> None:
        """Count a result that was freed."""
        self.held_by_handle_.pop(handle, None)

    def pause(self, seconds: float, now: float) -> None:
        """Send nothing for a while."""
        self.paused_until_ = max(self.paused_until_, now + seconds)
