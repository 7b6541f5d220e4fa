"""Configuration: typed model, validation, stored form and audit records."""

from leadford.pipelines.config._change import (
    ConfigChange,
    apply_change,
    make_head,
    undo_to,
    with_audit,
)
from leadford.pipelines.config._check import (
    ConfigFault,
    check_config,
    check_transition,
    config_from_document,
)
from leadford.pipelines.config._model import (
    EndpointConfig,
    EntryConfig,
    FleetConfig,
    ModelConfig,
    OperatorConfig,
    PipelineConfig,
    PoolConfig,
    StageConfig,
    TuningConfig,
    WorkspaceConfig,
)
from leadford.pipelines.config._store_form import (
    AuditRecord,
    ChunkDelta,
    ConfigChunk,
    ConfigHead,
    ConfigTracker,
    assemble,
    decode_head,
    encode_head,
    split,
)

__all__ = [
    "AuditRecord",
    "ChunkDelta",
    "ConfigChange",
    "ConfigChunk",
    "ConfigFault",
    "ConfigHead",
    "ConfigTracker",
    "EndpointConfig",
    "EntryConfig",
    "FleetConfig",
    "ModelConfig",
    "OperatorConfig",
    "PipelineConfig",
    "PoolConfig",
    "StageConfig",
    "TuningConfig",
    "WorkspaceConfig",
    "apply_change",
    "assemble",
    "check_config",
    "check_transition",
    "config_from_document",
    "decode_head",
    "encode_head",
    "make_head",
    "split",
    "undo_to",
    "with_audit",
]
