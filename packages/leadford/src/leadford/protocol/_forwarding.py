"""Messages between entries that forward requests on the users' platform.

Entries report their state in heartbeats, ask each other for configurations and
listings, and report the requests under which endpoints ended. Messages about pieces,
placement and the store are in modules of their own.
"""

from leadford.protocol._base import PROTOCOL_UNTOLD, MessageBase


class GroupReport(MessageBase):
    """Report how long a piece waits in a group, and the room there for results.

    Units: wait_ms in milliseconds; room_bytes in bytes.
    """

    service_id: str
    place: str
    wait_ms: float
    room_bytes: int


class CommitmentReport(MessageBase):
    """Report how many admitted pieces of a service this entry still has to complete."""

    service_id: str
    is_urgent: bool
    pieces: int


class RefusalReport(MessageBase):
    """Report a refused request: when it may return, and the pieces that it needs.

    Units: return_ms in milliseconds from now; pieces counts pieces by service.
    """

    fingerprint: str
    return_ms: float
    is_urgent: bool
    pieces: dict[str, int]


class LaneReport(MessageBase):
    """Report what this entry still occupies at an endpoint of another scheduler."""

    endpoint_id: str
    result_bytes: int
    calls: int


class EntryHeartbeat(MessageBase, tag=33):
    """Report that an entry is alive, which listing it has seen, and its groups.

    `lowest_version` is the oldest protocol version among the entry and its links.
    `config_confirmed_ms` is when the store last confirmed to this entry itself that its
    configuration is the newest one, None if it never did. `late_part` is the part of
    the last second for which its event loop was late, 1 if it takes no callers, None if
    the build does not tell.

    Units: milliseconds of the monotonic clock of the sender.
    """

    listing_revision: int
    groups: list[GroupReport] = []
    is_draining: bool = False
    commitments: list[CommitmentReport] = []
    refused: list[RefusalReport] = []
    lanes: list[LaneReport] = []
    lowest_version: int = PROTOCOL_UNTOLD
    listing_epoch: int = 0
    sent_ms: float = 0.0
    config_confirmed_ms: float | None = None
    late_part: float | None = None


class EntryAddress(MessageBase):
    """Report the address and the hall of an entry."""

    entry_id: str
    address: str
    hall: str


class EntryListing(MessageBase, tag=39):
    """Tell a new peer which entries are known, in case the store is unavailable."""

    entries: list[EntryAddress]


class ForwardConfigRequest(MessageBase, tag=34):
    """Ask for the forwarding configuration that the peer uses."""

    known_version: int


class ForwardConfigAnswer(MessageBase, tag=35):
    """Answer with a forwarding configuration in leadford's own format."""

    version: int
    config: bytes


class ConfigPartRequest(MessageBase, tag=40):
    """Ask for a part of a configuration; version 0 asks for the newest.

    Units: offset in bytes of the encoded configuration.
    """

    known_version: int
    version: int
    offset: int


class ConfigPartAnswer(MessageBase, tag=41):
    """Answer with a part of a configuration.

    Units: total and offset in bytes of the encoded configuration.
    """

    version: int
    total: int
    offset: int
    data: bytes


class ListingRequest(MessageBase, tag=36):
    """Ask for the peer's listing of endpoints."""

    known_revision: int
    known_epoch: int = 0


class ListingAnswer(MessageBase, tag=37):
    """Answer with the endpoints that are listed at a revision of the store."""

    revision: int
    endpoints: bytes
    epoch: int = 0


class HallReport(MessageBase):
    """Report whether a hall was evacuated at a revision of the store."""

    hall: str
    revision: int
    is_evacuated: bool
    epoch: int = 0


class EvacuationReport(MessageBase, tag=42):
    """Report every hall that is evacuated, or no longer is."""

    halls: list[HallReport]


class BacklogReport(MessageBase):
    """Report the admitted pieces of a service over some entries, and its throughput.

    Units: pieces per second, of all pieces and of the less urgent ones; negative if the
    service is not behind, so that its throughput is unknown.
    """

    service_id: str
    entries: int
    urgent: int
    less_urgent: int
    pieces_per_s: float = -1.0
    less_urgent_per_s: float = -1.0


class FleetBacklog(MessageBase, tag=43):
    """Report services' admitted backlog over all entries that report to the sender."""

    services: list[BacklogReport]


class CrashReport(MessageBase):
    """Report an endpoint that closed a connection under a request.

    Units: age_ms in milliseconds at the time of the report.
    """

    case_id: int
    digest: str
    endpoint_id: str
    is_under_way: bool
    age_ms: float = 0.0


class CrashNews(MessageBase, tag=51):
    """Report the requests under which endpoints ended, and withdraw earlier reports.

    `alive` are endpoints that proved to be alive; `answered` are works that were
    answered.
    """

    cases: list[CrashReport] = []
    alive: list[str] = []
    answered: list[str] = []


class LimitReport(MessageBase):
    """Report the rate limit that an endpoint named, or that it has none any more.

    Units: per_s in requests per second, negative if the limit has ended; age_ms in
    milliseconds since that was known.
    """

    endpoint_id: str
    per_s: float
    age_ms: float


class LimitNews(MessageBase, tag=53):
    """Report the limits that endpoints named, and those that have just ended."""

    limits: list[LimitReport]
