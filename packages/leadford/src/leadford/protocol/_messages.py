"""Define the typed messages between leadford's processes.

Each message travels as a CBOR array: its type number, then its fields in order.
New fields are only ever appended and carry a default, so a reader ignores what it
does not know and fills in what an older writer leaves out.
"""

from enum import Enum

import msgspec

# Versions of the protocol that this process speaks.
PROTOCOL_VERSION = 3
# The first version in which configurations travel in parts.
PROTOCOL_CONFIG_PARTS = 2
# The first version in which entries tell each other which halls are evacuated.
PROTOCOL_EVACUATIONS = 3
PROTOCOL_VERSION_MIN = 1


class _Base(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Mark a message as a frozen record that travels as an array."""


class Challenge(_Base, tag=1):
    """Open a connection from the accepting side with a nonce to be proved against."""

    nonce: bytes
    peer_id: str
    version_min: int
    version_max: int


class Hello(_Base, tag=2):
    """Answer a challenge: say who connects and prove knowledge of the secret."""

    peer_id: str
    role: str
    hall: str
    version_min: int
    version_max: int
    nonce: bytes
    proof: bytes
    config_version: int = 0


class Welcome(_Base, tag=4):
    """Accept a connection with the negotiated protocol version."""

    version: int
    proof: bytes
    config_version: int = 0
    draining: bool = False


class ClassLoad(_Base):
    """Say how much expected service waits in one class of priority."""

    priority: int
    ahead_ms: float


class HeldModel(_Base):
    """Name a model version that an engine holds."""

    model: str
    version: str


class Load(_Base, tag=5):
    """Report the load of an agent's endpoint.

    Units: service_ms per attempt, token_ms per token; ahead_ms is what each class of
    priority has waiting.
    """

    queued: int
    running: int
    tokens_in_flight: int
    service_ms: float
    token_ms: float
    concurrency: int
    classes: list[ClassLoad] = []
    models: list[HeldModel] = []


class Draining(_Base, tag=6):
    """Announce that the sender takes no new work."""

    reason: str


class Submit(_Base, tag=7):
    """Ask an agent to run one attempt of one stage.

    Units: remaining_ms counts from receipt; credit counts tokens.
    """

    request_id: str
    stage: str
    attempt: int
    pipeline: str
    workspace: str
    priority: int
    remaining_ms: float
    repeatable: bool
    stream: bool
    credit: int
    body: bytes
    previous: bytes = b"null"
    expected_tokens: int = 0
    prefix: str = ""
    final: bool = False
    tail_ms: float = 0.0
    model: str = ""


class Refused(_Base, tag=8):
    """Refuse an attempt; `begun` is false only when the endpoint saw nothing."""

    request_id: str
    stage: str
    attempt: int
    reason: str
    begun: bool
    retry_after_ms: float = 0.0
    load: Load | None = None


class TokenPart(_Base):
    """Carry the new tokens of one stream."""

    request_id: str
    stage: str
    attempt: int
    sequence: int
    texts: list[str]
    model_version: str = ""


class Tokens(_Base, tag=9):
    """Carry the new tokens of many streams, gathered over one tick."""

    parts: list[TokenPart]


class DoneStatus(Enum):
    """Say how an attempt ended at its endpoint."""

    OK = 1
    FAILED = 2
    TIMED_OUT = 3
    CANCELLED = 4


class Done(_Base, tag=10):
    """End an attempt; `sequence` is the count of tokens that precede it."""

    request_id: str
    stage: str
    attempt: int
    status: DoneStatus
    sequence: int
    result: bytes
    service_ms: float
    queue_ms: float
    prefill_tokens: int = 0
    cached_tokens: int = 0
    error: str = ""
    load: Load | None = None
    model_version: str = ""


class Ack(_Base, tag=11):
    """Release a kept result."""

    request_id: str
    stage: str
    attempt: int


class Credit(_Base, tag=12):
    """Allow a stream to send more tokens."""

    request_id: str
    stage: str
    attempt: int
    tokens: int


class Cancel(_Base, tag=13):
    """Give up an attempt that nobody waits for."""

    request_id: str
    stage: str
    attempt: int


class Attach(_Base, tag=14):
    """Take over a kept or running attempt from a sequence on."""

    request_id: str
    stage: str
    attempt: int
    from_sequence: int
    credit: int
    workspace: str


class NotHeld(_Base, tag=15):
    """Answer an attach or lookup for work the agent does not hold."""

    request_id: str
    stage: str
    attempt: int


class Note(_Base, tag=16):
    """Record at a scheduler where an attempt of a request runs."""

    request_id: str
    workspace: str
    pipeline: str
    stage: str
    attempt: int
    endpoint_id: str
    final: bool
    stream: bool
    entry_id: str
    body_digest: str


class NoteRequest(_Base, tag=17):
    """Ask a scheduler for the note of a request."""

    request_id: str


class NoteAnswer(_Base, tag=18):
    """Answer with the latest note of a request, if the scheduler has one."""

    request_id: str
    note: Note | None = None


class ConfigHint(_Base, tag=19):
    """Tell a peer which configuration version the sender runs."""

    version: int


class HeadRequest(_Base, tag=20):
    """Ask a peer for the configuration head that it runs."""

    version: int


class HeadAnswer(_Base, tag=21):
    """Answer with an encoded configuration head."""

    version: int
    head: bytes


class ChunkRequest(_Base, tag=22):
    """Ask a peer for configuration chunks by key."""

    keys: list[str]


class ChunkAnswer(_Base, tag=23):
    """Answer with one configuration chunk."""

    key: str
    chunk: bytes


class ClaimVerdict(Enum):
    """Say what became of a claim."""

    GRANTED = 1
    ALREADY_CLAIMED = 2
    STORE_UNAVAILABLE = 3
    FULL = 4


class ClaimRequest(_Base, tag=24):
    """Ask the entry that owns a shard to place a claim in its next batch."""

    claim_id: str
    request_id: str
    remaining_ms: float


class ClaimAnswer(_Base, tag=25):
    """Answer a claim request."""

    claim_id: str
    verdict: ClaimVerdict


class Query(_Base, tag=26):
    """Ask a peer for the rows that it has for a table."""

    query_id: str
    table: str
    argument: str = ""


class QueryAnswer(_Base, tag=27):
    """Answer a query with rows as JSON."""

    query_id: str
    rows: bytes


class PlanOrder(_Base, tag=28):
    """Tell an agent what its engine is to hold; older fences are ignored."""

    pool: str
    fence: int
    models: list[HeldModel]


class PieceSubmit(_Base, tag=29):
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


class PieceAnswer(_Base, tag=30):
    """Give the result of a piece, or why there is none, and the endpoint asked."""

    correlation_id: int
    handle: str
    reason: str
    endpoint_id: str


class PieceWorking(_Base, tag=38):
    """Tell an entry that its pieces are being made and have fetched their inputs."""

    correlation_ids: list[int]


class PieceCancel(_Base, tag=31):
    """Tell a scheduler that pieces are wanted no more."""

    correlation_ids: list[int]


class PieceRelease(_Base, tag=32):
    """Tell a scheduler that results of an endpoint have no reader any more."""

    endpoint_id: str
    handles: list[str]


class GroupReport(_Base):
    """Say how long a group makes a piece wait, and how much room it has.

    Units: wait_ms in milliseconds.
    """

    service_id: str
    place: str
    wait_ms: float
    room_bytes: int


class CommitmentReport(_Base):
    """Say how many pieces of a service this entry has admitted and not yet had made."""

    service_id: str
    is_urgent: bool
    pieces: int


class RefusalReport(_Base):
    """Say which request was told to come back, when, and what it will need.

    Units: return_ms in milliseconds from now.
    """

    fingerprint: str
    return_ms: float
    is_urgent: bool
    pieces: dict[str, int]


class LaneReport(_Base):
    """Say what this entry still has at an endpoint that another one schedules."""

    endpoint_id: str
    result_bytes: int
    calls: int


class EntryHeartbeat(_Base, tag=33):
    """Tell that an entry is alive, which listing it has seen, and its groups."""

    listing_revision: int
    groups: list[GroupReport] = []
    is_draining: bool = False
    commitments: list[CommitmentReport] = []
    refused: list[RefusalReport] = []
    lanes: list[LaneReport] = []


class EntryAddress(_Base):
    """Say where an entry is."""

    entry_id: str
    address: str
    hall: str


class EntryListing(_Base, tag=39):
    """Tell a new peer which entries are known, for when the store cannot."""

    entries: list[EntryAddress]


class ForwardConfigRequest(_Base, tag=34):
    """Ask for the forwarding configuration that is in force at the peer."""

    known_version: int


class ForwardConfigAnswer(_Base, tag=35):
    """Give a forwarding configuration in the product's own form."""

    version: int
    config: bytes


class ConfigPartRequest(_Base, tag=40):
    """Ask for a part of a configuration: of a version, or of the newest for 0.

    Units: offset in bytes of the configuration as it travels.
    """

    known_version: int
    version: int
    offset: int


class ConfigPartAnswer(_Base, tag=41):
    """Give a part of a configuration.

    Units: total and offset in bytes of the configuration as it travels.
    """

    version: int
    total: int
    offset: int
    data: bytes


class ListingRequest(_Base, tag=36):
    """Ask for the endpoints that the peer has listed."""

    known_revision: int


class ListingAnswer(_Base, tag=37):
    """Give the endpoints that are listed at a revision of the store."""

    revision: int
    endpoints: bytes


class HallReport(_Base):
    """Say whether a hall was evacuated at a revision of the store."""

    hall: str
    revision: int
    is_evacuated: bool


class EvacuationReport(_Base, tag=42):
    """Tell every hall that is evacuated, or was and is not any more."""

    halls: list[HallReport]


Message = (
    Challenge
    | Hello
    | Welcome
    | Load
    | Draining
    | Submit
    | Refused
    | Tokens
    | Done
    | Ack
    | Credit
    | Cancel
    | Attach
    | NotHeld
    | Note
    | NoteRequest
    | NoteAnswer
    | ConfigHint
    | HeadRequest
    | HeadAnswer
    | ChunkRequest
    | ChunkAnswer
    | ClaimRequest
    | ClaimAnswer
    | Query
    | QueryAnswer
    | PlanOrder
    | PieceSubmit
    | PieceAnswer
    | PieceWorking
    | EntryListing
    | PieceCancel
    | PieceRelease
    | EntryHeartbeat
    | ForwardConfigRequest
    | ForwardConfigAnswer
    | ConfigPartRequest
    | ConfigPartAnswer
    | ListingRequest
    | ListingAnswer
    | EvacuationReport
)
