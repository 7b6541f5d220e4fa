"""Define the typed configuration of a fleet.

The stored form (`_store_form`), the file that an operator applies and the operators'
language all use these field names. A field may be added with a default, but never
renamed. `_check` validates values that depend on each other.
"""

from typing import Annotated

import msgspec

from leadford.common import Objective, PoolKind, WorkspaceId
from leadford.pipelines.queues import WorkspaceTerms

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")]
Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
Share = Annotated[float, msgspec.Meta(gt=0, le=1000)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]


class _Part(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base class of the parts of the configuration; parts are immutable."""


class StageConfig(_Part):
    """Describe one stage of a pipeline.

    Units: expected_ms and tail_ms are milliseconds of service.
    """

    name: Name
    pool: Name
    repeatable: bool = True
    effect: bool = False
    expected_ms: Milliseconds = 20.0
    expected_tokens: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    hedge: bool = False
    model: str = ""


class PipelineConfig(_Part):
    """Describe a pipeline: its stages, priority class and deadline.

    Units: priority 0 is served first; weight is how much a completed request counts.
    """

    stages: Annotated[tuple[StageConfig, ...], msgspec.Meta(min_length=1, max_length=8)]
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 4
    deadline_ms: Milliseconds = 1000.0
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    can_wait: bool = False
    paused: bool = False


class PoolConfig(_Part):
    """Describe a pool of endpoints of one kind."""

    kind: PoolKind
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 4
    queue_limit: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 256
    routing: str = ""
    checks_fences: bool = True
    cost_per_s: Annotated[float, msgspec.Meta(ge=0, le=1000)] = 1.0
    path: str = "/v1/run"


class EndpointConfig(_Part):
    """Describe an endpoint and its agent."""

    pool: Name
    host: Name
    hall: Name
    agent: Address
    url: Annotated[str, msgspec.Meta(pattern=r"^http://")]
    draining: bool = False
    models: tuple[str, ...] = ()


class EntryConfig(_Part):
    """Describe an entry process and the address at which its peers reach it."""

    host: Name
    hall: Name
    peer: Address


class WorkspaceConfig(_Part):
    """Describe a workspace: its share of each pool and the hashes of its API keys."""

    share: Share = 1.0
    minimum: Fraction = 0.0
    key_hashes: tuple[Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")], ...] = ()
    priority_offset: Annotated[int, msgspec.Meta(ge=-4, le=4)] = 0


class OperatorConfig(_Part):
    """Describe an operator, identified by the hash of a token."""

    token_hash: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    can_change: bool = True


class ModelConfig(_Part):
    """Describe a model: its version, load size and number of copies in a pool."""

    pool: Name
    version: Name
    copies: Annotated[int, msgspec.Meta(ge=0, le=10_000)] = 1
    load_mb: Annotated[float, msgspec.Meta(gt=0, le=1_000_000)] = 1000.0
    pinned: tuple[str, ...] = ()


class TuningConfig(_Part):
    """Set the limits and policies of the whole deployment."""

    routing: str = "expected_finish"
    queue: str = "weighted_fair"
    retry_ratio: Fraction = 0.1
    subset_size: Annotated[int, msgspec.Meta(ge=2, le=200)] = 40
    claim_shards: Annotated[int, msgspec.Meta(ge=1, le=64)] = 1
    claim_ring: Annotated[int, msgspec.Meta(ge=8, le=4096)] = 256
    claim_retention_s: Annotated[float, msgspec.Meta(ge=1, le=604_800)] = 3600.0
    claim_writes_per_s: Annotated[float, msgspec.Meta(gt=0, le=100)] = 20.0
    result_retention_s: Annotated[float, msgspec.Meta(ge=1, le=3600)] = 60.0
    ejection_cap: Fraction = 0.34
    admission: bool = True
    weight_store_mb_s: Annotated[float, msgspec.Meta(gt=0, le=100_000)] = 500.0


class FleetConfig(_Part):
    """Hold the complete configuration of a deployment."""

    objective: Objective = Objective.ATTAINMENT
    tuning: TuningConfig = TuningConfig()
    pools: dict[Name, PoolConfig] = {}
    endpoints: dict[Name, EndpointConfig] = {}
    entries: dict[Name, EntryConfig] = {}
    pipelines: dict[Name, PipelineConfig] = {}
    workspaces: dict[Name, WorkspaceConfig] = {}
    operators: dict[Name, OperatorConfig] = {}
    models: dict[Name, ModelConfig] = {}

    def terms(self, workspace: WorkspaceId) -> WorkspaceTerms:
        """Return the share and minimum of a workspace; defaults for an unknown one."""
        found = self.workspaces.get(workspace)
        if found is None:
            return WorkspaceTerms()
        return WorkspaceTerms(found.share, found.minimum)
