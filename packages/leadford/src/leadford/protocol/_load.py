"""Messages about demand by priority, bookings and the pace of endpoints.

Sent with heartbeats, and only where the services of a configuration need them. An entry
of an earlier build gets none of them.
"""

from leadford.protocol._base import MessageBase

# The throughput of a level that was not measured.
UNKNOWN_PER_S = -1.0


class LevelCount(MessageBase):
    """Report the pieces of one level of priority.

    Units: per_s in pieces per second, the recent throughput of the level, or
    `UNKNOWN_PER_S`.
    """

    level: int
    pieces: int
    per_s: float = UNKNOWN_PER_S


class ServiceLevels(MessageBase):
    """Report the admitted pieces of a service by level, summed over some entries."""

    service_id: str
    entries: int
    levels: list[LevelCount]


class AdmittedLevels(MessageBase, tag=54):
    """Report the pieces that the sender admitted and has not completed, by level."""

    services: list[ServiceLevels]


class FleetLevels(MessageBase, tag=55):
    """Report the pieces by level over all entries that report to the sender.

    Sent by the scheduler of the services.
    """

    services: list[ServiceLevels]


class BookingRequest(MessageBase, tag=56):
    """Ask the scheduler of a service to book capacity for a caller that was refused.

    Units: earliest_ms and latest_ms in milliseconds from now, the limits of the time at
    which the caller may be told to return; pieces counts pieces of the service.
    """

    ask_id: int
    service_id: str
    fingerprint: str
    level: int
    pieces: int
    earliest_ms: float
    latest_ms: float


class BookingAnswer(MessageBase, tag=57):
    """Answer when the caller may return, or that nothing could be booked.

    Units: return_ms in milliseconds from now, negative if nothing was booked.
    """

    ask_id: int
    return_ms: float


class BookingClaim(MessageBase, tag=58):
    """Ask whether capacity is booked for a caller that has returned; claim it if so."""

    ask_id: int
    service_id: str
    fingerprint: str


class BookingClaimAnswer(MessageBase, tag=59):
    """Answer whether the caller has returned as told."""

    ask_id: int
    is_booked: bool


class PaceReport(MessageBase):
    """Report the pace of an endpoint, that is, the relative duration of its work.

    Units: ratio of the duration of its work to the usual one; age_ms in milliseconds
    since the newest measurement; samples counts measurements.
    """

    endpoint_id: str
    ratio: float
    samples: int
    age_ms: float


class PaceNews(MessageBase, tag=60):
    """Report the pace of endpoints that differ from others."""

    paces: list[PaceReport]


class RequestRateReport(MessageBase, tag=65):
    """Report the rate of requests that callers send to the sender.

    Units: requests per second.
    """

    per_s: float


class BusiestEntryNews(MessageBase, tag=66):
    """Tell which entry gets most of the callers, and its fraction of all requests."""

    entry_id: str
    fraction: float
