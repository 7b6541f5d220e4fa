"""List every type of message that a frame may contain.

Each other module holds the messages of one group of senders or one subject.
"""

from leadford.protocol._agents import (
    Ack,
    Attach,
    Cancel,
    Credit,
    Done,
    Draining,
    Load,
    NotHeld,
    PlanOrder,
    Refused,
    Submit,
    Tokens,
)
from leadford.protocol._entries import (
    ChunkAnswer,
    ChunkRequest,
    ClaimAnswer,
    ClaimRequest,
    HeadAnswer,
    HeadRequest,
    Note,
    NoteAnswer,
    NoteRequest,
    Query,
    QueryAnswer,
)
from leadford.protocol._forwarding import (
    ConfigPartAnswer,
    ConfigPartRequest,
    CrashNews,
    EntryHeartbeat,
    EntryListing,
    EvacuationReport,
    FleetBacklog,
    ForwardConfigAnswer,
    ForwardConfigRequest,
    LimitNews,
    ListingAnswer,
    ListingRequest,
)
from leadford.protocol._links import (
    Challenge,
    ConfigHint,
    Hello,
    Welcome,
)
from leadford.protocol._load import (
    AdmittedLevels,
    BookingAnswer,
    BookingClaim,
    BookingClaimAnswer,
    BookingRequest,
    BusiestEntryNews,
    FleetLevels,
    PaceNews,
    RequestRateReport,
)
from leadford.protocol._pieces import (
    PieceAnswer,
    PieceCancel,
    PieceRelease,
    PieceSubmit,
    PieceWorking,
    ResumedPieceSubmit,
    SuspectPieceSubmit,
)
from leadford.protocol._placing import (
    PlaceAnswer,
    PlaceRequest,
    PromptRead,
)
from leadford.protocol._prompts import PromptNews
from leadford.protocol._store_news import (
    PackedChanges,
    PackedListing,
    StoreChanges,
    StoreConfirmations,
)
from leadford.protocol._streams import (
    StreamOriginAnswer,
    StreamOriginNews,
    StreamOriginRequest,
)

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
    | FleetBacklog
    | StoreConfirmations
    | StoreChanges
    | PackedChanges
    | PackedListing
    | PlaceRequest
    | PlaceAnswer
    | PromptRead
    | CrashNews
    | SuspectPieceSubmit
    | LimitNews
    | AdmittedLevels
    | FleetLevels
    | BookingRequest
    | BookingAnswer
    | BookingClaim
    | BookingClaimAnswer
    | PaceNews
    | StreamOriginNews
    | StreamOriginRequest
    | StreamOriginAnswer
    | PromptNews
    | RequestRateReport
    | BusiestEntryNews
    | ResumedPieceSubmit
)
