"""Decide whether an outage of the store explains that records were removed.

A record is removed where its endpoint has left or its heartbeats did not reach the
store. While the store answers, a removed endpoint is gone, however many go with it. The
records of working endpoints lapse in an outage, or just after it.

One budget covers the time from the removal to the arrival of the last request: how late
an entry learns of it, how long it goes on to use the endpoint, and the time in flight.
A removal that the store made while it answered leaves time for the first and the last
only. An entry learns of such a removal before its latest confirmation is as old as the
drain period, so a failed call with an older one shows an outage of the store, or of the
way to it.
"""


class StoreOutage:
    """Keep when the last call was made that failed in an outage of the store.

    `unconfirmed_min_s` is the age that the latest confirmation of the listing never
    reaches while the store answers; `effect_s` is for how long after an outage records
    may still be missing because of it.

    Units: unconfirmed_min_s and effect_s in seconds.
    """

    def __init__(self, *, unconfirmed_min_s: float, effect_s: float) -> None:
        self.unconfirmed_min_s = unconfirmed_min_s
        self.effect_s = effect_s
        self.called_at_: float | None = None

    def record_failed_call(
        self, called_at: float, confirmed_at: float | None, now: float
    ) -> None:
        """Record a call for the listing that failed now.

        `confirmed_at` is the time of the latest confirmation of the listing, None
        before the first one. The outage may have ended at any time after `called_at`: a
        silent store never answers a pending call.

        Units: seconds of the monotonic clock.
        """
        if confirmed_at is not None and now - confirmed_at < self.unconfirmed_min_s:
            return
        self.called_at_ = called_at

    def explains_removal(self, now: float) -> bool:
        """Tell whether an endpoint whose removal is learned now may be working."""
        return self.called_at_ is not None and now - self.called_at_ < self.effect_s
