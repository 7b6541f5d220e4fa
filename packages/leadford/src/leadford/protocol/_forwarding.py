"""Messages between entries that forward on the users' platform.

They tell in heartbeats what they know, ask each other for configurations and listings,
and tell under which work endpoints ended. Those about pieces, placing and the store
stand in modules of their own.
"""

from leadford.protocol._base import PROTOCOL_UNTOLD, MessageBase


class GroupReport(MessageBase):
    """Say how long a group makes a piece wait, and how much room it has.

    Units: wait_ms in milliseconds.
    """

    service_id: str
    place: str
    wait_ms: float
    room_bytes: int


class CommitmentReport(MessageBase):
    """Say how many pieces of a service this entry has admitted and not yet had made."""

    service_id: str
    is_urgent: bool
    pieces: int


class RefusalReport(MessageBase):
    """Say which request was told to come back, when, and what it will need.

    Units: return_ms in milliseconds from now.
    """

    fingerprint: str
    return_ms: float
    is_urgent: bool
    pieces: dict[str, int]


class LaneReport(MessageBase):
    """Say what this entry still has at an endpoint that another one schedules."""

    endpoint_id: str
    result_bytes: int
    calls: int


class EntryHeartbeat(MessageBase, tag=33):
    """Tell that an entry is alive, which listing it has seen, and its groups.

    `lowest_version` is that of the oldest build among the entry and those that it is
    linked to.
    """

    listing_revision: int
    groups: list[GroupReport] = []
    is_draining: bool = False
    commitments: list[CommitmentReport] = []
    refused: list[RefusalReport] = []
    lanes: list[LaneReport] = []
    lowest_version: int = PROTOCOL_UNTOLD
    listing_epoch: int = 0


class EntryAddress(MessageBase):
    """Say where an entry is."""

    entry_id: str
    address: str
    hall: str


class EntryListing(MessageBase, tag=39):
    """Tell a new peer which entries are known, for when the store cannot."""

    entries: list[EntryAddress]


class ForwardConfigRequest(MessageBase, tag=34):
    """Ask for the forwarding configuration that is in force at the peer."""

    known_version: int


class ForwardConfigAnswer(MessageBase, tag=35):
    """Give a forwarding configuration in the product's own form."""

    version: int
    config: bytes


class ConfigPartRequest(MessageBase, tag=40):
    """Ask for a part of a configuration: of a version, or of the newest for 0.

    Units: offset in bytes of the configuration as it travels.
    """

    known_version: int
    version: int
    offset: int


class ConfigPartAnswer(MessageBase, tag=41):
    """Give a part of a configuration.

    Units: total and offset in bytes of the configuration as it travels.
    """

    version: int
    total: int
    offset: int
    data: bytes


class ListingRequest(MessageBase, tag=36):
    """Ask for the endpoints that the peer has listed."""

    known_revision: int
    known_epoch: int = 0


class ListingAnswer(MessageBase, tag=37):
    """Give the endpoints that are listed at a revision of the store."""

    revision: int
    endpoints: bytes
    epoch: int = 0


class HallReport(MessageBase):
    """Say whether a hall was evacuated at a revision of the store."""

    hall: str
    revision: int
    is_evacuated: bool
    epoch: int = 0


class EvacuationReport(MessageBase, tag=42):
    """Tell every hall that is evacuated, or was and is not any more."""

    halls: list[HallReport]


class BacklogReport(MessageBase):
    """Say how many pieces of a service are admitted over some entries, and made.

    Units: pieces a second, in all and of the less urgent; negative where the service is
    not behind, so that nothing can be said.
    """

    service_id: str
    entries: int
    urgent: int
    less_urgent: int
    pieces_per_s: float = -1.0
    less_urgent_per_s: float = -1.0


class FleetBacklog(MessageBase, tag=43):
    """Tell the admitted backlog of services over all entries that the sender hears."""

    services: list[BacklogReport]


class CrashReport(MessageBase):
    """Tell of one endpoint that closed a connection under a request.

    Units: age_ms in milliseconds when it is told.
    """

    case_id: int
    digest: str
    endpoint_id: str
    is_under_way: bool
    age_ms: float = 0.0


class CrashNews(MessageBase, tag=51):
    """Tell under which work endpoints ended, and what is taken back of that.

    `alive` are endpoints that proved to live on; `answered` is work that was answered.
    """

    cases: list[CrashReport] = []
    alive: list[str] = []
    answered: list[str] = []


class LimitReport(MessageBase):
    """Say which limit an endpoint named, or that it names none any more.

    Units: per_s in requests a second, negative where the limit is over; age_ms since
    that was known.
    """

    endpoint_id: str
    per_s: float
    age_ms: float


class LimitNews(MessageBase, tag=53):
    """Tell the limits that endpoints named, and those that are just over."""

    limits: list[LimitReport]
