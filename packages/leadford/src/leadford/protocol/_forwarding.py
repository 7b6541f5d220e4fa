"""Messages between entries that forward on the users' platform.

They hand pieces of stages to schedulers, tell in heartbeats what they know, and pass
on what the store told one of them.
"""

from leadford.protocol._base import PROTOCOL_UNTOLD, MessageBase


class PieceSubmit(MessageBase, tag=29):
    """Ask the scheduler of a group for one piece; its id comes back in the answer.

    Units: remaining_ms is what is left of the request's time, due_ms what is left
    until it should have been answered, and rank_ms orders pieces; near_bytes is
    what need not move between halls if the piece is made in one.
    """

    correlation_id: int
    service_id: str
    place: str
    request_id: str
    stage: int
    piece: int
    request_key: str
    inputs: list[str]
    result_bytes: int
    remaining_ms: float
    due_ms: float
    rank_ms: float
    excluded: list[str] = []
    near_bytes: dict[str, int] = {}


class SuspectPieceSubmit(PieceSubmit, tag=52):
    """Ask for one piece of a request under which an endpoint ended before."""


class PieceAnswer(MessageBase, tag=30):
    """Give the result of a piece, or why there is none, and the endpoint asked."""

    correlation_id: int
    handle: str
    reason: str
    endpoint_id: str


class PieceWorking(MessageBase, tag=38):
    """Tell an entry that its pieces are being made and have fetched their inputs."""

    correlation_ids: list[int]


class PieceCancel(MessageBase, tag=31):
    """Tell a scheduler that pieces are wanted no more."""

    correlation_ids: list[int]


class PieceRelease(MessageBase, tag=32):
    """Tell a scheduler that results of an endpoint have no reader any more."""

    endpoint_id: str
    handles: list[str]


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


class ListingAnswer(MessageBase, tag=37):
    """Give the endpoints that are listed at a revision of the store."""

    revision: int
    endpoints: bytes


class HallReport(MessageBase):
    """Say whether a hall was evacuated at a revision of the store."""

    hall: str
    revision: int
    is_evacuated: bool


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


class StoreConfirmation(MessageBase):
    """Say up to which revision the store confirmed that nothing is missing, and when.

    Whoever knows the kind up to `changed_revision`, that of its last change, knows as
    much as the sender; for the configuration, whoever runs its `version` (0 for other
    kinds).

    Units: confirmed_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    revision: int
    changed_revision: int
    version: int
    confirmed_ms: float


class StoreConfirmations(MessageBase, tag=44):
    """Tell what the store confirmed lately to an entry that follows it.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    sent_ms: float
    kinds: list[StoreConfirmation]


class StoreChange(MessageBase):
    """Hold one change of an object of the store, as the store wrote it (JSON)."""

    item: bytes
    is_gone: bool
    seen_revision: int


class StoreChanges(MessageBase, tag=45):
    """Pass on every change of a kind after one revision of the store up to another.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    after_revision: int
    revision: int
    sent_ms: float
    changes: list[StoreChange]


class PromptPartReport(MessageBase):
    """Name one part of a prompt, and its tokens."""

    part_id: str
    tokens: int


class PlaceRequest(MessageBase, tag=46):
    """Ask for the engine of a prompt that is sent now."""

    ask_id: int
    service_id: str
    tokens_in: int
    parts: list[PromptPartReport]
    excluded: list[str] = []
    bytes_by_hall: dict[str, int] = {}


class PlaceAnswer(MessageBase, tag=47):
    """Say which engine a prompt goes to; empty if there is none."""

    ask_id: int
    endpoint_id: str


class PromptRead(MessageBase, tag=48):
    """Tell that a prompt has been read, or is not sent where it was placed."""

    ask_id: int


class PackedChanges(MessageBase, tag=49):
    """Pass changes on as `StoreChanges` does, packed.

    Units: sent_ms in milliseconds of the sender's monotonic clock.
    """

    kind: str
    after_revision: int
    revision: int
    sent_ms: float
    changes: bytes


class PackedListing(MessageBase, tag=50):
    """Give the endpoints that are listed at a revision of the store, packed."""

    revision: int
    endpoints: bytes


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
