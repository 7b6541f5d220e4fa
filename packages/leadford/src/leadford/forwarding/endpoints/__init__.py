"""Track the listed and observed state of endpoints, and choose among them."""

from leadford.forwarding.endpoints._address import is_dialable
from leadford.forwarding.endpoints._choice import ChoicePolicy, EndpointChooser
from leadford.forwarding.endpoints._cold import ColdEndpoints
from leadford.forwarding.endpoints._connections import (
    max_connections,
    may_use_again,
)
from leadford.forwarding.endpoints._engines import (
    EngineChooser,
    SentPrompt,
)
from leadford.forwarding.endpoints._gaps import EventGaps
from leadford.forwarding.endpoints._halls import EvacuatedHalls, HallNotice
from leadford.forwarding.endpoints._limits import EndpointLimits, LimitObservation
from leadford.forwarding.endpoints._listing import RosterChange
from leadford.forwarding.endpoints._matching import AnswerMatch, AnswerMatcher
from leadford.forwarding.endpoints._model import (
    Backpressure,
    EndpointAddress,
    EndpointReport,
    ListedEndpoint,
    ListedState,
    ReportedLoad,
    SoftwareVersion,
)
from leadford.forwarding.endpoints._outage import StoreOutage
from leadford.forwarding.endpoints._pace import EndpointPace, MeasuredPace
from leadford.forwarding.endpoints._paces import (
    MAX_REPORTED_PACES,
    PaceMeter,
    ReportablePace,
    effective_count,
    estimate_paces,
    oldest_ages_s,
    reportable_paces,
)
from leadford.forwarding.endpoints._placement import (
    PLACEMENT_TIMEOUT_S,
    PlacedId,
    PlacedPrompts,
)
from leadford.forwarding.endpoints._pools import pool_count, prompt_pool
from leadford.forwarding.endpoints._prompts import PromptPart, PromptShape
from leadford.forwarding.endpoints._record import EndpointFailure, EndpointRecord
from leadford.forwarding.endpoints._rests import EndpointRetryAfter
from leadford.forwarding.endpoints._roster import EndpointRoster
from leadford.forwarding.endpoints._sharers import BusiestEntry
from leadford.forwarding.endpoints._starts import endpoint_name, endpoint_start_id
from leadford.forwarding.endpoints._statuses import StatusKind, status_kind
from leadford.forwarding.endpoints._times import FirstByteTimes

__all__ = [
    "endpoint_name",
    "endpoint_start_id",
    "AnswerMatch",
    "AnswerMatcher",
    "Backpressure",
    "ChoicePolicy",
    "ColdEndpoints",
    "EndpointAddress",
    "EndpointChooser",
    "EndpointFailure",
    "EndpointLimits",
    "EndpointPace",
    "EndpointRecord",
    "EndpointReport",
    "EndpointRetryAfter",
    "EndpointRoster",
    "EngineChooser",
    "EvacuatedHalls",
    "EventGaps",
    "FirstByteTimes",
    "HallNotice",
    "LimitObservation",
    "MAX_REPORTED_PACES",
    "MeasuredPace",
    "PLACEMENT_TIMEOUT_S",
    "PaceMeter",
    "PlacedId",
    "PlacedPrompts",
    "SentPrompt",
    "StatusKind",
    "StoreOutage",
    "ListedEndpoint",
    "ListedState",
    "BusiestEntry",
    "PromptPart",
    "PromptShape",
    "ReportablePace",
    "ReportedLoad",
    "RosterChange",
    "SoftwareVersion",
    "effective_count",
    "estimate_paces",
    "max_connections",
    "may_use_again",
    "oldest_ages_s",
    "pool_count",
    "is_dialable",
    "prompt_pool",
    "reportable_paces",
    "status_kind",
]
