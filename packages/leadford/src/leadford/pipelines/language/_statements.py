"""Define the statements of the operators' language as frozen records.

Made by `_parse`; queries are answered by the entry, commands applied by `_apply`. The
values of the Enums are the words of the language.
"""

from enum import Enum

import msgspec


class Subject(Enum):
    """Name what a query shows."""

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
    """Name what a drain covers."""

    ENDPOINT = "endpoint"
    HOST = "host"
    HALL = "hall"


class Comparison(Enum):
    """Name how a condition compares."""

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
    """Mark a statement."""


class Show(_Statement):
    """Show a table; `by` groups costs; a limit of 0 shows all."""

    subject: Subject
    conditions: tuple[Condition, ...] = ()
    by: str = "stage"
    limit: int = 0


class Explain(_Statement):
    """Explain where a request went and why."""

    request_id: str


class Drain(_Statement):
    """Take endpoints out of service, or put them back."""

    scope: Scope
    name: str
    draining: bool


class SetPipelinePriority(_Statement):
    """Set the class of priority of a pipeline."""

    pipeline: str
    priority: int


class SetWorkspacePriority(_Statement):
    """Move all requests of a workspace by classes of priority."""

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
    """Set what the deployment optimises."""

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
    """Stop or resume taking requests for a pipeline."""

    pipeline: str
    paused: bool


class LoadModel(_Statement):
    """Want copies of a model version in a pool."""

    model: str
    version: str
    pool: str
    copies: int


class UnloadModel(_Statement):
    """Want no copy of a model."""

    model: str


class PinModel(_Statement):
    """Keep a model on an endpoint."""

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
