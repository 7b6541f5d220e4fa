"""Remember who was refused and told when to come back.

Owned by an entry; other entries tell theirs by heartbeats (`take_unsent`). Admission
asks whether a request is one that returns, and how much work is yet to return. Nothing
here decides.
"""

from collections import OrderedDict

import msgspec

from leadford.forwarding.routes import ServiceId

# Refused requests that are remembered; commit 33a2606, not measured.
REFUSED_KEPT = 400
# Seconds after the time to come back for which a request that comes counts as returned;
# commit 33a2606, not measured.
REFUSED_FRESH_S = 12.0
# Seconds after the time to come back for which a request is still expected; commit
# 33a2606, not measured.
RETURN_GRACE_S = 0.6


class Promise(msgspec.Struct, frozen=True):
    """Hold a refused request that was told when to come back.

    Units: return_at in seconds of the monotonic clock.
    """

    fingerprint: str
    return_at: float
    is_urgent: bool
    pieces_by_service: dict[ServiceId, int]


class RefusedMemory:
    """Remember who was told to come back when, here and at other entries.

    A request that returns is let in if it can still be served at all, and the work
    of those that are yet to return stands before that of newcomers.
    """

    def __init__(self) -> None:
        self.promises_by_print_: OrderedDict[str, Promise] = OrderedDict()
        self.unsent_: list[Promise] = []

    def note(self, promise: Promise, *, is_own: bool) -> None:
        """Take in a refusal."""
        self.promises_by_print_[promise.fingerprint] = promise
        self.promises_by_print_.move_to_end(promise.fingerprint)
        while len(self.promises_by_print_) > REFUSED_KEPT:
            self.promises_by_print_.popitem(last=False)
        if is_own:
            self.unsent_.append(promise)

    def take_unsent(self) -> list[Promise]:
        """Return the refusals that other entries have not been told of."""
        unsent = self.unsent_
        self.unsent_ = []
        return unsent

    def is_return(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request was refused a short while ago."""
        promise = self.promises_by_print_.get(fingerprint)
        return promise is not None and now - promise.return_at < REFUSED_FRESH_S

    def pieces_promised(
        self, service_id: ServiceId, is_urgent: bool, now: float
    ) -> int:
        """Return how many pieces will come back that go before those of a request."""
        return sum(
            promise.pieces_by_service.get(service_id, 0)
            for promise in self.promises_by_print_.values()
            if now - promise.return_at < RETURN_GRACE_S
            and promise.is_urgent >= is_urgent
        )

    def note_returned(self, fingerprint: str, now: float) -> None:
        """Take in that a request has come back; it is remembered as one that did."""
        promise = self.promises_by_print_.get(fingerprint)
        if promise is not None:
            done = msgspec.structs.replace(
                promise, return_at=min(promise.return_at, now - RETURN_GRACE_S)
            )
            self.promises_by_print_[fingerprint] = done
