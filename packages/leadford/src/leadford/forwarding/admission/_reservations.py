"""Remember who was refused and told when to come back.

Owned by an entry; other entries tell theirs by heartbeats (`take_unsent`). Admission
asks whether a request is one that returns. Nothing here decides.
"""

from collections import OrderedDict

import msgspec

from leadford.forwarding.routes import ServiceId

# Refused requests that are remembered.
RESERVATIONS_KEPT = 400
# Seconds after the time to come back for which a request that comes counts as returned.
RETURN_FRESH_S = 12.0


class RetryReservation(msgspec.Struct, frozen=True):
    """Hold a refused request that was told when to come back.

    Entries of earlier versions count the pieces that it will ask for; nothing here
    does.

    Units: return_at and known_at (when it was refused here, or another entry told it)
    in seconds of the monotonic clock.
    """

    fingerprint: str
    return_at: float
    is_urgent: bool
    pieces_by_service: dict[ServiceId, int]
    known_at: float


class RetryReservations:
    """Remember who was told to come back when, here and at other entries.

    A request that returns is told apart from newcomers by its fingerprint.
    """

    def __init__(self) -> None:
        self.by_fingerprint_: OrderedDict[str, RetryReservation] = OrderedDict()
        self.unsent_: list[RetryReservation] = []

    def record(self, reservation: RetryReservation, *, is_own: bool) -> None:
        """Record a refusal; that it was refused before stays known."""
        known = self.by_fingerprint_.get(reservation.fingerprint)
        if known is not None:
            known_at = min(known.known_at, reservation.known_at)
            reservation = msgspec.structs.replace(reservation, known_at=known_at)
        self.by_fingerprint_[reservation.fingerprint] = reservation
        self.by_fingerprint_.move_to_end(reservation.fingerprint)
        while len(self.by_fingerprint_) > RESERVATIONS_KEPT:
            self.by_fingerprint_.popitem(last=False)
        if is_own:
            self.unsent_.append(reservation)

    def take_unsent(self) -> list[RetryReservation]:
        """Return the refusals that other entries have not been told of."""
        unsent = self.unsent_
        self.unsent_ = []
        return unsent

    def refused(self, fingerprint: str, now: float) -> RetryReservation | None:
        """Return what is known of a request that was refused a short while ago."""
        reservation = self.by_fingerprint_.get(fingerprint)
        if reservation is None or now - reservation.return_at >= RETURN_FRESH_S:
            return None
        return reservation
