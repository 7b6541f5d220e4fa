"""Know the endpoints of each service: what is listed, what is observed, whom to ask."""

from leadford.endpoints._choice import ChoicePolicy, EndpointChooser
from leadford.endpoints._engines import (
    EngineChooser,
    EngineTicket,
    PromptPart,
    PromptShape,
)
from leadford.endpoints._model import (
    EndpointAddress,
    ListedEndpoint,
    ListedState,
    ReportedLoad,
)
from leadford.endpoints._record import EndpointRecord
from leadford.endpoints._roster import EndpointRoster, RosterChange

__all__ = [
    "ChoicePolicy",
    "EndpointAddress",
    "EndpointChooser",
    "EndpointRecord",
    "EndpointRoster",
    "EngineChooser",
    "EngineTicket",
    "ListedEndpoint",
    "ListedState",
    "PromptPart",
    "PromptShape",
    "ReportedLoad",
    "RosterChange",
]
