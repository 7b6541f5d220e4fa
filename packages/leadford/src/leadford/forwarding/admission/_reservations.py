"""Record refused requests and when their callers were told to retry.

Each entry owns such a record, and entries exchange new refusals by heartbeats
(`take_unsent`). Admission uses it to recognize caller retries; nothing is decided here.
"""

from collections import OrderedDict

import msgspec

from leadford.forwarding.routes import ServiceId

MAX_RESERVATIONS = 400
# Time after the announced retry time within which a request still counts as a retry.
RETRY_GRACE_S = 12.0


class RetryReservation(msgspec.Struct, frozen=True):
    """Hold a refused request and when its caller was told to retry.

    Only entries of earlier versions use `pieces_by_service`, the pieces that the retry
    will need.

    Units: seconds of the monotonic clock; known_at is when the request was refused here
    or another entry reported it.
    """

    fingerprint: str
    return_at: float
    is_urgent: bool
    pieces_by_service: dict[ServiceId, int]
    known_at: float


class RetryReservations:
    """Record the refusals of this entry and of others by request fingerprint.

    The fingerprint distinguishes a retry from a first try.
    """

    def __init__(self) -> None:
        self.by_fingerprint_: OrderedDict[str, RetryReservation] = OrderedDict()
        self.unsent_: list[RetryReservation] = []

    def record(self, reservation: RetryReservation, *, is_own: bool) -> None:
        """Record a refusal, and keep the time of the first one of the same request."""
        known = self.by_fingerprint_.get(reservation.fingerprint)
        if known is not None:
            known_at = min(known.known_at, reservation.known_at)
            reservation = msgspec.structs.replace(reservation, known_at=known_at)
        self.by_fingerprint_[reservation.fingerprint] = reservation
        self.by_fingerprint_.move_to_end(reservation.fingerprint)
        while len(self.by_fingerprint_) > MAX_RESERVATIONS:
            self.by_fingerprint_.popitem(last=False)
        if is_own:
            self.unsent_.append(reservation)

    def record_return_time(self, fingerprint: str, return_at: float) -> None:
        """Replace the return time of a request that this entry refused."""
        known = self.by_fingerprint_.get(fingerprint)
        if known is None:
            return
        updated = msgspec.structs.replace(known, return_at=return_at)
        self.by_fingerprint_[fingerprint] = updated
        self.unsent_ = [
            reservation
            for reservation in self.unsent_
            if reservation.fingerprint != fingerprint
        ]
        self.unsent_.append(updated)

    def take_unsent(self) -> list[RetryReservation]:
        """Return and clear the own refusals that other entries have not been sent."""
        unsent = self.unsent_
        self.unsent_ = []
        return unsent

    def find(self, fingerprint: str, now: float) -> RetryReservation | None:
        """Return the reservation of a recently refused request, if there is one."""
        reservation = self.by_fingerprint_.get(fingerprint)
        if reservation is None or now - reservation.return_at >= RETRY_GRACE_S:
            return None
        return reservation
