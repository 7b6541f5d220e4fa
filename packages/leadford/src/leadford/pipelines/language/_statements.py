"""Define the statements of the operators' language as immutable records.

`_parse` creates them; the entry answers queries and `_apply` applies commands. The
values of the enums are the words of the language.
"""

from enum import Enum

import msgspec


class Subject(Enum):
    """List the subjects that a query can show."""

    REQUESTS = "requests"
    QUEUE = "queue"
    ENDPOINTS = "endpoints"
    HALLS = "halls"
    ENTRIES = "entries"
    WORKSPACES = "workspaces"
    PIPELINES = "pipelines"
    POOLS = "pools"
    MODELS = "models"
    VERSIONS = "versions"
    AUDIT = "audit"
    EVENTS = "events"
    COST = "cost"


class Scope(Enum):
    """List the scopes of a drain."""

    ENDPOINT = "endpoint"
    HOST = "host"
    HALL = "hall"


class Comparison(Enum):
    """List the comparison operators of a condition."""

    EQUAL = "="
    UNEQUAL = "!="
    BELOW = "<"
    ABOVE = ">"
    AT_MOST = "<="
    AT_LEAST = ">="


class Condition(msgspec.Struct, frozen=True):
    """Compare a column with a value."""

    column: str
    comparison: Comparison
    value: str | float


class _Statement(msgspec.Struct, frozen=True, tag=True):
    """Base class of the statements; a statement is tagged with its class name."""


class Show(_Statement):
    """Show a table; `by` groups costs and a limit of 0 shows all rows."""

    subject: Subject
    conditions: tuple[Condition, ...] = ()
    by: str = "stage"
    limit: int = 0


class Explain(_Statement):
    """Explain where a request was sent and why."""

    request_id: str


class Drain(_Statement):
    """Take endpoints out of service, or put them back into service."""

    scope: Scope
    name: str
    draining: bool


class SetPipelinePriority(_Statement):
    """Set the priority class of a pipeline."""

    pipeline: str
    priority: int


class SetWorkspacePriority(_Statement):
    """Shift all requests of a workspace by a number of priority classes."""

    workspace: str
    offset: int


class SetShare(_Statement):
    """Set the share of a workspace."""

    workspace: str
    share: float


class SetMinimum(_Statement):
    """Set the guaranteed minimum of a workspace."""

    workspace: str
    minimum: float


class SetObjective(_Statement):
    """Set the objective that the deployment optimises."""

    objective: str


class SetTuning(_Statement):
    """Set one limit or policy of the deployment."""

    name: str
    value: str | float


class AddWorkspace(_Statement):
    """Add a workspace."""

    name: str
    share: float = 1.0
    minimum: float = 0.0
    key_hash: str = ""


class RemoveWorkspace(_Statement):
    """Remove a workspace."""

    name: str


class AddEndpoint(_Statement):
    """Add an endpoint."""

    name: str
    pool: str
    host: str
    hall: str
    agent: str
    url: str


class RemoveEndpoint(_Statement):
    """Remove an endpoint."""

    name: str


class AddStage(_Statement):
    """Add a stage to a pipeline, at its end or after another stage."""

    name: str
    pool: str
    pipeline: str
    after: str = ""


class RemoveStage(_Statement):
    """Remove a stage from a pipeline."""

    name: str
    pipeline: str


class PausePipeline(_Statement):
    """Stop or resume accepting requests for a pipeline."""

    pipeline: str
    paused: bool


class LoadModel(_Statement):
    """Set the version of a model, its pool and its number of copies."""

    model: str
    version: str
    pool: str
    copies: int


class UnloadModel(_Statement):
    """Remove a model, so that no copy is kept."""

    model: str


class PinModel(_Statement):
    """Pin a model to an endpoint."""

    model: str
    endpoint: str


class Undo(_Statement):
    """Restore an earlier version of the configuration."""

    version: int


Command = (
    Drain
    | SetPipelinePriority
    | SetWorkspacePriority
    | SetShare
    | SetMinimum
    | SetObjective
    | SetTuning
    | AddWorkspace
    | RemoveWorkspace
    | AddEndpoint
    | RemoveEndpoint
    | AddStage
    | RemoveStage
    | PausePipeline
    | LoadModel
    | UnloadModel
    | PinModel
    | Undo
)
Statement = Show | Explain | Command
